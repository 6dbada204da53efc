#ifndef TESTS_SUPPORT_SCRIPTED_ENDPOINTS_H_
#define TESTS_SUPPORT_SCRIPTED_ENDPOINTS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "programs/gcw_standin/platform_documents.h"
#include "tests/transport/raw_peer.h"
#include "transport/transport.h"

namespace gcw {

// Returns the value of the header, or an empty text.
inline std::string HeaderIn(const std::string& head, std::string_view name) {
  const std::size_t found = head.find(std::string(name) + ": ");
  if (found == std::string::npos) {
    return {};
  }
  const std::size_t start = found + name.size() + 2;
  return head.substr(start, head.find('\r', start) - start);
}

inline std::uint16_t PortOf(const Address& address) {
  const std::string& text = address.value();
  return static_cast<std::uint16_t>(
      std::stoi(text.substr(text.rfind(':') + 1)));
}

// Endpoints of the stand-in's plain service that behave as scripted.
class ScriptedEndpoints {
 public:
  // Calls the stand-in of the platform.
  using CallPlatform =
      std::function<Result<HttpResponse, HttpFailure>(HttpRequest)>;

  // The endpoints' ids begin with `name`.
  explicit ScriptedEndpoints(CallPlatform call, std::string name = "scripted")
      : call_platform_(std::move(call)), name_(std::move(name)) {}
  // The nodes must have ended: scripts end with their connections.
  ~ScriptedEndpoints() {
    stop_ = true;
    if (registrar_.joinable()) {
      registrar_.join();
    }
  }
  ScriptedEndpoints(const ScriptedEndpoints&) = delete;
  ScriptedEndpoints& operator=(const ScriptedEndpoints&) = delete;

  void Add(ScriptedServer::Script script) {
    servers_.push_back(std::make_unique<ScriptedServer>(std::move(script)));
    VmRegistration registration;
    registration.id = VmId(name_ + "-" + std::to_string(servers_.size()));
    registration.service = ServiceId("desk");
    registration.zone = ZoneId("zone-1");
    registration.slots = 6;
    registration.address =
        Address("127.0.0.1:" + std::to_string(servers_.back()->port()));
    registrations_.push_back(registration);
  }

  // Registers the endpoints, and again before their registrations expire.
  void Register() {
    RegisterOnce();
    registrar_ = std::thread([this] {
      while (!stop_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        RegisterOnce();
      }
    });
  }

 private:
  void RegisterOnce() {
    for (const VmRegistration& registration : registrations_) {
      const auto answer =
          call_platform_({"POST",
                          "/standin/register?vm=" + registration.id.value(),
                          {},
                          EncodeRegistrationEntry(registration)});
      EXPECT_TRUE(IsOk(answer) && ValueOf(answer).status == 200);
    }
  }

  CallPlatform call_platform_;
  const std::string name_;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  std::vector<VmRegistration> registrations_;
  std::thread registrar_;
  std::atomic<bool> stop_ = false;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_SCRIPTED_ENDPOINTS_H_
