#ifndef PROGRAMS_GCW_STANDIN_PLATFORM_ENGINE_H_
#define PROGRAMS_GCW_STANDIN_PLATFORM_ENGINE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/platform.h"
#include "programs/gcw_standin/limit_meter.h"
#include "programs/gcw_standin/standin_server.h"

namespace gcw {

// Path of the calls that the first member of a group makes to the others at a
// forward pass. The query names the group.
inline constexpr std::string_view kPassPath = "/standin/pass";

// One endpoint of the users' platform: either a VM that carries out group
// orders and streams answers as the first member of an open group, or a process
// of a plain service. It does not simulate batches, memory, forward passes (an
// event is sent every `event_interval`), versions of weights or health probes.
class PlatformEngine {
 public:
  struct Settings {
    VmRegistration registration;
    // Absent for plain services.
    std::optional<EngineProfile> engine;
    // Time between two events of a stream.
    Duration event_interval = Duration::Millis(20);
    int events = 20;
    // Factor by which load and warm-up times are multiplied.
    double time_scale = 0.05;
  };
  // Returns whether all members of the group are alive and have joined it.
  using GroupPredicate =
      std::function<bool(const PlatformEngine& first_member)>;
  // Returns whether the endpoint crashes as it begins to run the request.
  using CrashPredicate = std::function<bool(const HttpRequest&)>;
  // Called when the registration of the endpoint has changed.
  using ChangeCallback = std::function<void(const PlatformEngine&)>;

  PlatformEngine(StandinServer& server,
                 Settings settings,
                 GroupPredicate has_all_members,
                 ChangeCallback on_change);

  // Sets which requests crash the endpoint, and what is called after it has.
  void SetCrashes(CrashPredicate must_crash, std::function<void()> on_crash) {
    must_crash_ = std::move(must_crash);
    on_crash_ = std::move(on_crash);
  }

  bool Listen(const std::string& ip);
  // Closes all connections and stops listening.
  void Kill();

  const VmRegistration& registration() const { return settings_.registration; }
  const std::vector<VmId>& members() const { return members_; }
  bool alive() const { return server_ != nullptr; }
  // The endpoint's answers name this limit from now on, or none.
  void SetLimit(std::optional<RequestRate> limit) {
    limit_meter_.SetLimit(standin_server_.now(), limit);
  }
  const LimitMeter& limit_meter() const { return limit_meter_; }
  // The endpoint refuses requests and asks for this cooldown from now on, or
  // accepts them.
  void SetCooldown(std::optional<Duration> cooldown) { cooldown_ = cooldown; }
  // The endpoint rejects all requests from now on, or accepts them.
  void SetRejects(bool rejects) { rejects_ = rejects; }
  // Sets what is called for each request that arrives.
  void SetArrivalCallback(std::function<void(const HttpRequest&)> on_arrival) {
    on_arrival_ = std::move(on_arrival);
  }
  // The endpoint's answers say from now on that it is about to stop.
  void AnnounceEnd() { is_leaving_ = true; }
  // Number of requests that arrived, whether they ran or not.
  std::int64_t arrivals() const { return arrivals_; }
  // Number of requests that started to run.
  std::int64_t runs() const { return runs_; }

 private:
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);
  void HandleWork(const HttpRequest& request,
                  const std::shared_ptr<HttpResponder>& responder);
  // Crashes a moment after the request has begun to run.
  void Crash(const std::shared_ptr<HttpResponder>& responder);
  void HandlePass(const HttpRequest& request, HttpResponder& responder) const;
  void HandleOrder(const HttpRequest& request, HttpResponder& responder);
  int Join(const boost::json::object& order);
  int Open(const boost::json::object& order);
  int Close(const boost::json::object& order);
  int Leave(const boost::json::object& order);
  int Stage(const boost::json::object& order);
  bool MatchesMembership(const boost::json::object& order) const;
  Duration ScaledLoadTime(const ModelId& model) const;
  void BecomeReady(const GroupId& group, const ModelId& model);
  void StreamAnswer(const HttpRequest& request,
                    const std::shared_ptr<HttpResponder>& responder);
  void SendEvent(const std::shared_ptr<HttpResponder>& responder,
                 int event,
                 const GroupId& group);
  std::vector<HttpHeader> AnswerHeaders(const HttpRequest& request) const;
  void NotifyChange() const { on_change_(*this); }

  StandinServer& standin_server_;
  Settings settings_;
  GroupPredicate has_all_members_;
  ChangeCallback on_change_;
  CrashPredicate must_crash_ = [](const HttpRequest&) { return false; };
  std::function<void()> on_crash_ = [] {};
  std::unique_ptr<HttpServer> server_;
  std::vector<VmId> members_;
  Generation last_generation_;
  FencingToken last_fence_;
  std::int64_t running_ = 0;
  std::int64_t runs_ = 0;
  std::int64_t arrivals_ = 0;
  LimitMeter limit_meter_;
  std::optional<Duration> cooldown_;
  bool rejects_ = false;
  std::function<void(const HttpRequest&)> on_arrival_ = [](const auto&) {};
  bool is_leaving_ = false;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_PLATFORM_ENGINE_H_
