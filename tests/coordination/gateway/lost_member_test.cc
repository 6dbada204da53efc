#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>

#include "tests/support/silence_world.h"

namespace gcw {
namespace {

// Callers leave after this time without an event of their answers.
constexpr Duration kPatience = Duration::Seconds(2);
// Time for which other groups are silent at the moment of a loss.
constexpr Duration kPause = Duration::Seconds(1);

// How a group loses a member.
enum class Loss {
  kMember,
  kMemberProcess,
  kMemberHangs,
  kHead,
  kHeadProcess,
};

constexpr Loss kLosses[] = {Loss::kMember, Loss::kMemberProcess,
                            Loss::kMemberHangs, Loss::kHead,
                            Loss::kHeadProcess};

std::string NameOf(Loss loss) {
  switch (loss) {
    case Loss::kMember:
      return "a member is lost";
    case Loss::kMemberProcess:
      return "a member's process ends";
    case Loss::kMemberHangs:
      return "a member hangs";
    case Loss::kHead:
      return "the head is lost";
    case Loss::kHeadProcess:
      return "the head's process ends";
  }
  return "unknown";
}

std::string Describe(const SilenceWorld& world, const std::string& what) {
  return std::to_string(world.node_count()) + " nodes, " + what;
}

void LoseMember(SilenceWorld& world, const VmId& head, Loss loss) {
  const VmId member = world.GroupMembersOf(head).back();
  switch (loss) {
    case Loss::kMember:
      world.Lose(member);
      return;
    case Loss::kMemberProcess:
      world.LoseProcess(member);
      return;
    case Loss::kMemberHangs:
      world.Hang(member);
      return;
    case Loss::kHead:
      world.Lose(head);
      return;
    case Loss::kHeadProcess:
      world.LoseProcess(head);
      return;
  }
}

// A fleet whose endpoints have room for the requests of a lost group, and whose
// nodes may send them again.
class LostMemberWorld : public SilenceWorld {
 public:
  explicit LostMemberWorld(std::size_t nodes) : SilenceWorld(nodes) {
    // The budget of each node of a large fleet allows retries at this rate.
    request_interval = std::min(request_interval * 2, Duration::Millis(1000));
    caller_patience = kPatience;
    Run(Duration::Seconds(10));
    StartRule();
    Run(Duration::Seconds(1));
    rule().OnPause(now());
  }
};

// Checks that the requests of lost groups are served before their callers
// leave.
void ExpectServed(LostMemberWorld& world, const std::string& what) {
  world.Run(GatewayWorld::kRegistrationTtl + kPatience);
  EXPECT_FALSE(world.requests_at_lost_groups().empty()) << what;
  for (const GroupId& group : world.OpenGroups()) {
    EXPECT_FALSE(world.rule().IsLost(group)) << what << " " << group;
  }
  world.Settle();
  EXPECT_EQ(world.Unserved(world.requests_at_lost_groups()), "") << what;
  EXPECT_EQ(world.rule().ExtraRuns(), "") << what;
  EXPECT_EQ(world.rule().WrongEvents(), "") << what;
}

// Guards against streams that wait for a lost group until their callers leave.
TEST(LostMemberTest, RequestsOfALostGroupGoOnElsewhere) {
  for (const std::size_t nodes : {7UL, 60UL}) {
    for (const Loss loss : kLosses) {
      for (const char* model : {"large", "small"}) {
        LostMemberWorld world(nodes);
        LoseMember(world, world.OpenHead(model), loss);
        ExpectServed(world, Describe(world, NameOf(loss) + ", " + model));
        EXPECT_EQ(world.rule().CutAnswers(), "") << NameOf(loss);
        EXPECT_EQ(world.rule().ClosedGroups(), "") << NameOf(loss);
      }
    }
  }
}

// Guards against requests that hang on idle connections to a lost group.
TEST(LostMemberTest, RequestsSentToALostGroupAreServed) {
  for (const std::size_t nodes : {7UL, 60UL}) {
    for (const Loss loss : kLosses) {
      LostMemberWorld world(nodes);
      LoseMember(world, world.OpenHead("small"), loss);
      world.Run(GatewayWorld::kRegistrationTtl + kPatience);
      world.Settle();
      EXPECT_EQ(world.Unserved(world.requests_sent_to_lost_groups()), "")
          << Describe(world, NameOf(loss));
    }
  }
}

TEST(LostMemberTest, RequestsOfALostGroupGoOnElsewhereInALargeFleet) {
  LostMemberWorld world(300);
  LoseMember(world, world.OpenHead("small"), Loss::kMember);
  ExpectServed(world, Describe(world, NameOf(Loss::kMember)));
  EXPECT_EQ(world.rule().CutAnswers(), "");
  EXPECT_EQ(world.rule().ClosedGroups(), "");
}

// Guards against the same where all groups of a domain are lost at once.
TEST(LostMemberTest, RequestsOfALostDomainGoOnElsewhere) {
  for (const std::size_t nodes : {7UL, 60UL}) {
    LostMemberWorld world(nodes);
    world.LoseDomain("d0");
    ExpectServed(world, Describe(world, "a domain is lost"));
    EXPECT_EQ(world.rule().CutAnswers(), "");
    EXPECT_EQ(world.rule().ClosedGroups(), "");
  }
}

// Pauses two other groups of the model.
void PauseOthers(LostMemberWorld& world,
                 const std::string& model,
                 PauseMode mode) {
  int paused = 0;
  for (const VmId& head : world.OpenHeads(model)) {
    const GroupId group = world.engine(head).self.membership->group;
    if (paused < 2 && !world.rule().IsLost(group)) {
      world.PauseGroup(head, kPause, mode);
      ++paused;
    }
  }
  EXPECT_EQ(paused, 2);
}

// Guards against a loss that is taken for silence because others are silent.
TEST(LostMemberTest, RequestsOfALostGroupGoOnWhileOtherGroupsAreSilent) {
  for (const std::size_t nodes : {7UL, 60UL}) {
    for (const Loss loss : kLosses) {
      for (const PauseMode mode : {PauseMode::kStreams, PauseMode::kProcess}) {
        LostMemberWorld world(nodes);
        LoseMember(world, world.OpenHead("small"), loss);
        PauseOthers(world, "small", mode);
        ExpectServed(world, Describe(world, NameOf(loss) + ", others silent"));
      }
    }
  }
}

// Guards against silent groups that are closed because another one is lost.
TEST(LostMemberTest, SilentGroupsStayWhileAnotherGroupIsLost) {
  for (const Loss loss : kLosses) {
    for (const PauseMode mode : {PauseMode::kStreams, PauseMode::kProcess}) {
      LostMemberWorld world(7);
      LoseMember(world, world.OpenHead("small"), loss);
      PauseOthers(world, "small", mode);
      world.Run(Duration::Seconds(6));
      world.Settle();
      EXPECT_EQ(world.rule().CutAnswers(), "") << NameOf(loss);
      EXPECT_EQ(world.rule().ClosedGroups(), "") << NameOf(loss);
    }
  }
}

}  // namespace
}  // namespace gcw
