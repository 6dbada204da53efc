#include <gtest/gtest.h>

#include <map>
#include <string>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(1000000);

StoreEntry Entry(const std::string& key,
                 const std::string& value,
                 std::int64_t revision) {
  return {key, value, Revision(revision), LeaseId()};
}

class StoreMirrorTest : public testing::Test {
 protected:
  StoreMirrorTest()
      : mirror_(Settings(),
                SeededRandom(1),
                {[this](Time, const StoreEntry& entry) {
                   values_[entry.key] = entry.value;
                 },
                 [this](Time, const std::string& key) { values_.erase(key); },
                 [this](bool reachable) {
                   reachability_reports_.push_back(reachable);
                 }}) {}

  static StoreMirrorSettings Settings() {
    StoreMirrorSettings settings;
    settings.prefixes = {"a/", "b/"};
    settings.expiring_prefixes = {"b/"};
    return settings;
  }

  // Returns the call among the actions, if any.
  std::optional<StoreCall> TakeCall(
      const std::vector<StoreMirrorAction>& actions) {
    std::optional<StoreCall> call;
    for (const StoreMirrorAction& action : actions) {
      if (const auto* request = std::get_if<StoreRequest>(&action)) {
        call_id_ = request->id;
        call = request->call;
      } else {
        ++peer_requests_;
      }
    }
    return call;
  }
  std::optional<StoreCall> Tick() { return TakeCall(mirror_.Tick(now_)); }
  std::optional<StoreCall> Answer(const StoreReply& reply) {
    return TakeCall(mirror_.OnStoreReply(now_, call_id_, reply));
  }
  // Ends the watch in flight without a change.
  std::optional<StoreCall> EndWatch() {
    return Answer(StoreWatchReply{Revision(20), {}, {}, false});
  }
  void Wait(std::int64_t millis) { now_ = now_ + Duration::Millis(millis); }

  // Reads both prefixes; `a/1` and `b/1` exist.
  void Load() {
    Tick();
    Answer(StoreRangeReply{Revision(10), {Entry("a/1", "x", 3)}, false});
    Answer(StoreRangeReply{Revision(12), {Entry("b/1", "y", 4)}, false});
    EXPECT_TRUE(mirror_.loaded());
  }

  Time now_ = kStart;
  std::map<std::string, std::string> values_;
  std::vector<bool> reachability_reports_;
  int peer_requests_ = 0;
  StoreCallId call_id_;
  StoreMirror mirror_;
};

TEST_F(StoreMirrorTest, ReadsAllPrefixesThenWatchesFromTheLowestRevision) {
  Load();
  const std::optional<StoreCall> call = Tick();
  // A change between the two reads may be in neither of them.
  EXPECT_EQ(mirror_.revision(), Revision(10));
  EXPECT_TRUE(!call || std::get<StoreWatch>(*call).after == Revision(10));
  EXPECT_EQ(values_.at("a/1"), "x");
  EXPECT_EQ(values_.at("b/1"), "y");
}

TEST_F(StoreMirrorTest, ReadsAPrefixPageByPage) {
  Tick();
  const auto next =
      Answer(StoreRangeReply{Revision(10), {Entry("a/1", "x", 3)}, true});
  EXPECT_EQ(std::get<StoreRange>(*next).after, "a/1");
  Answer(StoreRangeReply{Revision(11), {Entry("a/2", "z", 4)}, false});
  EXPECT_EQ(values_.size(), 2U);
}

// Guards against a watch whose full wait counts as silence: whenever nothing
// changed for a second, every node reported the service unreachable, and its
// controller gave the role up.
TEST_F(StoreMirrorTest, WaitingWatchIsNoOutage) {
  Load();
  for (int i = 0; i < 20; ++i) {
    Wait(900);
    Tick();
    Answer(StoreWatchReply{Revision(12), {}, {}, false});
  }
  EXPECT_TRUE(reachability_reports_.empty());
  EXPECT_EQ(peer_requests_, 0);
}

TEST_F(StoreMirrorTest, AsksPeersDuringAnOutageAndAppliesNewerSnapshots) {
  Load();
  Tick();
  Wait(1700);
  Tick();
  EXPECT_EQ(reachability_reports_, std::vector<bool>{false});
  EXPECT_EQ(peer_requests_, 1);
  mirror_.OnPeerSnapshot(
      now_, {Revision(20), {Entry("a/1", "new", 15), Entry("b/1", "y", 4)}});
  EXPECT_EQ(values_.at("a/1"), "new");
  // An older snapshot reverts nothing.
  mirror_.OnPeerSnapshot(now_, {Revision(14), {Entry("a/1", "x", 3)}});
  EXPECT_EQ(values_.at("a/1"), "new");
}

TEST_F(StoreMirrorTest, EmptyMirrorLoadsAPeersSnapshot) {
  Tick();
  Answer(StoreNoAnswer{});
  Wait(1700);
  Tick();
  EXPECT_EQ(peer_requests_, 1);
  mirror_.OnPeerSnapshot(now_, {Revision(20), {Entry("a/1", "x", 15)}});
  EXPECT_TRUE(mirror_.loaded());
}

TEST_F(StoreMirrorTest, ReadsAgainAfterCompactionAndRemovesMissingKeys) {
  Load();
  Wait(500);
  Tick();
  StoreWatchReply compacted;
  compacted.compacted = true;
  Wait(100);
  const auto call = Answer(compacted);
  EXPECT_TRUE(std::holds_alternative<StoreRange>(*call));
  Answer(StoreRangeReply{Revision(30), {}, false});
  Answer(StoreRangeReply{Revision(30), {Entry("b/1", "y", 4)}, false});
  EXPECT_FALSE(values_.contains("a/1"));
  EXPECT_TRUE(values_.contains("b/1"));
}

// Guards against a fleet that looks empty after an outage of the service, so
// that every group is closed: entries expire during the outage, their owners
// write them again within two seconds of its end, and the removals were taken
// for losses.
TEST_F(StoreMirrorTest, KeepsEntriesThatExpiredInAnOutageForTheGracePeriod) {
  Load();
  Tick();
  Wait(5000);
  Tick();
  Answer(StoreNoAnswer{});
  Wait(1000);
  Tick();
  Answer(StoreWatchReply{
      Revision(40), {}, {{"b/1", Revision(39)}, {"a/1", Revision(38)}}, false});
  // Keys of other prefixes, whose owners do not write them again, are removed
  // at once.
  EXPECT_FALSE(values_.contains("a/1"));
  EXPECT_TRUE(values_.contains("b/1"));
  Wait(2600);
  Tick();
  EXPECT_FALSE(values_.contains("b/1"));
}

TEST_F(StoreMirrorTest, KeepsAnEntryWrittenAgainAfterAnOutage) {
  Load();
  Tick();
  Wait(5000);
  Tick();
  Answer(StoreNoAnswer{});
  Wait(1000);
  Tick();
  Answer(StoreWatchReply{Revision(40), {}, {{"b/1", Revision(39)}}, false});
  Wait(500);
  Tick();
  Answer(StoreWatchReply{Revision(42), {Entry("b/1", "again", 42)}, {}, false});
  Wait(2600);
  Tick();
  EXPECT_EQ(values_.at("b/1"), "again");
}

// Guards against calls to the service that cost a tenth of the worth served in
// a fleet of 72 nodes: something changes all the time, each change ends the
// watch of every node, and all nodes watched as often as those of a small
// fleet.
TEST_F(StoreMirrorTest, NodesOfALargerFleetWatchLessOften) {
  const auto watches_in_ten_seconds = [this](std::size_t nodes) {
    mirror_.SetWatcherCount(nodes);
    int watches = 0;
    for (int i = 0; i < 100; ++i) {
      Wait(100);
      if (Tick()) {
        ++watches;
        EndWatch();
      }
    }
    return watches;
  };
  Load();
  EndWatch();
  EXPECT_NEAR(watches_in_ten_seconds(8), 20, 2);
  EXPECT_NEAR(watches_in_ten_seconds(16), 11, 2);
  // A change must be known within two seconds, including a repeated call.
  EXPECT_NEAR(watches_in_ten_seconds(1000), 10, 1);
  mirror_.SetEager(true);
  EXPECT_GE(watches_in_ten_seconds(1000), 40);
}

// If the bound is too short for a second call, the mirror uses the minimum
// interval.
TEST(StoreMirrorBoundTest, AShortBoundDoesNotStopTheWatches) {
  StoreMirrorSettings settings;
  settings.prefixes = {"a/"};
  settings.max_propagation_delay = Duration::Millis(200);
  StoreMirror mirror(settings, SeededRandom(1),
                     {[](Time, const StoreEntry&) {},
                      [](Time, const std::string&) {}, [](bool) {}});
  mirror.SetWatcherCount(1000);
  const auto id_of = [](const std::vector<StoreMirrorAction>& actions) {
    return actions.empty() ? StoreCallId()
                           : std::get<StoreRequest>(actions.front()).id;
  };
  StoreCallId id = id_of(mirror.Tick(kStart));
  id = id_of(
      mirror.OnStoreReply(kStart, id, StoreRangeReply{Revision(1), {}, false}));
  mirror.OnStoreReply(kStart, id, StoreWatchReply{Revision(2), {}, {}, false});
  EXPECT_EQ(id_of(mirror.Tick(kStart + Duration::Millis(440))), StoreCallId());
  EXPECT_NE(id_of(mirror.Tick(kStart + Duration::Millis(460))), StoreCallId());
}

// Guards against a node of a large fleet whose own pause between two watches
// counts as silence, so that it takes the service for unreachable and asks
// other nodes.
TEST_F(StoreMirrorTest, APauseBetweenTwoWatchesIsNoOutage) {
  Load();
  mirror_.SetWatcherCount(1000);
  EndWatch();
  for (int i = 0; i < 10; ++i) {
    Wait(1000);
    Tick();
    EndWatch();
  }
  EXPECT_TRUE(reachability_reports_.empty());
  EXPECT_EQ(peer_requests_, 0);
}

// A watch with the longer wait of a larger fleet is not overdue sooner.
TEST_F(StoreMirrorTest, UnansweredLongWatchIsAnOutageOnceOverdue) {
  Load();
  mirror_.SetWatcherCount(1000);
  EndWatch();
  Wait(1000);
  Tick();
  Wait(1600);
  Tick();
  EXPECT_TRUE(reachability_reports_.empty());
  Wait(200);
  Tick();
  EXPECT_EQ(reachability_reports_, std::vector<bool>{false});
}

// Guards against a node that advertises a removed node forever: a node is
// removed while the service rejects some nodes, one of these takes a snapshot
// from a node that defers the removal after an outage, and continues from the
// snapshot's revision, which is past the removal.
TEST_F(StoreMirrorTest, SnapshotOmitsKeysWhoseRemovalIsDeferred) {
  Load();
  Tick();
  Wait(5000);
  Tick();
  Answer(StoreNoAnswer{});
  Wait(1000);
  Tick();
  Answer(StoreWatchReply{Revision(40), {}, {{"b/1", Revision(39)}}, false});
  EXPECT_TRUE(values_.contains("b/1"));
  const std::optional<MirrorSnapshot> snapshot = mirror_.Snapshot(Revision(1));
  ASSERT_TRUE(snapshot.has_value());
  EXPECT_EQ(snapshot->revision, Revision(40));
  for (const StoreEntry& entry : snapshot->entries) {
    EXPECT_NE(entry.key, "b/1");
  }
}

TEST_F(StoreMirrorTest, IgnoresAStaleRead) {
  Load();
  Wait(500);
  Tick();
  StoreWatchReply compacted;
  compacted.compacted = true;
  Answer(compacted);
  Answer(StoreRangeReply{Revision(5), {}, false});
  EXPECT_TRUE(values_.contains("a/1"));
}

TEST_F(StoreMirrorTest, BacksOffWhileRefused) {
  Tick();
  int calls = 0;
  for (int i = 0; i < 100; ++i) {
    calls += Answer(StoreRefused{Duration::Millis(150)}) ? 1 : 0;
    Wait(50);
    calls += Tick() ? 1 : 0;
  }
  // The test lasts five seconds; the flood that this bound prevents was 90
  // calls a second.
  EXPECT_LE(calls, 34);
}

}  // namespace
}  // namespace gcw
