#include <cstdlib>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/once_world.h"

namespace gcw {

namespace {

enum class FaultKind {
  kKill,
  kPause,
  kCut,
  kCutFromStore,
  kSuspect,
  kOutage,
  kClock,
  kStop,
  kSnapshot,
  kLast = kSnapshot,
};

struct Fault {
  int kind = 0;
  int node = 0;
  // Seconds before the fault starts, and its length in seconds.
  int wait = 0;
  int length = 0;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << "{kind " << fault.kind << ", node " << fault.node << ", after "
             << fault.wait << " s, for " << fault.length << " s}";
}

constexpr int kNodes = 4;

rc::Gen<Fault> AnyFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::inRange(0, static_cast<int>(FaultKind::kLast) + 1)),
      rc::gen::set(&Fault::node, rc::gen::inRange(0, kNodes)),
      rc::gen::set(&Fault::wait, rc::gen::inRange(0, 6)),
      rc::gen::set(&Fault::length, rc::gen::inRange(1, 45)));
}

void Inject(OnceWorld& world, const Fault& fault) {
  const Duration length = Duration::Seconds(fault.length);
  switch (static_cast<FaultKind>(fault.kind)) {
    case FaultKind::kKill:
      return world.Kill(fault.node, length / 4);
    case FaultKind::kPause:
      return world.Pause(fault.node, length);
    case FaultKind::kCut:
      return world.Partition(fault.node, length / 2);
    case FaultKind::kCutFromStore:
      return world.PartitionFromStore(fault.node, length);
    case FaultKind::kSuspect:
      return world.Suspect(fault.node, length / 2);
    case FaultKind::kOutage:
      return world.Outage(length);
    case FaultKind::kClock:
      return world.ShiftClock(fault.node, (length - Duration::Seconds(20)) * 9);
    case FaultKind::kStop:
      return world.Stop(fault.node, length / 4);
    case FaultKind::kSnapshot:
      return world.store().Snapshot();
  }
}

OnceWorldSettings AnyWorld(Duration outage_lease) {
  OnceWorldSettings settings;
  settings.nodes = kNodes;
  settings.seed = *rc::gen::arbitrary<std::uint64_t>();
  // With few keys, a key is sent again soon. With many, it is sent again long
  // after the faults.
  settings.recent_key_count = *rc::gen::element<std::size_t>(10, 50, 500);
  settings.owner.shard_count = 8;
  settings.client.shard_count = 8;
  settings.owner.outage_lease = outage_lease;
  return settings;
}

void RunRandomFaults(OnceWorldSettings settings) {
  OnceWorld world(settings);
  world.network().faults().loss_rate = *rc::gen::element(0.0, 0.05, 0.3);
  world.network().faults().duplication_rate = *rc::gen::element(0.0, 0.2);
  world.network().faults().max_delay =
      Duration::Millis(*rc::gen::element(3, 300, 4000));
  world.store().faults().reply_loss_rate = *rc::gen::element(0.0, 0.2);
  world.store().faults().request_loss_rate = *rc::gen::element(0.0, 0.1);
  world.store().faults().busy_rate = *rc::gen::element(0.0, 0.2);
  world.store().faults().stale_read_rate = *rc::gen::element(0.0, 0.3);
  world.store().faults().max_delay =
      Duration::Millis(*rc::gen::element(5, 1500));
  const auto faults = *rc::gen::container<std::vector<Fault>>(AnyFault());
  for (const Fault& fault : faults) {
    world.Run(Duration::Seconds(fault.wait));
    Inject(world, fault);
    RC_ASSERT(world.violation() == "");
  }
  world.Run(Duration::Seconds(20));
  RC_ASSERT(world.violation() == "");
}

}  // namespace

// Guards against a request that runs twice, or that runs after its caller was
// told "not run", because the next owner does not know a granted claim. Kills,
// pauses, network partitions, false suspicions, store outages, lost write
// replies, stale reads, clock shifts, planned stops, and lost, duplicated and
// reordered messages occur together and repeatedly, while callers send again
// through other nodes.
RC_GTEST_PROP(OnceRandomTest, NeverTwiceAndNeverFalselyNotRun, ()) {
  RunRandomFaults(AnyWorld(Duration()));
}

// The same, with owners that may grant under an outage lease.
RC_GTEST_PROP(OnceRandomTest, NeverTwiceWithOutageLease, ()) {
  RunRandomFaults(AnyWorld(Duration::Seconds(*rc::gen::element(6, 30))));
}

// Guards against a key that runs twice while its shard changes hands among
// cuts, pauses and false suspicions. Found by the property above.
TEST(OnceRandomSeedTest, NeverTwiceWithOutageLeaseAndSeed221916180060) {
  OnceWorldSettings settings;
  settings.nodes = kNodes;
  settings.seed = 221916180060;
  settings.recent_key_count = 500;
  settings.owner.shard_count = 8;
  settings.client.shard_count = 8;
  settings.owner.outage_lease = Duration::Seconds(30);
  OnceWorld world(settings);
  world.network().faults().duplication_rate = 0.2;
  world.network().faults().max_delay = Duration::Millis(300);
  world.store().faults().request_loss_rate = 0.1;
  world.store().faults().stale_read_rate = 0.3;
  world.store().faults().max_delay = Duration::Millis(1500);
  const std::vector<Fault> faults = {
      {2, 1, 3, 25}, {1, 0, 0, 4}, {4, 0, 0, 15}, {4, 0, 1, 21}, {3, 2, 3, 7},
      {3, 1, 0, 3},  {4, 1, 1, 3}, {4, 2, 0, 16}, {1, 1, 2, 1},  {1, 1, 0, 3}};
  for (const Fault& fault : faults) {
    world.Run(Duration::Seconds(fault.wait));
    Inject(world, fault);
  }
  world.Run(Duration::Seconds(20));
  EXPECT_EQ(world.violation(), "");
}

// The same, with senders that stall between the last check and the first byte.
RC_GTEST_PROP(OnceRandomTest, NeverTwiceWithStalledSenders, ()) {
  OnceWorldSettings settings = AnyWorld(Duration());
  settings.max_stall = Duration::Seconds(20);
  RunRandomFaults(settings);
}

}  // namespace gcw
