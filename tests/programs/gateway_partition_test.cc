#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include "tests/support/endpoint_proxies.h"
#include "tests/support/gateway_path.h"

namespace gcw {
namespace {

class GatewayPartitionTest : public GatewayPathTest {
 protected:
  GatewayPartitionTest() : proxies_(context_, store_) {
    third_ = fleet_.StartGateway("gw-3", proxies_.store_address());
  }
  ~GatewayPartitionTest() override {
    stop_ = true;
    if (callers_) {
      callers_->join();
    }
  }

  // Other nodes hear from all endpoints only while they have callers.
  void StartCallersOfOtherNodes() {
    callers_.emplace([this] {
      while (!stop_) {
        for (const char* route : {"large", "small", "safe", "once"}) {
          SendRequest(first_.callers, route);
          SendRequest(second_.callers, route);
        }
      }
    });
  }

  bool ThirdServes(const std::string& route) {
    return fleet_.WaitUntil(
        [&] { return SendRequest(third_.callers, route).status == 200; });
  }

  bool IsCut() {
    return Get(third_.metrics, "/metrics")
               .body.find("\ngcw_endpoints_unreachable 1\n") !=
           std::string::npos;
  }

  EndpointProxies proxies_;
  ProcessFleet::GatewayAddresses third_;
  std::optional<std::thread> callers_;
  std::atomic<bool> stop_ = false;
};

// Guards against a process that refuses requests because it has lost its paths
// to all endpoints, and against requests that run twice on the way through
// another process.
TEST_F(GatewayPartitionTest, CallersOfACutProcessAreServed) {
  ASSERT_TRUE(ServesBothModels());
  ASSERT_TRUE(ThirdServes("large"));
  ASSERT_TRUE(ThirdServes("once"));
  StartCallersOfOtherNodes();
  proxies_.Cut();
  ASSERT_TRUE(fleet_.WaitUntil([this] {
    SendRequest(third_.callers, "small");
    SendRequest(third_.callers, "safe");
    return IsCut();
  }));
  for (const char* route : {"large", "small", "safe", "once"}) {
    EXPECT_TRUE(ThirdServes(route)) << route;
  }
  stop_ = true;
  callers_->join();
  callers_.reset();
  const HttpResponse stream = SendRequest(third_.callers, "large");
  EXPECT_EQ(stream.body, ExpectedStream());
  EXPECT_TRUE(stream.Header(kProofHeader).starts_with("proof-vm-"));
  EXPECT_EQ(stream.Header(kRelayEndpointHeader), "");
  const std::int64_t runs = CountRuns("desk");
  EXPECT_EQ(SendRequest(third_.callers, "once").status, 200);
  EXPECT_EQ(CountRuns("desk"), runs + 1);
  EXPECT_EQ(SendRequest(third_.callers, "once", "wrong").status, 401);
  EXPECT_NE(Get(third_.peers, "/v1/reach").body.find("\"relays\":[\"127"),
            std::string::npos);

  proxies_.Heal();
  EXPECT_TRUE(fleet_.WaitUntil([this] { return !IsCut(); }));
  EXPECT_TRUE(ThirdServes("large"));
}

// Guards against callers who make a process treat their requests as passed on
// by another process.
TEST_F(GatewayPartitionTest, CallersCannotSetRelayTerms) {
  ASSERT_TRUE(ServesBothModels());
  const auto answer =
      Call(first_.callers,
           {"POST",
            "/safe/x",
            {{"Host", "models.example"},
             {std::string(kAttemptIdHeader), "q-relay"},
             {std::string(kRelayHeader), "{}"},
             {std::string(kAuthorizationHeader), "Bearer standin-key"}},
            "body"});
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 200);
  EXPECT_EQ(ValueOf(answer).Header(kRelayEndpointHeader), "");
}

}  // namespace
}  // namespace gcw
