#include <gtest/gtest.h>

#include <map>
#include <memory>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(1000000);

Replica MakeGroup(const std::string& vm) {
  Replica replica;
  replica.vm = VmId(vm);
  replica.service = ServiceId("llm");
  replica.model = ModelId("m");
  replica.generation = Generation(1);
  replica.slots = 4;
  return replica;
}

// Guards against an explanation that names another reason than the one for
// which the choice leaves a replica out.
TEST(ReplicaExplanationTest, NamesWhatExcludesEachReplica) {
  const std::map<VmId, std::optional<ReplicaExclusion>> expected = {
      {VmId("backoff"), ReplicaExclusion::kBackoff},
      {VmId("cold"), ReplicaExclusion::kCold},
      {VmId("evacuated"), ReplicaExclusion::kEvacuated},
      {VmId("free"), std::nullopt},
      {VmId("full"), ReplicaExclusion::kFull},
      {VmId("held"), ReplicaExclusion::kHeld},
      {VmId("limited"), ReplicaExclusion::kLimited},
      {VmId("stalled"), ReplicaExclusion::kStalled}};
  ReplicaSelector selector({}, ZoneId("z"), SeededRandom(5), DiscardEvents());
  for (const auto& [vm, exclusion] : expected) {
    Replica replica = MakeGroup(vm.value());
    replica.accepts_requests = exclusion != ReplicaExclusion::kEvacuated;
    if (exclusion == ReplicaExclusion::kCold) {
      replica.warm_up = {RequestRate::PerSecond(26), Duration::Seconds(3),
                         Duration::Seconds(3)};
    }
    selector.SetReplica(kStart, replica);
  }
  const Time now = kStart + Duration::Seconds(2);
  const auto send = [&](const char* vm) {
    return selector.OnSent(now, VmId(vm), TokenCount(100), true);
  };
  selector.OnEnded(now, send("backoff"), ForwardEndKind::kNothingSent);
  EndpointReport report;
  report.cooldown = Duration::Seconds(3);
  selector.OnReport(now, send("held"), report);
  report = {};
  report.rate_limit = RequestRate::PerSecond(1);
  selector.OnReport(now, send("limited"), report);
  selector.OnLoad(now, VmId("full"), {4, 20, 4});
  selector.OnPeerStall(now, VmId("stalled"), Generation(1));
  const ReplicaDemand demand{ServiceId("llm"), ModelId("m"), {}, {}, {}, {}};
  const auto explained = selector.Explain(now, demand).candidates;
  ASSERT_EQ(explained.size(), expected.size());
  for (const ReplicaExplanation& replica : explained) {
    EXPECT_EQ(replica.exclusion, expected.at(replica.vm)) << replica.vm;
    EXPECT_EQ(replica.chosen_draws, replica.exclusion ? 0 : 1000);
    EXPECT_EQ(replica.load_age.has_value(), replica.vm == VmId("full"));
  }
}

// A node's request handling, without the rest of the node.
struct Node {
  Node() {
    RouteRule route;
    route.host = "h";
    route.prefix = "/r/";
    route.shares = {{ServiceId("llm"), 9}, {ServiceId("spare"), 1}};
    FleetConfiguration configuration;
    configuration.routes = {route};
    configuration.services = {{ServiceId("llm"), 100, EngineProfile()},
                              {ServiceId("spare"), 100, EngineProfile()}};
    configuration.customers = {{CustomerId("c"), {"key"}, Rank(1)}};
    routes = std::make_shared<const RouteTable>(std::move(configuration));
    selector.SetReplicas(kStart, {MakeGroup("a"), MakeGroup("b")});
  }

  ForwardAdmission Arrive(Time now) {
    ForwardRequest request;
    request.host = "h";
    request.path = "/r/x";
    request.key = "key";
    request.model = ModelId("m");
    return controller.OnArrived(now, std::move(request), routes);
  }
  RouteExplanation Explain(Time now,
                           const char* customer = "c",
                           const char* service = "") const {
    const RouteQuery query{"h",          "/r/x",
                           ModelId("m"), CustomerId(customer),
                           {},           ServiceId(service)};
    return controller.Explain(now, query, routes);
  }

  std::shared_ptr<const RouteTable> routes;
  ReplicaSelector selector{{}, ZoneId("z"), SeededRandom(5), DiscardEvents()};
  SharedRetryBudget budget{{}, SeededRandom(6)};
  CrashGuard crash_guard{{}, {}, {}, {}, SeededRandom(4), DiscardEvents()};
  RunLockClient run_locks{{}, [](Fingerprint) { return Address(); }};
  RelaySelector relays{{}, ZoneId("z"), SeededRandom(3)};
  ReachabilityMonitor reachability{{}, DiscardEvents()};
  ForwardController controller{
      {},
      {&selector, &budget, &crash_guard, &run_locks, &relays, &reachability},
      SeededRandom(2),
      DiscardEvents()};
};

// Guards against queries that change later decisions, and against verdicts that
// differ from what happens to a request that arrives at that moment.
TEST(RouteExplanationTest, TellsWhatHappensNextAndChangesNothing) {
  Node queried;
  Node other;
  const Random random = SeededRandom(11);
  std::map<std::string, int> seen;
  std::vector<ForwardId> open;
  Time now = kStart;
  for (int i = 0; i < 500; ++i) {
    now = now + Duration::Millis(static_cast<std::int64_t>(random() % 40));
    const RouteExplanation explained = queried.Explain(now);
    const ForwardAdmission admission = queried.Arrive(now);
    const ForwardStep expected = other.Arrive(now).step;
    ASSERT_EQ(admission.step.index(), expected.index());
    if (const auto* send = std::get_if<SendForward>(&admission.step)) {
      ASSERT_EQ(send->vm, std::get<SendForward>(expected).vm);
      EXPECT_FALSE(explained.refusal);
      EXPECT_EQ(explained.rank, send->precedence->rank);
      EXPECT_EQ(explained.urgency, send->precedence->urgency);
      ++seen[explained.urgency == Urgency::kDeferred ? "deferred" : "on time"];
      open.push_back(admission.id);
    } else if (std::get<ForwardRefused>(expected).kind !=
               RefusalKind::kNoEndpoint) {
      // The other requests drew the service that has no endpoints.
      EXPECT_EQ(explained.refusal, std::get<ForwardRefused>(expected).kind);
      ++seen["refused"];
    }
    if (!open.empty() && random() % 3 == 0) {
      for (Node* node : {&queried, &other}) {
        node->controller.OnProgress(now, open.front());
        node->controller.OnCallerGone(now, open.front());
      }
      open.erase(open.begin());
    }
  }
  EXPECT_EQ(seen.size(), 3U);
  EXPECT_EQ(queried.Explain(now, "x").refusal, RefusalKind::kUnknownKey);
  EXPECT_EQ(queried.Explain(now, "c", "x").refusal,
            RefusalKind::kUnknownService);
  EXPECT_EQ(queried.Explain(now, "c", "spare").refusal,
            RefusalKind::kNoEndpoint);
}

}  // namespace
}  // namespace gcw
