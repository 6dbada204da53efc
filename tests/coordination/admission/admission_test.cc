#include "coordination/admission/admission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gcw {
namespace {

const ModelId kModel("notes");

class AdmissionTest : public testing::Test {
 protected:
  AdmissionTest() {
    LimitSettings limit_settings;
    limit_settings.min_floor_nodes = 1;
    // The node started long ago, so that it uses its floor without an owner.
    // The floor of a single node is the whole limit.
    limits_ = std::make_unique<Limits>(
        Limits::Builder()
            .SetSelf(NodeId("n"), ZoneId("z"), Incarnation(1))
            .SetSettings(limit_settings)
            .Build(now_ - Duration::Seconds(3600)));
    admission_ = std::make_unique<Admission>(
        Admission::Builder().SetLimits(limits_.get()).Build());
    admission_->OnContract(now_, MakeContract("paid", Tier::kPaid));
    admission_->OnContract(now_, MakeContract("trial", Tier::kTrial));
  }

  static Contract MakeContract(const std::string& id, Tier tier) {
    Contract contract;
    contract.id = ContractId(id);
    contract.tier = tier;
    contract.rank = Rank(2);
    contract.models = {kModel};
    contract.requests_per_second = 100;
    contract.tokens_per_second = 100000;
    contract.concurrency = 50;
    contract.keys = {KeyDigest(id + "-key")};
    return contract;
  }

  RequestProfile MakeProfile(const std::string& contract) {
    RequestProfile profile;
    profile.id = RequestId("r" + std::to_string(next_request_++));
    profile.contract = ContractId(contract);
    profile.target = ModelTarget{kModel, {}};
    profile.prompt_tokens = TokenCount(100);
    profile.max_generated_tokens = TokenCount(100);
    profile.arrived = now_;
    profile.deadline = now_ + Duration::Seconds(10);
    return profile;
  }
  std::vector<AdmissionAction> Offer(const std::string& contract) {
    return admission_->Offer(now_, MakeProfile(contract));
  }
  // Reports `paid` running requests, packed into the first endpoints. Without
  // paid work, one endpoint is the reserve.
  std::vector<AdmissionAction> Report(std::int64_t paid,
                                      int endpoints = 4,
                                      std::int64_t batch = 4) {
    Headroom headroom;
    headroom.taken_at = now_;
    for (int i = 0; i < endpoints; ++i) {
      const std::int64_t paid_here = std::min(paid, batch);
      paid -= paid_here;
      headroom.endpoints.push_back(
          {.endpoint = EndpointId("e" + std::to_string(i)),
           .batch_limit = batch,
           .running = paid_here,
           .queued = 0,
           .paid = paid_here,
           .cache_share = 0});
    }
    return admission_->OnHeadroom(now_, kModel, headroom);
  }
  static RefusalKind KindOf(const std::vector<AdmissionAction>& actions) {
    return std::get<Refuse>(actions.at(0)).refusal.kind;
  }
  template <typename Action>
  static int Count(const std::vector<AdmissionAction>& actions) {
    return static_cast<int>(
        std::count_if(actions.begin(), actions.end(), [](const auto& action) {
          return std::holds_alternative<Action>(action);
        }));
  }

  Time now_ = Time::FromMillis(10000000);
  std::unique_ptr<Limits> limits_;
  std::unique_ptr<Admission> admission_;
  int next_request_ = 1;
};

TEST_F(AdmissionTest, FindsContractsByKey) {
  EXPECT_EQ(admission_->FindContract(KeyDigest("paid-key"))->id,
            ContractId("paid"));
  EXPECT_EQ(admission_->FindContract(KeyDigest("other")), nullptr);
  Contract changed = MakeContract("paid", Tier::kPaid);
  changed.keys = {KeyDigest("new-key")};
  admission_->OnContract(now_, changed);
  EXPECT_EQ(admission_->FindContract(KeyDigest("paid-key")), nullptr);
  EXPECT_NE(admission_->FindContract(KeyDigest("new-key")), nullptr);
}

TEST_F(AdmissionTest, RefusesWhatTheContractDoesNotAllow) {
  EXPECT_EQ(KindOf(Offer("nobody")), RefusalKind::kUnknownKey);
  RequestProfile profile = MakeProfile("paid");
  profile.target = ModelTarget{ModelId("other"), {}};
  EXPECT_EQ(KindOf(admission_->Offer(now_, profile)),
            RefusalKind::kModelNotAllowed);
  profile.target = ServiceTarget{ServiceId("shelf")};
  EXPECT_EQ(KindOf(admission_->Offer(now_, profile)),
            RefusalKind::kServiceNotAllowed);
  Contract ended = MakeContract("paid", Tier::kPaid);
  ended.valid_until = now_;
  admission_->OnContract(now_, ended);
  EXPECT_EQ(KindOf(Offer("paid")), RefusalKind::kContractNotValid);
}

TEST_F(AdmissionTest, PaidHasPriorityAndSeparateEndpoints) {
  Report(0);
  const auto paid = Offer("paid");
  const auto trial = Offer("trial");
  EXPECT_LT(std::get<Admit>(paid.at(0)).priority,
            std::get<Admit>(trial.at(0)).priority);
  for (const EndpointId& endpoint : *std::get<Admit>(trial.at(0)).endpoints) {
    const auto& paid_endpoints = *std::get<Admit>(paid.at(0)).endpoints;
    EXPECT_EQ(
        std::count(paid_endpoints.begin(), paid_endpoints.end(), endpoint), 0);
  }
}

TEST_F(AdmissionTest, ConcurrencyIsLimitedAndReleased) {
  Contract single_request_contract = MakeContract("paid", Tier::kPaid);
  single_request_contract.concurrency = 1;
  admission_->OnContract(now_, single_request_contract);
  const auto first = std::get<Admit>(Offer("paid").at(0)).request;
  EXPECT_EQ(KindOf(Offer("paid")), RefusalKind::kConcurrency);
  admission_->OnFinished(now_, first, TokenCount(10));
  EXPECT_EQ(Count<Admit>(Offer("paid")), 1);
}

TEST_F(AdmissionTest, TrialWithoutReportedRoomWaitsThenIsRefused) {
  EXPECT_EQ(Count<Queued>(Offer("trial")), 1);
  now_ = now_ + Duration::Millis(2000);
  const auto actions = admission_->Tick(now_);
  EXPECT_EQ(KindOf(actions), RefusalKind::kTrialNoHeadroom);
  EXPECT_GE(std::get<Refuse>(actions.at(0)).refusal.retry_after,
            Duration::Millis(1000));
}

// Guards against trial requests that are admitted by outdated room after load
// reports have stopped.
TEST_F(AdmissionTest, OldReportsGiveNoRoomToTrialWork) {
  Report(0);
  now_ = now_ + Duration::Seconds(6);
  EXPECT_EQ(Count<Queued>(Offer("trial")), 1);
  EXPECT_EQ(Count<Admit>(Offer("paid")), 1);
}

// Guards against slow paid streams when paid load rises: trial streams on an
// endpoint that paid work is about to use run on for tens of seconds.
TEST_F(AdmissionTest, TrialIsPreemptedIfPaidWorkNeedsItsEndpoint) {
  Report(0);
  const auto admitted = std::get<Admit>(Offer("trial").at(0));
  admission_->OnDispatched(admitted.request, admitted.endpoints->front());
  const auto actions = Report(16);
  EXPECT_EQ(std::get<PreemptTrial>(actions.at(0)).request, admitted.request);
  // A request is preempted only once.
  EXPECT_EQ(Count<PreemptTrial>(Report(16)), 0);
}

// Guards against a trial request that is admitted while paid ones wait, when
// one place becomes free and both tiers are served in order of arrival.
TEST_F(AdmissionTest, WaitingPaidGoesBeforeWaitingTrial) {
  Report(16);
  const auto trial = std::get<Queued>(Offer("trial").at(0)).request;
  const auto paid = std::get<Queued>(Offer("paid").at(0)).request;
  const auto actions = Report(15);
  ASSERT_EQ(Count<Admit>(actions), 1);
  EXPECT_EQ(std::get<Admit>(actions.at(0)).request, paid);
  EXPECT_EQ(admission_->queued(Tier::kTrial), 1);
}

// The same order holds if one report has room for both.
TEST_F(AdmissionTest, RoomForBothGoesToPaidFirst) {
  Report(16);
  const auto paid = std::get<Queued>(Offer("paid").at(0)).request;
  now_ = now_ + Duration::Millis(5001);
  const auto trial = std::get<Queued>(Offer("trial").at(0)).request;
  const auto actions = Report(0);
  ASSERT_EQ(Count<Admit>(actions), 2);
  EXPECT_EQ(std::get<Admit>(actions.at(0)).request, paid);
  EXPECT_EQ(std::get<Admit>(actions.at(1)).request, trial);
}

// Guards against callers that wait until their deadline for a refusal, although
// the queue's drain rate shows that they cannot run in time.
TEST_F(AdmissionTest, UnreachableDeadlineIsRefusedAtOnce) {
  Report(0, 1, 4);
  for (int i = 0; i < 4; ++i) {
    now_ = now_ + Duration::Millis(500);
    EXPECT_EQ(Count<Admit>(Offer("paid")), 1);
    admission_->Tick(now_);
  }
  for (int i = 0; i < 40 && admission_->queued(Tier::kPaid) < 30; ++i) {
    Offer("paid");
  }
  RequestProfile short_deadline_profile = MakeProfile("paid");
  short_deadline_profile.deadline = now_ + Duration::Millis(300);
  const auto actions = admission_->Offer(now_, short_deadline_profile);
  EXPECT_EQ(KindOf(actions), RefusalKind::kDeadline);
  EXPECT_GT(std::get<Refuse>(actions.at(0)).refusal.retry_after,
            Duration::Millis(1000));
}

// Guards against callers that are refused together, return together after the
// same delay and are refused again.
TEST_F(AdmissionTest, RetryAfterIsJittered) {
  Contract single_request_contract = MakeContract("paid", Tier::kPaid);
  single_request_contract.concurrency = 1;
  admission_->OnContract(now_, single_request_contract);
  Offer("paid");
  std::set<Duration> times;
  for (int i = 0; i < 20; ++i) {
    times.insert(std::get<Refuse>(Offer("paid").at(0)).refusal.retry_after);
  }
  EXPECT_GT(times.size(), 15U);
}

// Guards against waiting requests that start after their contract was withdrawn
// because it is checked only on arrival, and against running ones that stop.
TEST_F(AdmissionTest, WithdrawnContractRefusesWaitingButNotRunning) {
  Report(15);
  const auto running = std::get<Admit>(Offer("paid").at(0)).request;
  const auto waiting = std::get<Queued>(Offer("paid").at(0)).request;
  const auto actions =
      admission_->OnContractWithdrawn(now_, ContractId("paid"));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_EQ(std::get<Refuse>(actions.at(0)).request, waiting);
  EXPECT_EQ(KindOf(actions), RefusalKind::kContractNotValid);
  EXPECT_EQ(admission_->running(Tier::kPaid), 1);
  admission_->OnFinished(now_, running, TokenCount(5));
  EXPECT_EQ(admission_->running(Tier::kPaid), 0);
  EXPECT_EQ(KindOf(Offer("paid")), RefusalKind::kUnknownKey);
}

TEST_F(AdmissionTest, ChangedContractAppliesToWaitingRequests) {
  Report(16);
  Offer("paid");
  Contract changed = MakeContract("paid", Tier::kPaid);
  changed.models = {ModelId("other")};
  EXPECT_EQ(KindOf(admission_->OnContract(now_, changed)),
            RefusalKind::kModelNotAllowed);
}

// Guards against a leak of a contract's concurrency: requests that hold a share
// are refused or abandoned in the queue without returning it.
TEST_F(AdmissionTest, SharesOfRequestsThatNeverRanAreReturned) {
  Contract single_request_contract = MakeContract("paid", Tier::kPaid);
  single_request_contract.concurrency = 1;
  admission_->OnContract(now_, single_request_contract);
  Report(16);
  for (int i = 0; i < 3; ++i) {
    const auto waiting = std::get<Queued>(Offer("paid").at(0)).request;
    EXPECT_EQ(KindOf(Offer("paid")), RefusalKind::kConcurrency);
    if (i % 2 == 0) {
      admission_->OnAbandoned(waiting);
    } else {
      now_ = now_ + Duration::Seconds(10);
      EXPECT_EQ(KindOf(admission_->Tick(now_)), RefusalKind::kDeadline);
    }
  }
  EXPECT_EQ(admission_->queued(Tier::kPaid), 0);
}

TEST_F(AdmissionTest, EstimateFollowsGeneratedTokens) {
  RequestProfile profile = MakeProfile("paid");
  profile.max_generated_tokens = TokenCount(4000);
  TokenEstimator estimator;
  EXPECT_EQ(estimator.Estimate(profile), TokenCount(4100));
  for (int i = 0; i < 100; ++i) {
    estimator.Learn(ContractId("paid"), TokenCount(50));
  }
  EXPECT_EQ(estimator.Estimate(profile), TokenCount(150));
}

}  // namespace
}  // namespace gcw
