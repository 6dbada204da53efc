#ifndef PROGRAMS_GCW_STANDIN_PLATFORM_ENGINE_H_
#define PROGRAMS_GCW_STANDIN_PLATFORM_ENGINE_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "programs/gcw_standin/standin_server.h"

namespace gcw {

// One endpoint of the users' platform: a VM that takes orders and, as the first
// member of an open group, streams, or a process of a plain service. Left out:
// batches, memory, passes (an event comes every `event_interval`), versions of
// weights, and probes of health.
class PlatformEngine {
 public:
  struct Settings {
    VmRegistration self;
    // Absent for plain services.
    std::optional<EngineProfile> engine;
    // Between two events of a stream.
    Duration event_interval = Duration::Millis(20);
    int events = 20;
    // Load and warm times are multiplied by it.
    double time_scale = 0.05;
  };
  // Whether the members of the group all live and are in it.
  using IsWhole = std::function<bool(const PlatformEngine& head)>;
  // The registration changed.
  using OnChange = std::function<void(const PlatformEngine&)>;

  PlatformEngine(StandinServer& server,
                 Settings settings,
                 IsWhole is_whole,
                 OnChange on_change);

  bool Listen(const std::string& ip);
  // Ends all connections and listens no more.
  void Kill();

  const VmRegistration& self() const { return settings_.self; }
  const std::vector<VmId>& members() const { return members_; }
  bool alive() const { return server_ != nullptr; }
  // Requests that it began to run.
  std::int64_t runs() const { return runs_; }

 private:
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void HandleOrder(const HttpRequest& request, HttpResponder& responder);
  int Join(const boost::json::object& order);
  int Open(const boost::json::object& order);
  int Close(const boost::json::object& order);
  int Leave(const boost::json::object& order);
  int Stage(const boost::json::object& order);
  bool IsFor(const boost::json::object& order) const;
  Duration TimeFor(const ModelId& model) const;
  void BecomeReady(const GroupId& group, const ModelId& model);
  void Stream(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void SendEvent(const std::shared_ptr<HttpResponder>& responder,
                 int event,
                 const GroupId& group);
  std::vector<HttpHeader> AnswerHeaders(const HttpRequest& request) const;
  void Changed() const { on_change_(*this); }

  StandinServer& standin_;
  Settings settings_;
  IsWhole is_whole_;
  OnChange on_change_;
  std::unique_ptr<HttpServer> server_;
  std::vector<VmId> members_;
  Generation seen_generation_;
  FencingToken seen_fence_;
  std::int64_t running_ = 0;
  std::int64_t runs_ = 0;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_PLATFORM_ENGINE_H_
