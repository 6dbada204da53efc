#ifndef TESTS_SUPPORT_OVERLOAD_SIMULATION_H_
#define TESTS_SUPPORT_OVERLOAD_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

constexpr std::size_t kZones = 3;
constexpr std::size_t kSlots = 26;
constexpr std::size_t kCustomers = 24;
// A batch admits requests and sends events once in a pass.
constexpr Duration kPass = Duration::Millis(50);
constexpr Duration kStreamTime = Duration::Millis(1100);
// Without a queue a stream starts after about 160 ms.
constexpr Duration kPromptTime = Duration::Millis(130);
constexpr Duration kCallerTimeout = Duration::Millis(2000);

// A kind of request; its index in the fleet is its rank.
struct SimulatedKind {
  // Requests per second at the usual load.
  double per_second = 0;
  Duration objective;
};

struct SimulatedFleet {
  std::size_t nodes = 9;
  // Six groups can run 127 requests per second.
  std::size_t groups = 6;
  std::vector<SimulatedKind> kinds;
  OverloadSettings overload = {};
  // Share of the requests that the first customer sends in addition to its
  // even share.
  double large_customer = 0;
};

// One caller's request, which it may have sent twice.
struct SimulatedCaller {
  std::size_t kind = 0;
  std::size_t customer = 0;
  Time asked;
  std::optional<Time> started;
};

// The load of a kind as a multiple of the usual one, at a time since the start
// of the run.
using SimulatedLoad = std::function<double(std::size_t kind, Duration time)>;

// Simulates nodes in front of a few groups of engines, in virtual time. Each
// engine starts waiting requests by their precedence as slots become free; a
// node learns an engine's load when one of its own streams starts.
class OverloadSimulation {
 public:
  OverloadSimulation(SimulatedFleet fleet, std::uint64_t seed)
      : random_(SeededRandom(seed)),
        caller_random_(SeededRandom(seed)),
        fleet_(std::move(fleet)),
        routes_(Routes(fleet_.kinds)),
        due_requests_(fleet_.kinds.size()) {
    std::vector<Replica> replicas;
    for (std::size_t i = 0; i < fleet_.groups; ++i) {
      Replica replica;
      replica.vm = VmId(std::to_string(i));
      replica.service = ServiceId("s");
      replica.model = ModelId("m");
      replica.zone = Zone(i);
      replica.slots = kSlots;
      replica.pass_ms = static_cast<double>(kPass.millis());
      replica.prompt_tokens_per_ms = 93;
      replica.service_ms = static_cast<double>(kStreamTime.millis());
      replicas.push_back(replica);
    }
    for (std::size_t i = 0; i < fleet_.nodes; ++i) {
      nodes_.push_back(
          std::make_unique<Node>(Zone(i), random_, fleet_.overload));
      nodes_.back()->selector.SetNodeCount(fleet_.nodes);
      nodes_.back()->selector.SetReplicas(now_, replicas);
    }
    groups_.resize(fleet_.groups);
  }

  // Runs at `load`; the fraction `abusive` of the callers returns at once after
  // a refusal. Returns how many requests started in time, counted from when the
  // caller first asked.
  int Run(Duration time, const SimulatedLoad& load, double abusive) {
    in_time_ = 0;
    const Time begin = now_;
    while (now_ < begin + time) {
      now_ = now_ + Duration::Millis(10);
      for (std::size_t kind = 0; kind < fleet_.kinds.size(); ++kind) {
        double& due = due_requests_[kind];
        due += fleet_.kinds[kind].per_second * load(kind, now_ - begin) / 100;
        const int arrivals = static_cast<int>(due);
        due -= arrivals;
        for (int i = 0; i < arrivals; ++i) {
          const std::size_t node = DrawBelow(random_, fleet_.nodes);
          const bool is_abusive = DrawUnit(random_) < abusive;
          callers_.push_back({kind, DrawCustomer(), now_, std::nullopt});
          Submit(node, callers_.size() - 1, is_abusive);
        }
      }
      for (const auto& node : nodes_) {
        node->budget.Update(now_, 1);
      }
      SubmitDueReturns();
      for (std::size_t i = 0; i < fleet_.groups; ++i) {
        if ((now_.millis() + static_cast<std::int64_t>(i) * 10) %
                kPass.millis() ==
            0) {
          RunPass(i);
        }
      }
    }
    return in_time_;
  }

  Time now() const { return now_; }
  // Sums over all nodes.
  DeferralCounts CountDeferrals() const {
    DeferralCounts sums;
    for (const auto& node : nodes_) {
      for (const auto& [key, count] : node->controller.deferral_counts()) {
        sums[key] += count;
      }
    }
    return sums;
  }
  const std::vector<SimulatedCaller>& callers() const { return callers_; }
  bool IsInTime(const SimulatedCaller& caller) const {
    return caller.started && *caller.started - caller.asked <=
                                 fleet_.kinds[caller.kind].objective;
  }

 private:
  struct Node {
    Node(const ZoneId& zone,
         const Random& random,
         const OverloadSettings& overload)
        : selector({}, zone, random, DiscardEvents()),
          budget({.slack = 136}, random),
          controller(MakeSettings(overload),
                     {.selector = &selector,
                      .budget = &budget,
                      .crash_guard = &crash_guard,
                      .run_locks = &run_locks,
                      .relays = &relays,
                      .reachability = &reachability},
                     random,
                     DiscardEvents()) {}
    static ForwardControllerSettings MakeSettings(
        const OverloadSettings& overload) {
      ForwardControllerSettings settings;
      settings.overload = overload;
      return settings;
    }
    ReplicaSelector selector;
    SharedRetryBudget budget;
    CrashGuard crash_guard{{},
                           [](const EndpointRun&) { return true; },
                           [](const VmId&) { return std::size_t{1}; },
                           {},
                           SeededRandom(4),
                           DiscardEvents()};
    RunLockClient run_locks{{}, [](Fingerprint) { return Address(); }};
    RelaySelector relays{{}, ZoneId("z"), SeededRandom(5)};
    ReachabilityMonitor reachability{{}, DiscardEvents()};
    ForwardController controller;
  };
  struct Request {
    std::size_t node = 0;
    std::size_t caller = 0;
    ForwardId id;
    Precedence precedence;
    // Times at which the engine has read the prompt and at which the stream
    // ends.
    Time starts;
    Time ends;
    bool started = false;
  };
  struct Group {
    std::vector<Request> running;
    std::vector<Request> waiting;
  };
  struct ReturningCaller {
    Time at;
    std::size_t node = 0;
    std::size_t caller = 0;
  };

  static ZoneId Zone(std::size_t i) {
    return ZoneId("z" + std::to_string(i % kZones));
  }

  static std::shared_ptr<const RouteTable> Routes(
      const std::vector<SimulatedKind>& kinds) {
    FleetConfiguration configuration;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
      RouteRule route;
      route.host = "h";
      route.prefix = "/" + std::to_string(kind) + "/";
      route.retry_policy = RetryPolicy::kResume;
      route.streams = true;
      route.latency_objective = kinds[kind].objective;
      route.rank = Rank(static_cast<std::int64_t>(kind));
      route.shares = {{ServiceId("s"), 1}};
      configuration.routes.push_back(route);
    }
    for (std::size_t i = 0; i < kCustomers; ++i) {
      const std::string name = std::to_string(i);
      configuration.customers.push_back({CustomerId(name), {name}, {}});
    }
    EngineProfile profile;
    profile.models = {{ModelId("m"), 3, 1, 1, Duration(), Duration()}};
    configuration.services = {{ServiceId("s"), 100, profile}};
    return std::make_shared<const RouteTable>(std::move(configuration));
  }

  std::size_t DrawCustomer() {
    return DrawUnit(caller_random_) < fleet_.large_customer
               ? 0
               : DrawBelow(caller_random_, kCustomers);
  }

  void Submit(std::size_t node, std::size_t index, bool is_abusive) {
    const SimulatedCaller& caller = callers_[index];
    ForwardRequest request;
    request.host = "h";
    request.path = "/" + std::to_string(caller.kind) + "/x";
    request.key = std::to_string(caller.customer);
    request.caller_timeout = kCallerTimeout - (now_ - caller.asked);
    request.model = ModelId("m");
    request.prompt_tokens = TokenCount(700);
    const ForwardAdmission admission =
        nodes_[node]->controller.OnArrived(now_, std::move(request), routes_);
    if (const auto* send = std::get_if<SendForward>(&admission.step)) {
      Request run;
      run.node = node;
      run.caller = index;
      run.id = admission.id;
      run.precedence = *send->precedence;
      groups_[std::stoul(send->vm.value())].waiting.push_back(run);
      return;
    }
    // Each caller returns once; an abusive one does not wait.
    if (caller.asked == now_) {
      const auto& refused = std::get<ForwardRefused>(admission.step);
      returns_.push_back({is_abusive ? now_ + Duration::Millis(10)
                                     : now_ + refused.retry_after,
                          DrawBelow(random_, fleet_.nodes), index});
    }
  }

  void SubmitDueReturns() {
    std::vector<ReturningCaller> due;
    std::erase_if(returns_, [&](const ReturningCaller& caller) {
      if (caller.at > now_) {
        return false;
      }
      due.push_back(caller);
      return true;
    });
    for (const ReturningCaller& caller : due) {
      Submit(caller.node, caller.caller, false);
    }
  }

  void RunPass(std::size_t index) {
    Group& group = groups_[index];
    for (Request& request : group.running) {
      if (!request.started && now_ >= request.starts) {
        StartStream(group, request);
      }
    }
    std::erase_if(group.running, [&](const Request& request) {
      if (request.started && now_ >= request.ends) {
        ForwardEnd end;
        end.kind = ForwardEndKind::kSucceeded;
        end.delivered = true;
        nodes_[request.node]->controller.OnEnded(now_, request.id, end);
        return true;
      }
      return false;
    });
    std::erase_if(group.waiting, [&](const Request& request) {
      if (now_ - callers_[request.caller].asked < kCallerTimeout) {
        return false;
      }
      nodes_[request.node]->controller.OnCallerGone(now_, request.id);
      return true;
    });
    std::stable_sort(group.waiting.begin(), group.waiting.end(),
                     [](const Request& a, const Request& b) {
                       return a.precedence < b.precedence;
                     });
    while (!group.waiting.empty() && group.running.size() < kSlots) {
      Request request = group.waiting.front();
      group.waiting.erase(group.waiting.begin());
      request.starts = now_ + kPromptTime;
      request.ends = request.starts + kStreamTime;
      group.running.push_back(request);
    }
  }

  void StartStream(const Group& group, Request& request) {
    request.started = true;
    ForwardController& controller = nodes_[request.node]->controller;
    EndpointReport report;
    report.load = {static_cast<std::int64_t>(group.running.size()),
                   static_cast<std::int64_t>(group.waiting.size()), kSlots};
    controller.OnReport(now_, request.id, report);
    controller.OnProgress(now_, request.id);
    SimulatedCaller& caller = callers_[request.caller];
    caller.started = now_;
    in_time_ += IsInTime(caller) ? 1 : 0;
  }

  Random random_;
  // Draws customers.
  Random caller_random_;
  SimulatedFleet fleet_;
  const std::shared_ptr<const RouteTable> routes_;
  // Requests of each kind that have not been sent yet.
  std::vector<double> due_requests_;
  std::vector<SimulatedCaller> callers_;
  Time now_ = Time::FromMillis(1'000'000);
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Group> groups_;
  std::vector<ReturningCaller> returns_;
  int in_time_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_OVERLOAD_SIMULATION_H_
