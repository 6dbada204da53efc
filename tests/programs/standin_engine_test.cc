#include <gtest/gtest.h>

#include "programs/gcw_standin/standin_engine.h"

namespace gcw {
namespace {

Time At(std::int64_t millis) {
  return Time::FromMillis(millis);
}

EngineOrder Order(EngineOrderKind kind,
                  std::int64_t generation,
                  std::int64_t fence,
                  int members) {
  EngineOrder order{.kind = kind,
                    .group = GroupId("g"),
                    .model = ModelId("m"),
                    .generation = Generation(generation),
                    .members = {},
                    .fence = FencingToken(fence),
                    .change = ChangeId("c")};
  for (int i = 0; i < members; ++i) {
    const std::string vm = "vm" + std::to_string(i);
    order.members.push_back({VmId(vm), Address("127.0.0.1:1")});
  }
  return order;
}

EngineCall Call(const std::string& prompt, std::int64_t max_tokens) {
  EngineCall call;
  call.attempt = AttemptId(prompt);
  call.chat = {.model = ModelId("m"),
               .adapter = AdapterId(),
               .messages = {{"user", prompt}},
               .max_tokens = TokenCount(max_tokens),
               .stream = true};
  return call;
}

template <typename Action>
std::vector<Action> Only(const std::vector<EngineAction>& actions) {
  std::vector<Action> matching;
  for (const EngineAction& action : actions) {
    if (const auto* match = std::get_if<Action>(&action)) {
      matching.push_back(*match);
    }
  }
  return matching;
}

class StandinEngineTest : public testing::Test {
 protected:
  static StandinEngine::Settings MakeSettings() {
    StandinEngine::Settings settings;
    settings.member.vm = VmId("vm0");
    settings.batch = {.batch_limit = 2,
                      .prefill_tokens_per_second = 1000,
                      .step = Duration::Millis(10),
                      .cache_blocks = 4};
    return settings;
  }

  void Load(int members) {
    engine_.OnOrder(At(0), Order(EngineOrderKind::kLoad, 1, 1, members));
    RunUntil(At(0));
  }

  // Ticks every 10 ms up to `end` and returns all actions.
  std::vector<EngineAction> RunUntil(Time end) {
    std::vector<EngineAction> all;
    for (; now_ <= end; now_ = now_ + Duration::Millis(10)) {
      for (EngineAction& action : engine_.Tick(now_)) {
        all.push_back(std::move(action));
      }
    }
    return all;
  }

  EngineStatus MemberStatus(std::int64_t generation) {
    EngineStatus status;
    status.vm = VmId("vm1");
    status.group = GroupId("g");
    status.generation = Generation(generation);
    status.rank = 1;
    status.state = EngineState::kReady;
    return status;
  }

  Faults faults_;
  StandinEngine engine_{MakeSettings(), faults_};
  Time now_;
};

TEST_F(StandinEngineTest, AnswersAreTheReferenceAnswer) {
  Load(1);
  EXPECT_TRUE(engine_.OnChat(At(10), Ticket(1), Call("hello", 3)).empty());
  const auto actions = RunUntil(At(200));
  std::string text;
  for (const SendToken& token : Only<SendToken>(actions)) {
    text += token.token.text;
  }
  EXPECT_EQ(text, ReferenceAnswer("user:hello\n", TokenCount(3)));
  EXPECT_EQ(Only<FinishAnswer>(actions).size(), 1U);
  EXPECT_EQ(engine_.executions().CountByName("hello"), 1);
}

TEST_F(StandinEngineTest, ResumedStreamContinuesAfterGivenTokens) {
  Load(1);
  EngineCall call = Call("hello", 4);
  call.resume_from = 2;
  engine_.OnChat(At(10), Ticket(1), std::move(call));
  const auto tokens = Only<SendToken>(RunUntil(At(200)));
  ASSERT_EQ(tokens.size(), 2U);
  EXPECT_EQ(tokens[0].token.index, 2);
  EXPECT_EQ(tokens[0].token.text, ReferenceToken("user:hello\n", 2));
}

TEST_F(StandinEngineTest, RunsByPriorityInBoundedBatch) {
  Load(1);
  for (int i = 1; i <= 4; ++i) {
    EngineCall call = Call("p" + std::to_string(i), 1);
    call.priority = i == 4 ? 0 : 1;
    engine_.OnChat(At(10), Ticket(i), std::move(call));
  }
  const auto ends = Only<FinishAnswer>(RunUntil(At(500)));
  ASSERT_EQ(ends.size(), 4U);
  EXPECT_EQ(ends[0].ticket, Ticket(4));
  EXPECT_EQ(ends[3].ticket, Ticket(3));
}

TEST_F(StandinEngineTest, CachedPrefixShortensPrefillAndIsEvicted) {
  Load(1);
  const std::string prompt(200, 'x');
  const auto first_token_after = [&](Time start, Ticket ticket) {
    engine_.OnChat(start, ticket, Call(prompt, 1));
    for (Time now = start;; now = now + Duration::Millis(10)) {
      if (!Only<SendToken>(engine_.Tick(now)).empty()) {
        return now - start;
      }
    }
  };
  // The first prefill has 52 tokens at 10 per step; the second only the 4
  // tokens outside of full cached blocks.
  EXPECT_EQ(first_token_after(At(1000), Ticket(1)), Duration::Millis(60));
  EXPECT_EQ(first_token_after(At(2000), Ticket(2)), Duration::Millis(10));
  EXPECT_EQ(engine_.CacheEvents(At(3000), 0).events.size(), 3U);
  engine_.OnChat(At(3000), Ticket(3), Call(std::string(200, 'y'), 1));
  now_ = At(3000);
  RunUntil(At(3200));
  const CacheEventBatch events = engine_.CacheEvents(At(4000), 3);
  EXPECT_EQ(events.first, 4);
  EXPECT_EQ(events.next, 9);
  EXPECT_EQ(events.events.at(1).kind, CacheEventKind::kEvicted);
}

TEST_F(StandinEngineTest, CacheEventsLagAndHaveGaps) {
  Load(1);
  engine_.OnChat(At(10), Ticket(1), Call(std::string(64, 'x'), 1));
  RunUntil(At(100));
  faults_.lag = Duration::Millis(500);
  EXPECT_TRUE(engine_.CacheEvents(At(100), 0).events.empty());
  EXPECT_EQ(engine_.CacheEvents(At(600), 0).events.size(), 1U);
  engine_.DropCacheEvents();
  engine_.OnChat(At(110), Ticket(2), Call(std::string(64, 'y'), 1));
  RunUntil(At(200));
  EXPECT_EQ(engine_.CacheEvents(At(900), 0).first, 2);
}

// Guards against a group that goes on answering after its second member has
// stopped responding. Only rank 0 can detect this; it must break running
// answers and refuse new ones.
TEST_F(StandinEngineTest, MissingMemberBreaksAnswersAndEndsServing) {
  Load(2);
  const auto refused = engine_.OnChat(At(0), Ticket(1), Call("early", 9));
  EXPECT_EQ(Only<RejectCall>(refused).size(), 1U);
  engine_.OnMemberStatus(At(10), MemberStatus(1));
  RunUntil(At(20));
  EXPECT_EQ(engine_.Status(At(20)).state, EngineState::kReady);
  engine_.OnChat(At(20), Ticket(2), Call("long", 100000));
  const auto actions = RunUntil(At(710));
  EXPECT_EQ(Only<AbortAnswer>(actions).size(), 1U);
  EXPECT_EQ(engine_.Status(At(710)).state, EngineState::kFailed);
  EXPECT_EQ(engine_.Status(At(710)).members_seen.size(), 1U);
  EXPECT_EQ(
      Only<RejectCall>(engine_.OnChat(At(720), Ticket(3), Call("x", 1))).size(),
      1U);
}

TEST_F(StandinEngineTest, MemberOfAnotherGenerationFailsGroup) {
  Load(2);
  engine_.OnMemberStatus(At(10), MemberStatus(1));
  RunUntil(At(20));
  engine_.OnMemberStatus(At(30), MemberStatus(2));
  EXPECT_EQ(engine_.Status(At(30)).state, EngineState::kFailed);
}

TEST_F(StandinEngineTest, OldFencesAreRefusedUnlessIgnored) {
  engine_.OnOrder(At(0), Order(EngineOrderKind::kLoad, 1, 5, 1));
  const EngineOrder old = Order(EngineOrderKind::kLeave, 1, 4, 1);
  EXPECT_EQ(engine_.OnOrder(At(0), old).reply,
            EngineOrderReply(EngineOrderStale{FencingToken(5)}));
  EngineOrder other = Order(EngineOrderKind::kLoad, 1, 6, 1);
  other.group = GroupId("h");
  EXPECT_EQ(engine_.OnOrder(At(0), other).reply,
            EngineOrderReply(EngineOrderBusy{GroupId("g")}));
  faults_.ignore_fence = true;
  EXPECT_EQ(engine_.OnOrder(At(0), old).reply,
            EngineOrderReply(EngineOrderAccepted{}));
  EXPECT_EQ(engine_.Status(At(0)).state, EngineState::kIdle);
}

TEST_F(StandinEngineTest, DrainingFinishesRunningAndRefusesNewRequests) {
  Load(1);
  engine_.OnChat(At(10), Ticket(1), Call("kept", 3));
  engine_.OnOrder(At(10), Order(EngineOrderKind::kDrain, 1, 1, 1));
  EXPECT_EQ(Only<RejectCall>(engine_.OnChat(At(10), Ticket(2), Call("new", 1)))
                .size(),
            1U);
  EXPECT_EQ(Only<FinishAnswer>(RunUntil(At(200))).size(), 1U);
  EXPECT_EQ(engine_.Status(At(200)).active, 0);
}

TEST_F(StandinEngineTest, RefusedRequestsAreNeverCounted) {
  Load(1);
  EngineCall other = Call("generation", 1);
  other.generation = Generation(7);
  const auto refused =
      Only<RejectCall>(engine_.OnChat(At(10), Ticket(1), std::move(other)));
  EXPECT_EQ(refused.at(0).reason, NotRunReason::kOtherGeneration);
  EngineCall late = Call("late", 1);
  late.deadline = At(15);
  engine_.OnChat(At(10), Ticket(2), std::move(late));
  EXPECT_EQ(Only<RejectCall>(RunUntil(At(100))).at(0).reason,
            NotRunReason::kDeadline);
  EXPECT_EQ(engine_.executions().total(), 0);
}

TEST_F(StandinEngineTest, CancelledAndCutAnswersBreak) {
  Load(1);
  faults_.cut_stream_after = 2;
  engine_.OnChat(At(10), Ticket(1), Call("cut", 5));
  const auto actions = RunUntil(At(200));
  EXPECT_EQ(Only<SendToken>(actions).size(), 2U);
  EXPECT_EQ(Only<AbortAnswer>(actions).size(), 1U);
  engine_.OnChat(At(200), Ticket(2), Call("cancelled", 5));
  std::vector<EngineAction> cancelled;
  EXPECT_TRUE(engine_.OnCancel(AttemptId("cancelled"), cancelled));
  EXPECT_EQ(Only<AbortAnswer>(cancelled).size(), 1U);
  EXPECT_FALSE(engine_.OnCancel(AttemptId("cancelled"), cancelled));
  EXPECT_EQ(engine_.Status(At(200)).active, 0);
}

TEST_F(StandinEngineTest, LoadReportsLag) {
  Load(1);
  for (int i = 1; i <= 3; ++i) {
    engine_.OnChat(At(100), Ticket(i), Call("p" + std::to_string(i), 1000));
  }
  RunUntil(At(300));
  EXPECT_EQ(engine_.DelayedLoadReport(At(300)).running_requests, 2);
  EXPECT_EQ(engine_.DelayedLoadReport(At(300)).queued_requests, 1);
  faults_.lag = Duration::Millis(250);
  EXPECT_EQ(engine_.DelayedLoadReport(At(300)).running_requests, 0);
}

}  // namespace
}  // namespace gcw
