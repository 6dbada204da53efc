#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <memory>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(1000000);

RouteRule MakeRoute(const std::string& prefix, Repetition repetition) {
  RouteRule route;
  route.name = prefix;
  route.host = "h";
  route.prefix = prefix;
  route.repetition = repetition;
  route.streams = repetition == Repetition::kResume;
  route.time_limit = Duration::Seconds(5);
  route.shares = {{ServiceId("s"), 1}};
  route.most_attempts = 2;
  return route;
}

std::shared_ptr<const RouteTable> MakeRoutes() {
  FleetConfiguration configuration;
  configuration.version = ConfigurationVersion(1);
  configuration.routes = {MakeRoute("/once/", Repetition::kNever),
                          MakeRoute("/whole/", Repetition::kWhole),
                          MakeRoute("/stream/", Repetition::kResume)};
  configuration.routes.push_back(MakeRoute("/open/", Repetition::kWhole));
  configuration.routes.back().open_to_all = true;
  configuration.services = {{ServiceId("s"), 100, std::nullopt}};
  configuration.customers = {{CustomerId("c"), {"key"}, std::nullopt}};
  return std::make_shared<const RouteTable>(std::move(configuration));
}

class ForwardDeskTest : public testing::Test {
 protected:
  ForwardDeskTest()
      : selector_({}, ZoneId("z"), SeededRandom(1), DiscardEvents()),
        budget_({0.2, 100, Duration::Seconds(10), 0.8}),
        desk_({},
              &selector_,
              &budget_,
              SeededRandom(2),
              [this](const EventDraft& event) {
                events_.push_back(event.kind);
                return EventId();
              }) {
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
      replica.places = 6;
      replicas.push_back(replica);
    }
    selector_.SetReplicas(now_, replicas);
  }

  ForwardBegun Arrive(const std::string& path, const std::string& key = "key") {
    ForwardRequest request;
    request.id = RequestId("q");
    request.host = "h";
    request.path = path;
    request.key = key;
    request.patience = Duration::Seconds(1);
    return desk_.OnArrived(now_, std::move(request), MakeRoutes());
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
  ForwardDesk desk_;
};

// Guards against a permanent refusal of a valid request by a node that has just
// started: without a configuration it cannot tell an unknown route from one
// that it has not received.
TEST_F(ForwardDeskTest, NodeWithoutConfigurationRefusesAsNotReady) {
  ForwardRequest request;
  request.host = "h";
  request.path = "/once/1";
  const ForwardBegun admission = desk_.OnArrived(now_, request, nullptr);
  const auto& refused = std::get<ForwardRefused>(admission.step);
  EXPECT_EQ(refused.kind, RefusalKind::kNotReady);
  EXPECT_GT(refused.retry_after, Duration());
}

TEST_F(ForwardDeskTest, UnknownRoutesAndKeysAreRefusedWithoutRetryDelay) {
  EXPECT_EQ(std::get<ForwardRefused>(Arrive("/none/1").step).kind,
            RefusalKind::kUnknownService);
  EXPECT_EQ(std::get<ForwardRefused>(Arrive("/once/1", "bad").step).kind,
            RefusalKind::kUnknownKey);
  EXPECT_EQ(std::get<ForwardRefused>(Arrive("/once/1", "bad").step).retry_after,
            Duration());
  EXPECT_TRUE(std::holds_alternative<SendForward>(Arrive("/open/1", "").step));
}

TEST_F(ForwardDeskTest, SendCarriesTheCustomerOfTheKey) {
  const auto send = std::get<SendForward>(Arrive("/once/1").step);
  EXPECT_EQ(send.customer, CustomerId("c"));
  EXPECT_EQ(send.time_left, Duration::Seconds(1));
  EXPECT_TRUE(send.fresh_connection);
}

// Guards against a reservation that is made twice because the request is sent
// again after the connection broke.
TEST_F(ForwardDeskTest, NonRepeatableRequestThatMayHaveRunIsNotRetried) {
  for (const auto kind : {ForwardEndKind::kBroke, ForwardEndKind::kSilent,
                          ForwardEndKind::kOutOfTime}) {
    const ForwardBegun admission = Arrive("/once/1");
    EXPECT_TRUE(std::holds_alternative<ForwardUnknown>(
        desk_.OnEnded(now_, admission.id, End(kind))));
  }
  const ForwardBegun admission = Arrive("/once/1");
  EXPECT_TRUE(std::holds_alternative<PassAnswer>(
      desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kFailedThere))));
}

TEST_F(ForwardDeskTest, RequestThatDidNotRunIsRetriedElsewhere) {
  for (const auto kind : {ForwardEndKind::kNotRun, ForwardEndKind::kOtherVm,
                          ForwardEndKind::kNothingSent}) {
    SetReplicas(3);
    const ForwardBegun admission = Arrive("/once/1");
    const VmId first = std::get<SendForward>(admission.step).vm;
    const ForwardStep step = desk_.OnEnded(now_, admission.id, End(kind));
    ASSERT_TRUE(std::holds_alternative<SendForward>(step));
    EXPECT_NE(std::get<SendForward>(step).vm, first);
    desk_.OnCallerGone(now_, admission.id);
    now_ = now_ + Duration::Seconds(10);
  }
}

TEST_F(ForwardDeskTest, RefusalAfterABrokenRunLeavesTheOutcomeUnknown) {
  SetReplicas(2);
  const ForwardBegun admission = Arrive("/whole/1");
  ASSERT_TRUE(std::holds_alternative<SendForward>(
      desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kBroke))));
  EXPECT_TRUE(std::holds_alternative<ForwardUnknown>(
      desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kNotRun))));
}

TEST_F(ForwardDeskTest, EndpointFailureIsRetriedElsewhereThenPassedOn) {
  const ForwardBegun admission = Arrive("/whole/1");
  ASSERT_TRUE(std::holds_alternative<SendForward>(
      desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kFailedThere))));
  EXPECT_TRUE(std::holds_alternative<PassAnswer>(
      desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kFailedThere))));
}

TEST_F(ForwardDeskTest, StreamResumesAfterTheLastDeliveredEvent) {
  const ForwardBegun admission = Arrive("/stream/1");
  ForwardEnd end = End(ForwardEndKind::kBroke);
  end.delivered = true;
  end.last_event = 7;
  const ForwardStep step = desk_.OnEnded(now_, admission.id, end);
  EXPECT_EQ(std::get<SendForward>(step).resume_after, 7);
  // A third run is not allowed, so the caller must see that the stream is cut.
  end.last_event = 9;
  EXPECT_TRUE(std::holds_alternative<ForwardTruncated>(
      desk_.OnEnded(now_, admission.id, end)));
}

// A fleet of engines, which order their waiting requests by precedence.
class ForwardDeskPrecedenceTest : public ForwardDeskTest {
 protected:
  ForwardDeskPrecedenceTest() {
    EngineProfile profile;
    profile.models = {{ModelId("m"), 1, 1, 1, Duration(), Duration()}};
    configuration_.version = ConfigurationVersion(1);
    configuration_.routes = {MakeRoute("/stream/", Repetition::kResume)};
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
      replica.places = 6;
      replicas.push_back(replica);
    }
    selector_.SetReplicas(now_, replicas);
  }

  ForwardBegun ArriveWithKey(const std::string& key,
                             std::optional<std::int64_t> resume_after = {}) {
    ForwardRequest request;
    request.resume_after = resume_after;
    request.host = "h";
    request.path = "/stream/1";
    request.key = key;
    request.model = ModelId("m");
    return desk_.OnArrived(now_, std::move(request),
                           std::make_shared<const RouteTable>(configuration_));
  }

  FleetConfiguration configuration_;
};

TEST_F(ForwardDeskPrecedenceTest, CustomerRankOverridesRouteRank) {
  EXPECT_EQ(std::get<SendForward>(ArriveWithKey("key").step).precedence->rank,
            Rank(2));
  EXPECT_EQ(std::get<SendForward>(ArriveWithKey("first").step).precedence->rank,
            Rank(1));
}

TEST_F(ForwardDeskPrecedenceTest, ResumedStreamHasTheHighestUrgency) {
  const ForwardBegun admission = ArriveWithKey("key");
  desk_.OnProgress(now_, admission.id);
  ForwardEnd end = End(ForwardEndKind::kSilent);
  end.delivered = true;
  end.last_event = 3;
  const ForwardStep step = desk_.OnEnded(now_, admission.id, end);
  EXPECT_EQ(std::get<SendForward>(step).precedence->urgency, Urgency::kResumed);
}

// Guards against streams that are late already and delay new requests after a
// loss of many nodes: callers whose streams broke return together two seconds
// later, and a resumed stream must not be prioritized if its pause is already
// too long.
TEST_F(ForwardDeskPrecedenceTest, ResumedStreamWithALongPauseIsDeferred) {
  const ForwardBegun admission = ArriveWithKey("key");
  desk_.OnProgress(now_, admission.id);
  now_ = now_ + Duration::Seconds(1);
  ForwardEnd end = End(ForwardEndKind::kSilent);
  end.delivered = true;
  end.last_event = 3;
  const ForwardStep step = desk_.OnEnded(now_, admission.id, end);
  EXPECT_EQ(std::get<SendForward>(step).precedence->urgency,
            Urgency::kDeferred);
}

TEST_F(ForwardDeskPrecedenceTest, RequestToResumeIsDeferred) {
  const ForwardBegun admission = ArriveWithKey("key", 3);
  EXPECT_EQ(std::get<SendForward>(admission.step).precedence->urgency,
            Urgency::kDeferred);
}

// Guards against a late request that makes others late: its first endpoint is
// stalled for longer than the objective, and it must not go to the next one as
// if it were new.
TEST_F(ForwardDeskPrecedenceTest, LateRequestIsDeferred) {
  const ForwardBegun admission = ArriveWithKey("key");
  now_ = now_ + Duration::Millis(150);
  const ForwardStep step =
      desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kNotRun));
  EXPECT_EQ(std::get<SendForward>(step).precedence->urgency,
            Urgency::kDeferred);
}

// Guards against a burst that makes all requests late: after a steady rate five
// requests arrive at once, and only one of them starts within the objective, so
// only one may be prioritized.
TEST_F(ForwardDeskPrecedenceTest, RequestsBeyondTheWindowAreDeferredOnArrival) {
  for (int i = 0; i < 9; ++i) {
    const ForwardBegun admission = ArriveWithKey("key");
    ASSERT_EQ(std::get<SendForward>(admission.step).precedence->urgency,
              Urgency::kOnTime);
    now_ = now_ + Duration::Millis(150);
    desk_.OnProgress(now_, admission.id);
    ForwardEnd end = End(ForwardEndKind::kSucceeded);
    end.delivered = true;
    desk_.OnEnded(now_, admission.id, end);
  }
  std::vector<Urgency> urgencies;
  std::vector<ForwardId> ids;
  for (int i = 0; i < 5; ++i) {
    const ForwardBegun admission = ArriveWithKey("key");
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
  desk_.OnProgress(now_, ids[0]);
  const ForwardBegun next = ArriveWithKey("key");
  EXPECT_EQ(std::get<SendForward>(next.step).precedence->urgency,
            Urgency::kOnTime);
  desk_.OnCallerGone(now_, next.id);
  const ForwardBegun last = ArriveWithKey("key");
  EXPECT_EQ(std::get<SendForward>(last.step).precedence->urgency,
            Urgency::kOnTime);
  desk_.OnEnded(now_, last.id, End(ForwardEndKind::kOutOfTime));
  EXPECT_EQ(
      std::get<SendForward>(ArriveWithKey("key").step).precedence->urgency,
      Urgency::kOnTime);
}

// Guards against two final events for one request, and against a refusal event
// for a request whose outcome is unknown: the search for another endpoint must
// not report a refusal of its own.
TEST_F(ForwardDeskTest, EachRequestHasOneFinalEvent) {
  SetReplicas(1);
  ForwardBegun admission = Arrive("/whole/1");
  desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kNotRun));
  EXPECT_EQ(events_, std::vector<EventKind>{EventKind::kRequestRefused});
  events_.clear();
  SetReplicas(0);
  SetReplicas(1);
  admission = Arrive("/whole/1");
  ASSERT_TRUE(std::holds_alternative<SendForward>(admission.step));
  desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kBroke));
  EXPECT_EQ(events_, std::vector<EventKind>{EventKind::kRequestOutcomeUnknown});
  events_.clear();
  SetReplicas(0);
  SetReplicas(1);
  // The endpoint's own failure is passed on, so the outcome is known.
  admission = Arrive("/whole/1");
  ASSERT_TRUE(std::holds_alternative<SendForward>(admission.step));
  desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kFailedThere));
  EXPECT_TRUE(events_.empty());
}

TEST_F(ForwardDeskTest, RequestIsNotRetriedWithoutTimeLeft) {
  const ForwardBegun admission = Arrive("/whole/1");
  now_ = now_ + Duration::Millis(980);
  EXPECT_TRUE(std::holds_alternative<ForwardUnknown>(
      desk_.OnEnded(now_, admission.id, End(ForwardEndKind::kBroke))));
}

TEST_F(ForwardDeskTest, RefusesAtOnceIfThereIsNoCapacity) {
  SetReplicas(1);
  int refused = 0;
  for (int i = 0; i < 12; ++i) {
    const ForwardBegun admission = Arrive("/whole/1");
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
RC_GTEST_PROP(ForwardDeskProperty, AtMostOnceAndTruthfulRefusals, ()) {
  Time now = kStart;
  ReplicaSelector selector({}, ZoneId("z"),
                           SeededRandom(*rc::gen::inRange(1, 100000)),
                           DiscardEvents());
  SharedRetryBudget budget({0.2, 100, Duration::Seconds(10), 0.8});
  ForwardDesk desk({}, &selector, &budget, SeededRandom(3), DiscardEvents());
  std::vector<Replica> replicas;
  for (int i = 0; i < *rc::gen::inRange(1, 6); ++i) {
    Replica replica;
    replica.vm = VmId("v" + std::to_string(i));
    replica.service = ServiceId("s");
    replica.places = 6;
    replicas.push_back(replica);
  }
  selector.SetReplicas(now, replicas);
  const bool may_repeat = *rc::gen::arbitrary<bool>();
  ForwardRequest request;
  request.host = "h";
  request.path = may_repeat ? "/whole/1" : "/once/1";
  request.key = "key";
  ForwardBegun admission = desk.OnArrived(now, request, MakeRoutes());
  ForwardStep step = admission.step;
  int may_have_run = 0;
  int sends = 0;
  while (std::holds_alternative<SendForward>(step)) {
    RC_ASSERT(++sends < 20);
    const auto kind = *rc::gen::element(
        ForwardEndKind::kFailedThere, ForwardEndKind::kNotRun,
        ForwardEndKind::kOtherVm, ForwardEndKind::kNothingSent,
        ForwardEndKind::kBroke, ForwardEndKind::kSilent);
    const bool not_run = kind == ForwardEndKind::kNotRun ||
                         kind == ForwardEndKind::kOtherVm ||
                         kind == ForwardEndKind::kNothingSent;
    may_have_run += not_run ? 0 : 1;
    now = now + Duration::Millis(*rc::gen::inRange(1, 400));
    ForwardEnd end;
    end.kind = kind;
    step = desk.OnEnded(now, admission.id, end);
  }
  if (!may_repeat) {
    RC_ASSERT(may_have_run <= 1);
  }
  RC_ASSERT(may_have_run <= 2);
  if (std::holds_alternative<ForwardRefused>(step)) {
    RC_ASSERT(may_have_run == 0);
  }
  RC_ASSERT(desk.open_requests() == 0U);
}

}  // namespace
}  // namespace gcw
