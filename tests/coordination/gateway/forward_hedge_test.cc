#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {
namespace {

RouteRule MakeRoute(const std::string& prefix, RetryPolicy retry_policy) {
  RouteRule route;
  route.name = prefix;
  route.host = "h";
  route.prefix = prefix;
  route.retry_policy = retry_policy;
  route.streams = retry_policy == RetryPolicy::kResume;
  route.time_limit = Duration::Seconds(8);
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
  configuration.services = {{ServiceId("s"), 100, std::nullopt}};
  return std::make_shared<const RouteTable>(std::move(configuration));
}

// Requests at three endpoints. `others_` keeps one stream at each of them, to
// show which endpoints send events.
class ForwardHedgeTest : public testing::Test {
 protected:
  explicit ForwardHedgeTest(SharedRetryBudgetSettings budget = {})
      : selector_({}, ZoneId("z"), SeededRandom(1), DiscardEvents()),
        budget_(budget, SeededRandom(6)),
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
                    DiscardEvents()) {
    budget_.Update(now_ - Duration::Seconds(60), 1);
    std::vector<Replica> replicas;
    for (int i = 0; i < 3; ++i) {
      Replica replica;
      replica.vm = VmId("v" + std::to_string(i));
      replica.address = Address("a" + std::to_string(i));
      replica.service = ServiceId("s");
      replica.zone = ZoneId("z");
      replica.slots = 6;
      replicas.push_back(replica);
    }
    selector_.SetReplicas(now_, replicas);
    for (const Replica& replica : replicas) {
      others_.push_back(
          selector_.OnSent(now_, replica.vm, TokenCount(1), true));
    }
  }

  // Returns the request's id, and its endpoint in `vm_`.
  ForwardId Arrive(const std::string& path) {
    ForwardRequest request;
    request.id = RequestId("q");
    request.host = "h";
    request.path = path;
    const ForwardAdmission admission =
        controller_.OnArrived(now_, std::move(request), MakeRoutes());
    vm_ = std::get<SendForward>(admission.step).vm;
    return admission.id;
  }

  // Time passes, and the other endpoints send events.
  void StaySilent(Duration time, bool all_silent = false) {
    const Duration step = Duration::Millis(50);
    for (const Time end = now_ + time; now_ < end;) {
      now_ = now_ + step;
      for (std::size_t i = 0; i < others_.size() && !all_silent; ++i) {
        if (VmId("v" + std::to_string(i)) != vm_) {
          selector_.OnProgress(now_, others_[i]);
        }
      }
      selector_.Tick(now_);
    }
  }

  std::optional<SendForward> StartSecond(ForwardId id, bool delivered) {
    return controller_.StartSecondAttempt(now_, id, Silent(delivered));
  }

  static ForwardEnd Silent(bool delivered) {
    ForwardEnd end;
    end.kind = ForwardEndKind::kSilent;
    end.delivered = delivered;
    if (delivered) {
      end.last_event = 7;
    }
    return end;
  }

  Time now_ = Time::FromMillis(1000000);
  VmId vm_;
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
  std::vector<AttemptNumber> others_;
};

class SpentBudgetTest : public ForwardHedgeTest {
 protected:
  SpentBudgetTest() : ForwardHedgeTest({.ratio = 0, .slack = 0}) {}
};

// Guards against a stream whose endpoint is lost and which nobody continues
// before its caller leaves.
TEST_F(ForwardHedgeTest, ASilentStreamGoesOnAtAnotherEndpoint) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  const VmId silent = vm_;
  StaySilent(Duration::Millis(900));
  EXPECT_TRUE(controller_.FindHedgeable(now_).empty());
  StaySilent(Duration::Millis(200));
  ASSERT_EQ(controller_.FindHedgeable(now_), std::vector<ForwardId>{id});
  const std::optional<SendForward> second = StartSecond(id, true);
  ASSERT_TRUE(second);
  EXPECT_NE(second->vm, silent);
  EXPECT_EQ(second->resume_after, 7);
  EXPECT_TRUE(second->fresh_connection);
  controller_.OnSecondAttemptWon(now_, id);
  controller_.OnProgress(now_, id);
  // The silent endpoint did not fail: it may serve again at once.
  StaySilent(Duration::Millis(100));
  EXPECT_TRUE(controller_.FindHedgeable(now_).empty());
  ForwardEnd end;
  end.kind = ForwardEndKind::kSucceeded;
  EXPECT_TRUE(
      std::holds_alternative<PassAnswer>(controller_.OnEnded(now_, id, end)));
  EXPECT_EQ(controller_.open_requests(), 0U);
}

// Guards against an answer that is cut because all endpoints pause at once.
TEST_F(ForwardHedgeTest, AStreamWaitsWhereAllEndpointsAreSilent) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  StaySilent(Duration::Millis(1500), true);
  EXPECT_FALSE(StartSecond(id, true));
  controller_.OnProgress(now_, id);
  EXPECT_EQ(controller_.open_requests(), 1U);
}

// Guards against an answer that is cut because its replacement has no retry of
// the budget left.
TEST_F(SpentBudgetTest, AStreamWaitsWhereNoRetryIsLeft) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  StaySilent(Duration::Millis(1200));
  ASSERT_EQ(controller_.FindHedgeable(now_), std::vector<ForwardId>{id});
  EXPECT_FALSE(StartSecond(id, true));
  EXPECT_FALSE(controller_.FailOver(now_, id, Silent(true)));
  EXPECT_EQ(controller_.open_requests(), 1U);
  ForwardEnd end;
  end.kind = ForwardEndKind::kSucceeded;
  EXPECT_TRUE(
      std::holds_alternative<PassAnswer>(controller_.OnEnded(now_, id, end)));
}

// Guards against more second attempts than endpoints have room for.
TEST_F(ForwardHedgeTest, SecondAttemptsTakeOnlyFreePlaces) {
  const ForwardId first = Arrive("/stream/1");
  const VmId silent = vm_;
  std::vector<ForwardId> ids = {first};
  while (ids.size() < 5) {
    const ForwardId id = Arrive("/stream/1");
    if (vm_ == silent) {
      ids.push_back(id);
    }
  }
  vm_ = silent;
  StaySilent(Duration::Millis(1700));
  for (const char* vm : {"v0", "v1", "v2"}) {
    selector_.OnLoad(now_, VmId(vm), {6, 1, 6});
  }
  int started = 0;
  for (const ForwardId id : ids) {
    started += StartSecond(id, false) ? 1 : 0;
  }
  // 1.3 times six slots leave one place at each of the two sound endpoints.
  EXPECT_EQ(started, 2);
}

// Guards against two runs of a request that may run once, and against a request
// that fails after a short silence although its time is not over.
TEST_F(ForwardHedgeTest, ARequestThatMayRunOnceWaits) {
  const ForwardId id = Arrive("/once/1");
  StaySilent(Duration::Millis(3000));
  EXPECT_TRUE(controller_.FindHedgeable(now_).empty());
  EXPECT_FALSE(StartSecond(id, false));
  EXPECT_EQ(controller_.open_requests(), 1U);
}

TEST_F(ForwardHedgeTest, ARepeatableRequestGetsASecondAttempt) {
  const ForwardId id = Arrive("/whole/1");
  StaySilent(Duration::Millis(550));
  ASSERT_EQ(controller_.FindHedgeable(now_), std::vector<ForwardId>{id});
  EXPECT_TRUE(StartSecond(id, false));
  EXPECT_TRUE(controller_.FindHedgeable(now_ + Duration::Seconds(1)).empty());
}

// Guards against an answer that is cut when its endpoint breaks while another
// one already continues it.
TEST_F(ForwardHedgeTest, TheSecondAttemptGoesOnIfTheFirstBreaks) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  StaySilent(Duration::Millis(1200));
  const std::optional<SendForward> second = StartSecond(id, true);
  ASSERT_TRUE(second);
  ForwardEnd end = Silent(true);
  end.kind = ForwardEndKind::kConnectionBroken;
  EXPECT_TRUE(std::holds_alternative<KeepSecondAttempt>(
      controller_.OnEnded(now_, id, end)));
  controller_.OnProgress(now_, id);
  // Both runs that the route allows are used.
  EXPECT_TRUE(std::holds_alternative<ForwardTruncated>(
      controller_.OnEnded(now_, id, end)));
}

// Guards against a second attempt that is given up because the first endpoint
// refuses the request with a client error's status.
TEST_F(ForwardHedgeTest, TheSecondAttemptGoesOnIfTheFirstIsRefused) {
  for (const ForwardEndKind kind :
       {ForwardEndKind::kOtherVm, ForwardEndKind::kNotRun,
        ForwardEndKind::kConnectionBroken}) {
    const ForwardId id = Arrive("/stream/1");
    controller_.OnProgress(now_, id);
    StaySilent(Duration::Millis(1200));
    ASSERT_TRUE(StartSecond(id, true));
    ForwardEnd end = Silent(true);
    end.kind = kind;
    end.is_client_error = true;
    EXPECT_TRUE(std::holds_alternative<KeepSecondAttempt>(
        controller_.OnEnded(now_, id, end)));
    end.kind = ForwardEndKind::kSucceeded;
    controller_.OnEnded(now_, id, end);
  }
}

// Guards against an answer that is cut because its endpoint broke while no
// other one had room, although a place becomes free before its caller leaves.
TEST_F(ForwardHedgeTest, ABrokenStreamWaitsForAPlace) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  for (const char* vm : {"v0", "v1", "v2"}) {
    selector_.OnLoad(now_, VmId(vm), {6, 20, 6});
  }
  ForwardEnd end = Silent(true);
  end.kind = ForwardEndKind::kConnectionBroken;
  ASSERT_TRUE(std::holds_alternative<AwaitDecision>(
      controller_.OnEnded(now_, id, end)));
  now_ = now_ + Duration::Millis(300);
  EXPECT_TRUE(controller_.ResumeWaiting(now_).empty());
  for (const char* vm : {"v0", "v1", "v2"}) {
    selector_.OnLoad(now_, VmId(vm), {1, 0, 6});
  }
  now_ = now_ + Duration::Millis(300);
  const auto steps = controller_.ResumeWaiting(now_);
  ASSERT_EQ(steps.size(), 1U);
  ASSERT_TRUE(std::holds_alternative<SendForward>(steps.front().second));
  EXPECT_EQ(std::get<SendForward>(steps.front().second).resume_after, 7);
  controller_.OnProgress(now_, id);
  end.kind = ForwardEndKind::kSucceeded;
  EXPECT_TRUE(
      std::holds_alternative<PassAnswer>(controller_.OnEnded(now_, id, end)));
}

// Guards against a caller that waits for a broken stream longer than callers
// do.
TEST_F(ForwardHedgeTest, ABrokenStreamWithoutAPlaceIsGivenUp) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  ForwardEnd end = Silent(true);
  end.kind = ForwardEndKind::kConnectionBroken;
  selector_.SetReplicas(now_, {});
  ASSERT_TRUE(std::holds_alternative<AwaitDecision>(
      controller_.OnEnded(now_, id, end)));
  now_ = now_ + Duration::Millis(2100);
  const auto steps = controller_.ResumeWaiting(now_);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<ForwardTruncated>(steps.front().second));
  EXPECT_EQ(controller_.open_requests(), 0U);
}

// Guards against second attempts without end where endpoints refuse them.
TEST_F(ForwardHedgeTest, RefusedSecondAttemptsEnd) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  StaySilent(Duration::Millis(1200));
  int started = 0;
  for (int i = 0; i < 20; ++i) {
    StaySilent(Duration::Millis(200));
    if (!controller_.FindHedgeable(now_).empty() && StartSecond(id, true)) {
      ++started;
      ForwardEnd end = Silent(true);
      end.kind = ForwardEndKind::kNothingSent;
      controller_.OnSecondAttemptEnded(now_, id, end);
    }
  }
  EXPECT_GE(started, 1);
  EXPECT_LE(started, 4);
}

// Guards against a second run of a request whose answer has begun to arrive.
TEST_F(ForwardHedgeTest, AnAnswerThatHasBegunGetsNoSecondAttempt) {
  const ForwardId id = Arrive("/whole/1");
  controller_.OnReport(now_, id, {});
  StaySilent(Duration::Millis(900));
  EXPECT_TRUE(controller_.FindHedgeable(now_).empty());
}

// Guards against an answer that is cut when the second attempt fails while its
// own endpoint has only paused.
TEST_F(ForwardHedgeTest, TheFirstAttemptGoesOnIfTheSecondFails) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  StaySilent(Duration::Millis(1200));
  ASSERT_TRUE(StartSecond(id, true));
  ForwardEnd end = Silent(true);
  end.kind = ForwardEndKind::kConnectionBroken;
  controller_.OnSecondAttemptEnded(now_, id, end);
  EXPECT_EQ(controller_.open_requests(), 1U);
  EXPECT_FALSE(StartSecond(id, true)) << "no run is left";
  controller_.OnProgress(now_, id);
  end.kind = ForwardEndKind::kSucceeded;
  EXPECT_TRUE(
      std::holds_alternative<PassAnswer>(controller_.OnEnded(now_, id, end)));
}

// Guards against a second attempt that keeps its place after the first one has
// gone on.
TEST_F(ForwardHedgeTest, AnEventOfTheFirstAttemptCancelsTheSecond) {
  const ForwardId id = Arrive("/stream/1");
  controller_.OnProgress(now_, id);
  StaySilent(Duration::Millis(1200));
  ASSERT_TRUE(StartSecond(id, true));
  controller_.OnProgress(now_, id);
  ForwardEnd end = Silent(true);
  end.kind = ForwardEndKind::kConnectionBroken;
  EXPECT_TRUE(std::holds_alternative<ForwardTruncated>(
      controller_.OnEnded(now_, id, end)))
      << "both runs are used, and none is left open";
  EXPECT_EQ(controller_.open_requests(), 0U);
}

}  // namespace
}  // namespace gcw
