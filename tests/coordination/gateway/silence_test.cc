#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <string>

#include "tests/support/silence_world.h"

namespace gcw {
namespace {

constexpr Duration kPauses[] = {Duration::Millis(1000), Duration::Millis(1300),
                                Duration::Millis(2000)};
constexpr double kShares[] = {1.0, 0.6};
constexpr PauseMode kModes[] = {PauseMode::kStreams, PauseMode::kProcess};
// Streams end, and nodes try silent endpoints again, between two pauses.
constexpr Duration kBetweenPauses = Duration::Seconds(4);

struct Silence {
  double share = 1;
  Duration time;
  PauseMode mode = PauseMode::kStreams;
};

std::string NameOf(PauseMode mode) {
  switch (mode) {
    case PauseMode::kStreams:
      return "silent";
    case PauseMode::kProcess:
      return "stopped";
    case PauseMode::kFullBacklog:
      return "stopped, with a full backlog,";
  }
  return "unknown";
}

std::string Describe(std::size_t nodes, const Silence& silence) {
  return std::to_string(nodes) + " nodes, " +
         std::to_string(static_cast<int>(silence.share * 100)) +
         " % of the replicas " + NameOf(silence.mode) + " for " +
         std::to_string(silence.time.millis()) + " ms";
}

// Pauses replicas while the configuration changes.
void PauseBesideChange(SilenceWorld& world,
                       const Silence& silence,
                       Duration time_limit) {
  world.ChangeTimeLimit(time_limit);
  world.Pause(silence.share, silence.time, silence.mode);
  world.Run(silence.time + kBetweenPauses);
}

// Checks the rule for the requests so far, and that the groups are as before.
void ExpectSound(SilenceWorld& world,
                 const std::set<GroupId>& groups,
                 const std::string& what) {
  world.Settle();
  EXPECT_EQ(world.rule().CutAnswers(), "") << what;
  EXPECT_EQ(world.rule().ClosedGroups(), "") << what;
  EXPECT_EQ(world.OpenGroups(), groups) << what;
  EXPECT_EQ(world.rule().ExtraRuns(), "") << what;
  EXPECT_EQ(world.rule().WrongEvents(), "") << what;
  EXPECT_EQ(world.rule().open(), 0U) << what;
  EXPECT_GT(world.rule().whole(), 100) << what;
}

// Pauses replicas twice.
void ExpectWholeAnswers(std::size_t nodes, const Silence& silence) {
  SilenceWorld world(nodes);
  const std::set<GroupId> groups = world.OpenGroups();
  world.StartRule();
  world.Run(Duration::Seconds(1));
  PauseBesideChange(world, silence, Duration::Seconds(6));
  PauseBesideChange(world, silence, Duration::Seconds(8));
  ExpectSound(world, groups, Describe(nodes, silence));
}

// Guards against answers cut and groups closed because sound replicas pause.
TEST(SilenceTest, AnswersOfSilentReplicasEndWhole) {
  for (const double share : kShares) {
    for (const Duration time : kPauses) {
      ExpectWholeAnswers(7, {share, time, PauseMode::kStreams});
    }
  }
}

// Guards against the same where probes and checks are not answered either.
TEST(SilenceTest, AnswersOfStoppedReplicasEndWhole) {
  for (const double share : kShares) {
    for (const Duration time : kPauses) {
      ExpectWholeAnswers(7, {share, time, PauseMode::kProcess});
    }
  }
}

// Guards against a check of the path that ends attempts without a witness.
TEST(SilenceTest, AnswersOfReplicasWithFullBacklogsEndWhole) {
  for (const double share : kShares) {
    for (const Duration time : kPauses) {
      ExpectWholeAnswers(7, {share, time, PauseMode::kFullBacklog});
    }
  }
}

TEST(SilenceTest, AnswersOfSilentReplicasEndWholeInAMediumFleet) {
  for (const PauseMode mode : kModes) {
    ExpectWholeAnswers(60, {1.0, kPauses[1], mode});
    ExpectWholeAnswers(60, {0.6, kPauses[0], mode});
    ExpectWholeAnswers(60, {0.6, kPauses[2], mode});
  }
}

TEST(SilenceTest, AnswersOfSilentReplicasEndWholeInALargeFleet) {
  ExpectWholeAnswers(300, {1.0, kPauses[1], PauseMode::kStreams});
}

TEST(SilenceTest, AnswersOfStoppedReplicasEndWholeInALargeFleet) {
  ExpectWholeAnswers(300, {0.6, kPauses[2], PauseMode::kProcess});
}

// Pauses replicas while all endpoints are full.
void ExpectWholeAnswersAtFullLoad(std::size_t nodes, const Silence& silence) {
  SilenceWorld world(nodes);
  const std::set<GroupId> groups = world.OpenGroups();
  world.FillUp();
  world.StartRule();
  world.Run(Duration::Seconds(1));
  const int refused = world.CountReason("no_capacity");
  PauseBesideChange(world, silence, Duration::Seconds(6));
  EXPECT_GT(world.CountReason("no_capacity"), refused);
  PauseBesideChange(world, silence, Duration::Seconds(8));
  ExpectSound(world, groups, Describe(nodes, silence) + ", full");
}

// Guards against an attempt that ends before another endpoint has room.
TEST(SilenceTest, AnswersOfSilentReplicasEndWholeAtFullLoad) {
  for (const PauseMode mode : kModes) {
    for (const double share : kShares) {
      ExpectWholeAnswersAtFullLoad(7, {share, kPauses[1], mode});
    }
    ExpectWholeAnswersAtFullLoad(60, {0.6, kPauses[1], mode});
  }
}

TEST(SilenceTest, AnswersOfSilentReplicasEndWholeAtFullLoadInALargeFleet) {
  ExpectWholeAnswersAtFullLoad(300, {0.6, kPauses[1], PauseMode::kStreams});
}

// Pauses replicas while the nodes may send no retries.
void ExpectWholeAnswersWithoutRetries(std::size_t nodes,
                                      const Silence& silence) {
  SilenceWorld world(nodes);
  const std::set<GroupId> groups = world.OpenGroups();
  for (const Duration limit : {Duration::Seconds(6), Duration::Seconds(8)}) {
    world.rule().Stop();
    const int refused = world.CountReason("retry_budget");
    world.SpendRetries();
    EXPECT_GT(world.CountReason("retry_budget"), refused);
    world.StartRule();
    world.Run(Duration::Seconds(1));
    PauseBesideChange(world, silence, limit);
  }
  ExpectSound(world, groups, Describe(nodes, silence) + ", no retries");
}

TEST(SilenceTest, AnswersOfSilentReplicasEndWholeWithoutRetriesInALargeFleet) {
  ExpectWholeAnswersWithoutRetries(300, {1.0, kPauses[1], PauseMode::kProcess});
}

// Guards against an attempt that ends before the retry budget allows another.
TEST(SilenceTest, AnswersOfSilentReplicasEndWholeWithoutRetries) {
  for (const std::size_t nodes : {7UL, 60UL}) {
    for (const PauseMode mode : kModes) {
      for (const double share : kShares) {
        ExpectWholeAnswersWithoutRetries(nodes, {share, kPauses[1], mode});
      }
    }
  }
}

}  // namespace
}  // namespace gcw
