#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <memory>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(1000000);

RouteRule MakeRoute(const std::string& prefix, RetryPolicy retry_policy) {
  RouteRule route;
  route.name = prefix;
  route.host = "h";
  route.prefix = prefix;
  route.retry_policy = retry_policy;
  route.streams = retry_policy == RetryPolicy::kResume;
  route.time_limit = Duration::Seconds(5);
  route.shares = {{ServiceId("s"), 1}};
  route.max_attempts = 2;
  return route;
}

std::shared_ptr<const RouteTable> MakeRoutes() {
  FleetConfiguration configuration;
  configuration.version = ConfigurationVersion(1);
  configuration.routes = {MakeRoute("/once/", RetryPolicy::kNever),
                          MakeRoute("/whole/", RetryPolicy::kFullRetry),
                          MakeRoute("/stream/", RetryPolicy::kResume)};
  configuration.routes.push_back(MakeRoute("/open/", RetryPolicy::kFullRetry));
  configuration.routes.back().allows_anonymous = true;
  configuration.services = {{ServiceId("s"), 100, std::nullopt}};
  configuration.customers = {{CustomerId("c"), {"key"}, std::nullopt}};
  return std::make_shared<const RouteTable>(std::move(configuration));
}

class ForwardControllerTest : public testing::Test {
 protected:
  ForwardControllerTest()
      : selector_({}, ZoneId("z"), SeededRandom(1), DiscardEvents()),
        budget_({}, SeededRandom(6)),
        relays_({}, ZoneId("z"), SeededRandom(3)),
        reachability_({}, DiscardEvents()),
        controller_({},
                    {.selector = &selector_,
                     .budget = &budget_,
                     .crash_guard = &crash_guard_,
                     .run_locks = &run_locks_,
                     .relays = &relays_,
                     .reachability = &reachability_},
                    SeededRandom(2),
                    [this](const EventDraft& event) {
                      events_.push_back(event.kind);
                      return EventId();
                    }) {
    budget_.Update(now_ - Duration::Seconds(60), 1);
    SetReplicas(3);
  }

  void SetReplicas(int count) {
    std::vector<Replica> replicas;
    for (int i = 0; i < count; ++i) {
      Replica replica;
      replica.vm = VmId("v" + std::to_string(i));
      replica.address = Address("a" + std::to_string(i));
      replica.service = ServiceId("s");
      replica.zone = ZoneId("z");
      replica.slots = 6;
      replicas.push_back(replica);
    }
    selector_.SetReplicas(now_, replicas);
  }

  ForwardAdmission Arrive(const std::string& path,
                          const std::string& key = "key") {
    ForwardRequest request;
    request.id = RequestId("q");
    request.host = "h";
    request.path = path;
    request.key = key;
    request.caller_timeout = Duration::Seconds(1);
    return controller_.OnArrived(now_, std::move(request), MakeRoutes());
  }

  static ForwardEnd End(ForwardEndKind kind) {
    ForwardEnd end;
    end.kind = kind;
    return end;
  }

  Time now_ = kStart;
  std::vector<EventKind> events_;
  ReplicaSelector selector_;
  SharedRetryBudget budget_;
  CrashGuard crash_guard_{{},
                          [](const EndpointRun&) { return true; },
                          [](const VmId&) { return std::size_t{1}; },
                          {},
                          SeededRandom(4),
                          DiscardEvents()};
  RunLockClient run_locks_{{}, [](Fingerprint) { return Address(); }};
  RelaySelector relays_;
  ReachabilityMonitor reachability_;
  ForwardController controller_;
};

// Guards against a permanent refusal of a valid request by a node that has just
// started: without a configuration it cannot tell an unknown route from one
// that it has not received.
TEST_F(ForwardControllerTest, NodeWithoutConfigurationRefusesAsNotReady) {
  ForwardRequest request;
  request.host = "h";
  request.path = "/once/1";
  const ForwardAdmission admission =
      controller_.OnArrived(now_, request, nullptr);
  const auto& refused = std::get<ForwardRefused>(admission.step);
  EXPECT_EQ(refused.kind, RefusalKind::kNotReady);
  EXPECT_GT(refused.retry_after, Duration());
}

TEST_F(ForwardControllerTest, UnknownRoutesAndKeysAreRefusedWithoutRetryDelay) {
  EXPECT_EQ(std::get<ForwardRefused>(Arrive("/none/1").step).kind,
            RefusalKind::kUnknownService);
  EXPECT_EQ(std::get<ForwardRefused>(Arrive("/once/1", "bad").step).kind,
            RefusalKind::kUnknownKey);
  EXPECT_EQ(std::get<ForwardRefused>(Arrive("/once/1", "bad").step).retry_after,
            Duration());
  EXPECT_TRUE(std::holds_alternative<SendForward>(Arrive("/open/1", "").step));
}

TEST_F(ForwardControllerTest, SendCarriesTheCustomerOfTheKey) {
  const auto send = std::get<SendForward>(Arrive("/once/1").step);
  EXPECT_EQ(send.customer, CustomerId("c"));
  EXPECT_EQ(send.time_left, Duration::Seconds(1));
  EXPECT_TRUE(send.fresh_connection);
}

// Guards against a reservation that is made twice because the request is sent
// again after the connection broke.
TEST_F(ForwardControllerTest, NonRepeatableRequestThatMayHaveRunIsNotRetried) {
  for (const auto kind :
       {ForwardEndKind::kConnectionBroken, ForwardEndKind::kSilent,
        ForwardEndKind::kDeadlineExceeded}) {
    const ForwardAdmission admission = Arrive("/once/1");
    EXPECT_TRUE(std::holds_alternative<ForwardOutcomeUnknown>(
        controller_.OnEnded(now_, admission.id, End(kind))));
  }
  const ForwardAdmission admission = Arrive("/once/1");
  EXPECT_TRUE(std::holds_alternative<PassAnswer>(controller_.OnEnded(
      now_, admission.id, End(ForwardEndKind::kEndpointFailed))));
}

TEST_F(ForwardControllerTest, RequestThatDidNotRunIsRetriedElsewhere) {
  for (const auto kind : {ForwardEndKind::kNotRun, ForwardEndKind::kOtherVm,
                          ForwardEndKind::kNothingSent}) {
    SetReplicas(3);
    const ForwardAdmission admission = Arrive("/once/1");
    const VmId first = std::get<SendForward>(admission.step).vm;
    const ForwardStep step = controller_.OnEnded(now_, admission.id, End(kind));
    ASSERT_TRUE(std::holds_alternative<SendForward>(step));
    EXPECT_NE(std::get<SendForward>(step).vm, first);
    controller_.OnCallerGone(now_, admission.id);
    now_ = now_ + Duration::Seconds(10);
  }
}

TEST_F(ForwardControllerTest, RefusalAfterABrokenRunLeavesTheOutcomeUnknown) {
  SetReplicas(2);
  const ForwardAdmission admission = Arrive("/whole/1");
  ASSERT_TRUE(std::holds_alternative<SendForward>(controller_.OnEnded(
      now_, admission.id, End(ForwardEndKind::kConnectionBroken))));
  EXPECT_TRUE(std::holds_alternative<ForwardOutcomeUnknown>(
      controller_.OnEnded(now_, admission.id, End(ForwardEndKind::kNotRun))));
}

TEST_F(ForwardControllerTest, EndpointFailureIsRetriedElsewhereThenPassedOn) {
  const ForwardAdmission admission = Arrive("/whole/1");
  ASSERT_TRUE(std::holds_alternative<SendForward>(controller_.OnEnded(
      now_, admission.id, End(ForwardEndKind::kEndpointFailed))));
  EXPECT_TRUE(std::holds_alternative<PassAnswer>(controller_.OnEnded(
      now_, admission.id, End(ForwardEndKind::kEndpointFailed))));
}

TEST_F(ForwardControllerTest, StreamResumesAfterTheLastDeliveredEvent) {
  const ForwardAdmission admission = Arrive("/stream/1");
  ForwardEnd end = End(ForwardEndKind::kConnectionBroken);
  end.delivered = true;
  end.last_event = 7;
  const ForwardStep step = controller_.OnEnded(now_, admission.id, end);
  EXPECT_EQ(std::get<SendForward>(step).resume_after, 7);
  // A third run is not allowed, so the caller must see that the stream is cut.
  end.last_event = 9;
  EXPECT_TRUE(std::holds_alternative<ForwardTruncated>(
      controller_.OnEnded(now_, admission.id, end)));
}

// A node that reaches no endpoint, and others that do.
class ForwardControllerRelayTest : public ForwardControllerTest {
 protected:
  ForwardControllerRelayTest() {
    SetReplicas(1);
    controller_.OnEnded(now_, Arrive("/whole/1").id,
                        End(ForwardEndKind::kNothingSent));
    now_ = now_ + Duration::Millis(200);
    ReachReport report;
    report.accepts_relays = true;
    report.services = {{ServiceId("s"), ModelId(), 1, Duration()}};
    for (const char* node : {"n2", "n3"}) {
      relays_.OnReport(now_, Address(node), ZoneId("z"), report);
    }
  }

  // Passes a request on to another node, which refuses it, and returns the next
  // step.
  ForwardStep PassOnAndRefuse(RefusalKind refusal, bool is_unsent) {
    const ForwardAdmission admission = Arrive("/whole/1");
    EXPECT_TRUE(std::holds_alternative<RelayForward>(admission.step));
    ForwardEnd end = End(ForwardEndKind::kNotRun);
    end.refusal = refusal;
    end.is_unsent = is_unsent;
    return controller_.OnEnded(now_, admission.id, end);
  }
};

// Guards against sends that nobody counts: the other node's endpoint rejected
// the request, so another send is a retry.
TEST_F(ForwardControllerRelayTest, ARequestRejectedThroughAnotherNodeIsARetry) {
  while (budget_.TrySpend(now_, ServiceId("s"))) {
  }
  const ForwardStep step =
      PassOnAndRefuse(RefusalKind::kEndpointRefused, false);
  ASSERT_TRUE(std::holds_alternative<ForwardRefused>(step));
  EXPECT_EQ(std::get<ForwardRefused>(step).kind, RefusalKind::kRetryBudget);
}

TEST_F(ForwardControllerRelayTest, ARequestThatNoEndpointHadIsNoRetry) {
  while (budget_.TrySpend(now_, ServiceId("s"))) {
  }
  EXPECT_TRUE(std::holds_alternative<RelayForward>(
      PassOnAndRefuse(RefusalKind::kQueueFull, true)));
}

// A fleet of engines, which order their waiting requests by precedence.
class ForwardControllerPrecedenceTest : public ForwardControllerTest {
 protected:
  ForwardControllerPrecedenceTest() {
    EngineProfile profile;
    profile.models = {{ModelId("m"), 1, 1, 1, Duration(), Duration()}};
    configuration_.version = ConfigurationVersion(1);
    configuration_.routes = {MakeRoute("/stream/", RetryPolicy::kResume)};
    configuration_.routes.front().rank = Rank(2);
    configuration_.routes.front().latency_objective = Duration::Millis(100);
    configuration_.services = {{ServiceId("s"), 100, profile}};
    configuration_.customers = {{CustomerId("c"), {"key"}, std::nullopt},
                                {CustomerId("d"), {"first"}, Rank(1)}};
    std::vector<Replica> replicas;
    for (int i = 0; i < 3; ++i) {
      Replica replica;
      replica.vm = VmId("v" + std::to_string(i));
      replica.service = ServiceId("s");
      replica.model = ModelId("m");
      replica.slots = 6;
      replicas.push_back(replica);
    }
    selector_.SetReplicas(now_, replicas);
  }

  ForwardAdmission ArriveWithKey(
      const std::string& key,
      std::optional<std::int64_t> resume_after = {}) {
    ForwardRequest request;
    request.resume_after = resume_after;
    request.host = "h";
    request.path = "/stream/1";
    request.key = key;
    request.model = ModelId("m");
    return controller_.OnArrived(
        now_, std::move(request),
        std::make_shared<const RouteTable>(configuration_));
  }

  FleetConfiguration configuration_;
};

TEST_F(ForwardControllerPrecedenceTest, CustomerRankOverridesRouteRank) {
  EXPECT_EQ(std::get<SendForward>(ArriveWithKey("key").step).precedence->rank,
            Rank(2));
  EXPECT_EQ(std::get<SendForward>(ArriveWithKey("first").step).precedence->rank,
            Rank(1));
}

TEST_F(ForwardControllerPrecedenceTest, ResumedStreamHasTheHighestUrgency) {
  const ForwardAdmission admission = ArriveWithKey("key");
  controller_.OnProgress(now_, admission.id);
  ForwardEnd end = End(ForwardEndKind::kSilent);
  end.delivered = true;
  end.last_event = 3;
  const ForwardStep step = controller_.OnEnded(now_, admission.id, end);
  EXPECT_EQ(std::get<SendForward>(step).precedence->urgency, Urgency::kResumed);
}

// Guards against streams that are late already and delay new requests after a
// loss of many nodes: callers whose streams broke return together two seconds
// later, and a resumed stream must not be prioritized if its pause is already
// too long.
TEST_F(ForwardControllerPrecedenceTest, ResumedStreamWithALongPauseIsDeferred) {
  const ForwardAdmission admission = ArriveWithKey("key");
  controller_.OnProgress(now_, admission.id);
  now_ = now_ + Duration::Seconds(1);
  ForwardEnd end = End(ForwardEndKind::kSilent);
  end.delivered = true;
  end.last_event = 3;
  const ForwardStep step = controller_.OnEnded(now_, admission.id, end);
  EXPECT_EQ(std::get<SendForward>(step).precedence->urgency,
            Urgency::kDeferred);
}

TEST_F(ForwardControllerPrecedenceTest, RequestToResumeIsDeferred) {
  const ForwardAdmission admission = ArriveWithKey("key", 3);
  EXPECT_EQ(std::get<SendForward>(admission.step).precedence->urgency,
            Urgency::kDeferred);
}

// Guards against a late request that makes others late: its first endpoint is
// stalled for longer than the objective, and it must not go to the next one as
// if it were new.
TEST_F(ForwardControllerPrecedenceTest, LateRequestIsDeferred) {
  const ForwardAdmission admission = ArriveWithKey("key");
  now_ = now_ + Duration::Millis(150);
  const ForwardStep step =
      controller_.OnEnded(now_, admission.id, End(ForwardEndKind::kNotRun));
  EXPECT_EQ(std::get<SendForward>(step).precedence->urgency,
            Urgency::kDeferred);
}

// Guards against a burst that makes all requests late: after a steady rate five
// requests arrive at once, and only one of them starts within the objective, so
// only one may be prioritized.
TEST_F(ForwardControllerPrecedenceTest,
       RequestsBeyondTheWindowAreDeferredOnArrival) {
  for (int i = 0; i < 9; ++i) {
    const ForwardAdmission admission = ArriveWithKey("key");
    ASSERT_EQ(std::get<SendForward>(admission.step).precedence->urgency,
              Urgency::kOnTime);
    now_ = now_ + Duration::Millis(150);
    controller_.OnProgress(now_, admission.id);
    ForwardEnd end = End(ForwardEndKind::kSucceeded);
    end.delivered = true;
    controller_.OnEnded(now_, admission.id, end);
  }
  std::vector<Urgency> urgencies;
  std::vector<ForwardId> ids;
  for (int i = 0; i < 5; ++i) {
    const ForwardAdmission admission = ArriveWithKey("key");
    urgencies.push_back(
        std::get<SendForward>(admission.step).precedence->urgency);
    ids.push_back(admission.id);
  }
  EXPECT_EQ(urgencies,
            (std::vector<Urgency>{Urgency::kOnTime, Urgency::kDeferred,
                                  Urgency::kDeferred, Urgency::kDeferred,
                                  Urgency::kDeferred}));
  // The next request is prioritized once the first has started, ended or lost
  // its caller.
  controller_.OnProgress(now_, ids[0]);
  const ForwardAdmission next = ArriveWithKey("key");
  EXPECT_EQ(std::get<SendForward>(next.step).precedence->urgency,
            Urgency::kOnTime);
  controller_.OnCallerGone(now_, next.id);
  const ForwardAdmission last = ArriveWithKey("key");
  EXPECT_EQ(std::get<SendForward>(last.step).precedence->urgency,
            Urgency::kOnTime);
  controller_.OnEnded(now_, last.id, End(ForwardEndKind::kDeadlineExceeded));
  EXPECT_EQ(
      std::get<SendForward>(ArriveWithKey("key").step).precedence->urgency,
      Urgency::kOnTime);
}

// Guards against two final events for one request, and against a refusal event
// for a request whose outcome is unknown: the search for another endpoint must
// not report a refusal of its own.
TEST_F(ForwardControllerTest, EachRequestHasOneFinalEvent) {
  SetReplicas(1);
  ForwardAdmission admission = Arrive("/whole/1");
  controller_.OnEnded(now_, admission.id, End(ForwardEndKind::kNotRun));
  EXPECT_EQ(events_, std::vector<EventKind>{EventKind::kRequestRefused});
  events_.clear();
  SetReplicas(0);
  SetReplicas(1);
  admission = Arrive("/whole/1");
  ASSERT_TRUE(std::holds_alternative<SendForward>(admission.step));
  controller_.OnEnded(now_, admission.id,
                      End(ForwardEndKind::kConnectionBroken));
  EXPECT_EQ(events_, std::vector<EventKind>{EventKind::kRequestOutcomeUnknown});
  events_.clear();
  SetReplicas(0);
  SetReplicas(1);
  // The endpoint's own failure is passed on, so the outcome is known.
  admission = Arrive("/whole/1");
  ASSERT_TRUE(std::holds_alternative<SendForward>(admission.step));
  controller_.OnEnded(now_, admission.id, End(ForwardEndKind::kEndpointFailed));
  EXPECT_TRUE(events_.empty());
}

TEST_F(ForwardControllerTest, RequestIsNotRetriedWithoutTimeLeft) {
  const ForwardAdmission admission = Arrive("/whole/1");
  now_ = now_ + Duration::Millis(980);
  EXPECT_TRUE(std::holds_alternative<ForwardOutcomeUnknown>(controller_.OnEnded(
      now_, admission.id, End(ForwardEndKind::kConnectionBroken))));
}

TEST_F(ForwardControllerTest, RefusesAtOnceIfThereIsNoCapacity) {
  SetReplicas(1);
  int refused = 0;
  for (int i = 0; i < 12; ++i) {
    const ForwardAdmission admission = Arrive("/whole/1");
    if (const auto* refusal = std::get_if<ForwardRefused>(&admission.step)) {
      ++refused;
      EXPECT_EQ(refusal->kind, RefusalKind::kNoCapacity);
      EXPECT_GT(refusal->retry_after, Duration());
    }
  }
  EXPECT_GT(refused, 0);
}

// Whatever the endpoints do, a request that may not be repeated is sent at most
// once in a way that may have run, and its caller is told "not run" only if it
// never ran.
RC_GTEST_PROP(ForwardControllerProperty, AtMostOnceAndTruthfulRefusals, ()) {
  Time now = kStart;
  ReplicaSelector selector({}, ZoneId("z"),
                           SeededRandom(*rc::gen::inRange(1, 100000)),
                           DiscardEvents());
  SharedRetryBudget budget({}, SeededRandom(6));
  budget.Update(now - Duration::Seconds(60), 1);
  CrashGuard crash_guard(
      {}, [](const EndpointRun&) { return true; },
      [](const VmId&) { return std::size_t{1}; }, {}, SeededRandom(4),
      DiscardEvents());
  RunLockClient run_locks({}, [](Fingerprint) { return Address(); });
  RelaySelector relays({}, ZoneId("z"), SeededRandom(5));
  ReachabilityMonitor reachability({}, DiscardEvents());
  ForwardController controller({},
                               {.selector = &selector,
                                .budget = &budget,
                                .crash_guard = &crash_guard,
                                .run_locks = &run_locks,
                                .relays = &relays,
                                .reachability = &reachability},
                               SeededRandom(3), DiscardEvents());
  std::vector<Replica> replicas;
  for (int i = 0; i < *rc::gen::inRange(1, 6); ++i) {
    Replica replica;
    replica.vm = VmId("v" + std::to_string(i));
    replica.service = ServiceId("s");
    replica.slots = 6;
    replicas.push_back(replica);
  }
  selector.SetReplicas(now, replicas);
  const bool may_repeat = *rc::gen::arbitrary<bool>();
  ForwardRequest request;
  request.host = "h";
  request.path = may_repeat ? "/whole/1" : "/once/1";
  request.key = "key";
  ForwardAdmission admission = controller.OnArrived(now, request, MakeRoutes());
  ForwardStep step = admission.step;
  int may_have_run = 0;
  int sends = 0;
  while (std::holds_alternative<SendForward>(step)) {
    RC_ASSERT(++sends < 20);
    const auto kind = *rc::gen::element(
        ForwardEndKind::kEndpointFailed, ForwardEndKind::kNotRun,
        ForwardEndKind::kOtherVm, ForwardEndKind::kNothingSent,
        ForwardEndKind::kConnectionBroken, ForwardEndKind::kSilent);
    const bool not_run = kind == ForwardEndKind::kNotRun ||
                         kind == ForwardEndKind::kOtherVm ||
                         kind == ForwardEndKind::kNothingSent;
    may_have_run += not_run ? 0 : 1;
    now = now + Duration::Millis(*rc::gen::inRange(1, 400));
    ForwardEnd end;
    end.kind = kind;
    step = controller.OnEnded(now, admission.id, end);
  }
  if (!may_repeat) {
    RC_ASSERT(may_have_run <= 1);
  }
  RC_ASSERT(may_have_run <= 2);
  if (std::holds_alternative<ForwardRefused>(step)) {
    RC_ASSERT(may_have_run == 0);
  }
  RC_ASSERT(controller.open_requests() == 0U);
}

}  // namespace
}  // namespace gcw
