// Measures which requests are served in time when a model has more requests
// than its groups can start in time: in order of arrival, and with some
// requests deferred. Each of many nodes decides on its own, with loads as old
// as the last answers that it received. All times are virtual.

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/bench_report.h"
#include "bench/endpoint_model.h"
#include "coordination/coordination.h"

namespace gcw::bench {
namespace {

constexpr std::size_t kGroups = 12;
constexpr std::int64_t kBatchSlots = 48;
// Mean sizes of a request, and how long its caller waits for the first token.
constexpr double kPromptTokens = 674;
constexpr double kAnswerTokens = 150;
constexpr double kObjectiveMillis = 300;
constexpr double kPatienceMillis = 2000;
// Requests per second over all nodes at the normal load, which is three
// quarters of the groups' capacity.
constexpr double kNormalPerSecond = 314;
// The load is normal before and after the burst. During the burst it is
// multiplied by the run's load factor.
constexpr Micros kBurstFrom = 6 * kSecond;
constexpr Micros kBurstUntil = 20 * kSecond;
constexpr Micros kEnd = 28 * kSecond;
constexpr double kLargestShare = 0.1;

enum class Policy {
  // Every request is sent at once, even if the groups are full.
  kArrival,
  // Requests are refused once the batch and a short queue are full.
  kFill,
  kDeferral,
};

struct Outcome {
  double in_time = 0;
  double late = 0;
  double refused = 0;
  double unserved = 0;
  // Ratio of the served fraction of the largest requests to the served fraction
  // of all requests.
  double largest_served = 0;
};

class DeferralWorld {
 public:
  DeferralWorld(std::size_t nodes,
                double load,
                Policy policy,
                std::uint64_t seed)
      : random_(SeededRandom(seed)), load_(load) {
    for (std::size_t i = 0; i < kGroups; ++i) {
      EngineSettings engine;
      engine.batch_limit = kBatchSlots;
      engine.prefill_tokens_per_second = 93500;
      engine.prefill_chunk_tokens = 2048;
      engine.decode_base_millis = 3.87;
      engine.decode_per_request_millis = 0.058;
      engines_.push_back(std::make_unique<EndpointModel>(events_, engine));
    }
    for (std::size_t i = 0; i < nodes; ++i) {
      AddNode(nodes, policy);
    }
  }

  Outcome Run() {
    Arrive();
    events_.RunUntil(kEnd + 10 * kSecond);
    const double asked = static_cast<double>(arrived_);
    Outcome outcome;
    outcome.in_time = static_cast<double>(in_time_) / asked;
    outcome.late = static_cast<double>(late_) / asked;
    outcome.refused = static_cast<double>(refused_) / asked;
    outcome.unserved = 1 - outcome.in_time - outcome.late - outcome.refused;
    outcome.largest_served = static_cast<double>(large_served_) /
                             static_cast<double>(std::max(1, large_)) /
                             std::max(1e-9, outcome.in_time + outcome.late);
    return outcome;
  }

 private:
  struct Node {
    Node(const ReplicaSelectorSettings& selector_settings,
         const ForwardControllerSettings& settings,
         std::size_t nodes,
         const Random& random)
        : selector(selector_settings, ZoneId("z"), random, DiscardEvents()),
          budget({.slack = 300}, random),
          crash_guard(
              {},
              [](const EndpointRun&) { return true; },
              [](const VmId&) { return std::size_t{1}; },
              {},
              random,
              DiscardEvents()),
          controller(settings,
                     {.selector = &selector,
                      .budget = &budget,
                      .crash_guard = &crash_guard,
                      .run_locks = &run_locks,
                      .relays = &relays,
                      .reachability = &reachability},
                     random,
                     DiscardEvents()) {
      selector.SetNodeCount(nodes);
      budget.Update(Time(), nodes);
    }
    ReplicaSelector selector;
    SharedRetryBudget budget;
    CrashGuard crash_guard;
    RunLockClient run_locks{{}, [](Fingerprint) { return Address(); }};
    RelaySelector relays{{}, ZoneId("z"), SeededRandom(5)};
    ReachabilityMonitor reachability{{}, DiscardEvents()};
    ForwardController controller;
  };
  struct Request {
    std::size_t node = 0;
    double prompt = 0;
    double answer = 0;
    Micros arrived = 0;
    bool is_retry = false;
  };

  void AddNode(std::size_t nodes, Policy policy) {
    ReplicaSelectorSettings selector;
    ForwardControllerSettings controller;
    if (policy == Policy::kArrival) {
      selector.max_fill_deferred = selector.max_fill_prioritized = 1e9;
    }
    if (policy != Policy::kDeferral) {
      controller.deferral.min_window = 1e9;
    }
    if (policy == Policy::kFill) {
      selector.max_fill_prioritized = selector.max_fill;
    }
    nodes_.push_back(
        std::make_unique<Node>(selector, controller, nodes,
                               SeededRandom(DrawBelow(random_, 1000000))));
    std::vector<Replica> replicas;
    for (std::size_t i = 0; i < kGroups; ++i) {
      Replica replica;
      replica.vm = VmId(std::to_string(i));
      replica.service = ServiceId("s");
      replica.model = ModelId("m");
      replica.zone = ZoneId("z");
      replica.slots = kBatchSlots;
      replica.pass_ms = 33;
      replica.prompt_tokens_per_ms = 93.5;
      replica.service_ms = 1000;
      replicas.push_back(replica);
    }
    nodes_.back()->selector.SetReplicas(events_.time(), replicas);
  }

  std::shared_ptr<const RouteTable> Routes() {
    FleetConfiguration configuration;
    RouteRule route;
    route.host = "h";
    route.prefix = "/";
    route.retry_policy = RetryPolicy::kResume;
    route.streams = true;
    route.latency_objective =
        Duration::Millis(static_cast<std::int64_t>(kObjectiveMillis));
    route.shares = {{ServiceId("s"), 1}};
    configuration.routes = {route};
    EngineProfile profile;
    profile.models = {{ModelId("m"), 6, 1, 1, Duration(), Duration()}};
    configuration.services = {{ServiceId("s"), 100, profile}};
    return std::make_shared<const RouteTable>(std::move(configuration));
  }

  double DrawExponential(double mean) {
    return -mean * std::log(1 - DrawUnit(random_));
  }

  void Arrive() {
    if (events_.now() >= kEnd) {
      return;
    }
    const bool bursts =
        events_.now() >= kBurstFrom && events_.now() < kBurstUntil;
    const double rate = kNormalPerSecond * (bursts ? load_ : 1);
    Request request;
    request.node = DrawBelow(random_, nodes_.size());
    request.prompt = std::min(2340.0, DrawExponential(kPromptTokens));
    request.answer = std::max(5.0, DrawExponential(kAnswerTokens));
    request.arrived = events_.now();
    ++arrived_;
    large_ += IsLarge(request) ? 1 : 0;
    Offer(request);
    events_.ScheduleAfter(MicrosFromMillis(DrawExponential(1000 / rate)),
                          [this] { Arrive(); });
  }

  static bool IsLarge(const Request& request) {
    return request.prompt > -kPromptTokens * std::log(kLargestShare);
  }

  void Offer(const Request& request) {
    Node& node = *nodes_[request.node];
    ForwardRequest forward;
    forward.host = "h";
    forward.path = "/x";
    forward.model = ModelId("m");
    forward.prompt_tokens =
        TokenCount(static_cast<std::int64_t>(request.prompt));
    const ForwardAdmission admission =
        node.controller.OnArrived(events_.time(), std::move(forward), routes_);
    if (const auto* send = std::get_if<SendForward>(&admission.step)) {
      Submit(request, admission.id, *send);
      return;
    }
    const auto& refused = std::get<ForwardRefused>(admission.step);
    if (request.is_retry) {
      ++refused_;
      return;
    }
    Request again = request;
    again.is_retry = true;
    events_.ScheduleAfter(
        MicrosFromMillis(static_cast<double>(refused.retry_after.millis())),
        [this, again] { Offer(again); });
  }

  void Submit(const Request& request, ForwardId id, const SendForward& send) {
    EndpointModel& engine = *engines_[std::stoul(send.vm.value())];
    const std::uint64_t number = ++last_request_;
    const auto begun = std::make_shared<bool>(false);
    EngineRequest run;
    run.id = number;
    run.priority = send.precedence
                       ? static_cast<std::int64_t>(send.precedence->urgency)
                       : 0;
    run.prompt_tokens = static_cast<std::int64_t>(request.prompt);
    run.generated_tokens = static_cast<std::int64_t>(request.answer);
    run.on_first_token = [this, request, id, begun, &engine](std::int64_t) {
      *begun = true;
      Node& node = *nodes_[request.node];
      const LoadReport load = engine.Load();
      EndpointReport report;
      report.load = {load.running_requests, load.queued_requests,
                     load.batch_limit};
      node.controller.OnReport(events_.time(), id, report);
      node.controller.OnProgress(events_.time(), id);
      const bool in_time =
          events_.now() - request.arrived <= MicrosFromMillis(kObjectiveMillis);
      ++(in_time ? in_time_ : late_);
      large_served_ += IsLarge(request) ? 1 : 0;
    };
    run.on_finished = [this, request, id] {
      ForwardEnd end;
      end.kind = ForwardEndKind::kSucceeded;
      end.delivered = true;
      nodes_[request.node]->controller.OnEnded(events_.time(), id, end);
    };
    engine.Submit(std::move(run));
    events_.ScheduleAfter(MicrosFromMillis(kPatienceMillis),
                          [this, request, id, begun, number, &engine] {
                            if (!*begun) {
                              engine.Cancel(number);
                              nodes_[request.node]->controller.OnCallerGone(
                                  events_.time(), id);
                            }
                          });
  }

  Random random_;
  double load_;
  EventQueue events_;
  std::vector<std::unique_ptr<EndpointModel>> engines_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::shared_ptr<const RouteTable> routes_ = Routes();
  std::uint64_t last_request_ = 0;
  int arrived_ = 0;
  int in_time_ = 0;
  int late_ = 0;
  int refused_ = 0;
  int large_ = 0;
  int large_served_ = 0;
};

int Main(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  BenchReport report("gateway_deferral",
                     {"nodes", "load", "policy", "in time", "late", "refused",
                      "unserved", "largest tenth"});
  const std::vector<std::pair<Policy, std::string>> policies = {
      {Policy::kArrival, "arrival"},
      {Policy::kFill, "fill"},
      {Policy::kDeferral, "deferral"}};
  for (const std::size_t nodes : {8, 64}) {
    for (const int percent : {100, 130, 170, 220}) {
      for (const auto& [policy, name] : policies) {
        std::vector<double> in_time;
        std::vector<double> late;
        std::vector<double> refused;
        std::vector<double> unserved;
        std::vector<double> largest;
        for (const std::uint64_t seed : options.seeds) {
          DeferralWorld world(nodes, percent / 100.0, policy, seed);
          const Outcome outcome = world.Run();
          in_time.push_back(outcome.in_time);
          late.push_back(outcome.late);
          refused.push_back(outcome.refused);
          unserved.push_back(outcome.unserved);
          largest.push_back(outcome.largest_served);
        }
        report.AddRow({std::to_string(nodes), std::to_string(percent), name,
                       FormatSpread(SpreadOf(in_time), 3),
                       FormatNumber(SpreadOf(late).mean, 3),
                       FormatNumber(SpreadOf(refused).mean, 3),
                       FormatNumber(SpreadOf(unserved).mean, 3),
                       FormatNumber(SpreadOf(largest).mean, 3)});
        const std::string prefix = "nodes" + std::to_string(nodes) + "_load" +
                                   std::to_string(percent) + "_" + name + "_";
        report.SetFigure(prefix + "in_time", SpreadOf(in_time).mean);
        report.SetFigure(prefix + "largest_served", SpreadOf(largest).mean);
      }
    }
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Main(argc, argv);
}
