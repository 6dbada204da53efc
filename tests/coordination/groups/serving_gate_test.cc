#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

#include "tests/support/groups_world.h"

namespace gcw {
namespace {

// Maximum time that a node may send requests to a group after one of its VMs
// was lost, in its own zone and in another.
constexpr Duration kNearBound = GateSettings().max_evidence_age;
constexpr Duration kFarBound = GateSettings().max_remote_evidence_age;

// Measures how long each open endpoint has lacked a VM.
class GateMonitor {
 public:
  explicit GateMonitor(GroupsWorld& world) : world_(world) {}

  // Returns the first violation of the bound, or an empty string.
  std::string Run(Duration time) {
    for (const Time end = world_.now() + time; world_.now() < end;) {
      world_.Step();
      if (std::string violation = Check(); !violation.empty()) {
        return violation;
      }
    }
    return "";
  }

  Duration longest(const char* node) { return longest_[NodeId(node)]; }

 private:
  std::string Check() {
    for (const DomainRecord& record : world_.Records()) {
      for (const GroupRecord& group : record.groups) {
        const bool is_complete = std::all_of(
            group.members.begin(), group.members.end(), [&](const VmId& vm) {
              return world_.engines().IsPresent(vm, group.id, group.generation);
            });
        if (is_complete) {
          complete_at_[group.id] = world_.now();
        }
        for (auto& [id, node] : world_.nodes()) {
          if (std::string violation = CheckNode(node, group);
              !violation.empty()) {
            return violation;
          }
        }
      }
    }
    return "";
  }

  std::string CheckNode(GroupsWorld::Node& node, const GroupRecord& group) {
    // Includes paused nodes: they may dispatch as soon as they resume.
    if (!node.gate.IsOpen(world_.now(), ServingGate::EndpointOf(group.id))) {
      return "";
    }
    const Duration lacking = world_.now() - complete_at_[group.id];
    longest_[node.id] = std::max(longest_[node.id], lacking);
    const Duration bound = node.zone == ZoneId("z1") ? kNearBound : kFarBound;
    if (lacking <= bound + GroupsWorld::kStep * 2) {
      return "";
    }
    return group.id.value() + " open at " + node.id.value() + " for " +
           std::to_string(lacking.millis()) + " ms";
  }

  GroupsWorld& world_;
  std::map<GroupId, Time> complete_at_;
  std::map<NodeId, Duration> longest_;
};

std::int64_t CountOpen(GroupsWorld& world, const char* node) {
  std::int64_t open = 0;
  for (const DomainRecord& record : world.Records()) {
    for (const GroupRecord& group : record.groups) {
      open += world.node(node).gate.IsOpen(world.now(),
                                           ServingGate::EndpointOf(group.id))
                  ? 1
                  : 0;
    }
  }
  return open;
}

TEST(ServingGateTest, OpensCompleteGroupsInEachZone) {
  GroupsWorld world(1, true);
  GateMonitor monitor(world);
  ASSERT_EQ(monitor.Run(Duration::Seconds(40)), "");
  EXPECT_EQ(CountOpen(world, "n1"), 3);
  EXPECT_EQ(CountOpen(world, "n4"), 3);
}

// Guards against requests to a group whose VM is dead, paused or restarted.
// Evidence must expire: the record, the VM list and old reports do not show the
// loss.
TEST(ServingGateTest, ClosesWhenAVmIsLost) {
  enum class LossKind { kKill, kPause, kRestart };
  for (const LossKind kind :
       {LossKind::kKill, LossKind::kPause, LossKind::kRestart}) {
    for (const std::size_t rank : {0U, 1U}) {
      GroupsWorld world(2, true);
      GateMonitor monitor(world);
      ASSERT_EQ(monitor.Run(Duration::Seconds(40)), "");
      const VmId vm = world.Records()[0].groups[0].members[rank];
      if (kind == LossKind::kKill) {
        world.engines().Kill(world.now(), vm);
      } else if (kind == LossKind::kPause) {
        world.engines().Pause(world.now(), vm);
      } else {
        world.engines().Restart(world.now(), vm);
      }
      ASSERT_EQ(monitor.Run(Duration::Seconds(60)), "");
      EXPECT_EQ(CountOpen(world, "n1"), 3);
      std::printf(
          "loss kind %d, member %zu: routable for up to %lld and %lld ms\n",
          static_cast<int>(kind), rank,
          static_cast<long long>(monitor.longest("n1").millis()),
          static_cast<long long>(monitor.longest("n4").millis()));
      // Well below the bound while nothing else fails.
      EXPECT_LE(monitor.longest("n1"), Duration::Millis(3000));
      EXPECT_LE(monitor.longest("n4"), Duration::Millis(3500));
    }
  }
}

// Guards against a cut-off node that routes by outdated information. The node
// loses its peers, the endpoints and the store at once; the absence of reports
// must not count as evidence.
TEST(ServingGateTest, ClosesEverythingWhenCutOffAndOpensWithoutTheStore) {
  GroupsWorld world(3, true);
  GateMonitor monitor(world);
  ASSERT_EQ(monitor.Run(Duration::Seconds(40)), "");
  world.node("n3").is_cut_off = true;
  world.link().SetOutage(world.now(), true);
  ASSERT_EQ(monitor.Run(kNearBound + Duration::Seconds(1)), "");
  EXPECT_EQ(CountOpen(world, "n3"), 0);
  // A cut-off node closes nothing on other nodes.
  EXPECT_EQ(CountOpen(world, "n1"), 3);
  world.node("n3").is_cut_off = false;
  ASSERT_EQ(monitor.Run(Duration::Seconds(5)), "");
  EXPECT_EQ(CountOpen(world, "n3"), 3);
}

// Guards against one node's broken link closing a share of the fleet on all
// nodes. A node that probes several groups loses its path to all engines only;
// it must not report them as missing, which takes effect at once.
TEST(ServingGateTest, NodeThatReachesNoEngineClosesNothingElsewhere) {
  GroupsWorld world(6, true);
  GateMonitor monitor(world);
  ASSERT_EQ(monitor.Run(Duration::Seconds(40)), "");
  world.node("n3").is_cut_from_engines = true;
  for (int step = 0; step < 200; ++step) {
    ASSERT_EQ(monitor.Run(GroupsWorld::kStep), "");
    ASSERT_EQ(CountOpen(world, "n1"), 3);
    ASSERT_EQ(CountOpen(world, "n2"), 3);
  }
}

// Guards against a report with a long transit time that opens a group whose VMs
// no node has probed since. Reports are delayed by more than the maximum age of
// evidence. The age must count from the echo of the receiver's own time, not
// from the arrival of the report.
TEST(ServingGateTest, LongDelayedReportsCountAsOld) {
  GroupsWorld world(4, true);
  GateMonitor monitor(world);
  ASSERT_EQ(monitor.Run(Duration::Seconds(40)), "");
  world.network().faults().min_delay = Duration::Seconds(12);
  world.network().faults().max_delay = Duration::Seconds(13);
  ASSERT_EQ(monitor.Run(Duration::Seconds(20)), "");
  world.engines().Kill(world.now(), world.Records()[0].groups[0].members[2]);
  ASSERT_EQ(monitor.Run(Duration::Seconds(30)), "");
  EXPECT_EQ(CountOpen(world, "n4"), 0);
}

// Guards against requests to a leaving endpoint. The VM list names one VM of a
// group as leaving; a leaving VM must close its group as a missing one does.
TEST(ServingGateTest, LeavingVmClosesItsGroup) {
  GroupsWorld world(5, true);
  world.faults().list_lag = Duration();
  GateMonitor monitor(world);
  ASSERT_EQ(monitor.Run(Duration::Seconds(40)), "");
  const GroupRecord group = world.Records()[0].groups[0];
  ServingGate& gate = world.node("n1").gate;
  const EndpointId endpoint = ServingGate::EndpointOf(group.id);
  gate.OnRequestStarted(endpoint);
  world.engines().at(group.members[0]).entry.state = VmState::kLeaving;
  ASSERT_EQ(monitor.Run(Duration::Seconds(4)), "");
  EXPECT_FALSE(gate.IsOpen(world.now(), endpoint));
  const auto actions = gate.OnRequestEnded(world.now(), endpoint);
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](auto& action) {
    return std::holds_alternative<EndpointDrained>(action);
  }));
  ASSERT_EQ(monitor.Run(Duration::Seconds(60)), "");
  EXPECT_EQ(CountOpen(world, "n1"), 3);
}

std::string RunLosses(std::uint64_t seed) {
  GroupsWorld world(seed, true);
  GateMonitor monitor(world);
  const Random random = SeededRandom(seed + 5);
  world.network().faults().loss_rate = 0.1;
  world.network().faults().duplication_rate = 0.1;
  world.network().faults().max_delay = Duration::Millis(800);
  std::string violation = monitor.Run(Duration::Seconds(25));
  std::vector<VmId> vms;
  for (const auto& [vm, engine] : world.engines().all()) {
    vms.push_back(vm);
  }
  for (int round = 0; round < 10 && violation.empty(); ++round) {
    const VmId& vm = vms[DrawBelow(random, vms.size())];
    auto node = world.nodes().begin();
    std::advance(node, DrawBelow(random, world.nodes().size()));
    switch (DrawBelow(random, 6)) {
      case 0:
        world.engines().Pause(world.now(), vm);
        break;
      case 1:
        world.engines().Restart(world.now(), vm);
        break;
      case 2:
        world.engines().Kill(world.now(), vm);
        break;
      case 3:
        node->second.is_cut_off = !node->second.is_cut_off;
        break;
      case 4:
        node->second.is_paused = !node->second.is_paused;
        break;
      default:
        world.engines().Resume(world.now(), vm);
        world.unlisted().insert(vm);
    }
    violation = monitor.Run(
        Duration::Millis(static_cast<std::int64_t>(DrawBelow(random, 8000))));
  }
  return violation;
}

// Guards against a failure in which n2 held group d1-1-2 open for 7.1 s without
// one of its VMs. The VM is killed, and killed again 6.4 s later while it has
// no group. The simulated engine of the first VM saw the member again for 400
// ms after the second kill, which counted as evidence.
TEST(ServingGateSeedTest, NoRequestToAGroupThatLacksAVmWithSeed79039) {
  EXPECT_EQ(RunLosses(79039), "");
}

RC_GTEST_PROP(ServingGateProperty, NoRequestToAGroupThatLacksAVm, ()) {
  const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000000);
  RC_ASSERT(RunLosses(seed) == "");
}

}  // namespace
}  // namespace gcw
