#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "tests/coordination/limits/limits_fleet.h"

namespace gcw {
namespace {

constexpr double kRoundingTolerance = 1e-6;
// Smallest possible value of the largest concurrency limit in force: the
// contract's concurrency before any change.
constexpr double kSmallestConcurrency = 7;
constexpr Duration kLeaseDuration = Duration::Seconds(3);
constexpr Duration kLeaseMargin = Duration::Millis(200);

LimitSettings SettingsFor(std::size_t nodes, bool relays) {
  LimitSettings settings;
  settings.shards = 2;
  settings.min_floor_nodes = static_cast<std::int64_t>(nodes);
  settings.max_direct_nodes = relays ? 1 : 100;
  settings.max_nodes_per_relay = 2;
  return settings;
}

// One random run with callers, network faults, pauses, restarts, and changes of
// the contract and of the owner. Only the lease keeps a node from being owner
// beside another.
class RandomFaultRun {
 public:
  RandomFaultRun(std::size_t nodes,
                 bool relays,
                 bool changes_contract,
                 std::uint64_t seed)
      : changes_contract_(changes_contract),
        settings_(SettingsFor(nodes, relays)),
        fleet_(nodes, settings_, TestContract("c", 40, 900, 7), seed) {
    auto& faults = fleet_.network().faults();
    faults.loss_rate = 0.3 * DrawUnit(fleet_.random());
    faults.duplication_rate = 0.3 * DrawUnit(fleet_.random());
    // Long delays make grants expire in transit; short ones let shares settle
    // between faults.
    const std::uint64_t delays = DrawUnit(fleet_.random()) < 0.3 ? 1500 : 60;
    faults.max_delay = Duration::Millis(
        3 + static_cast<std::int64_t>(DrawBelow(fleet_.random(), delays)));
    has_callers_.assign(nodes, true);
    fleet_.AssignRole(0, kLeaseDuration);
  }

  void Run(Duration span) {
    for (const Time end = fleet_.now() + span; fleet_.now() < end;) {
      InjectRandomEvent();
      for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
        if (has_callers_[i] && DrawUnit(fleet_.random()) < 0.5) {
          fleet_.Offer(i);
        }
      }
      RenewOrReassignRole();
      fleet_.Step(Duration::Millis(10));
      max_sum_ = Max(max_sum_, fleet_.Sum());
    }
  }
  // Largest sum of all shares, divided by the limit.
  const LimitVector& max_sum() const { return max_sum_; }
  std::int64_t granted() const { return fleet_.granted(); }

 private:
  void InjectRandomEvent() {
    const std::size_t i = fleet_.RandomNode();
    switch (DrawBelow(fleet_.random(), 300)) {
      case 0:
        fleet_.node(i).is_paused = true;
        break;
      case 1:
      case 2:
        fleet_.node(i).is_paused = false;
        break;
      case 3:
        PartitionNetwork(i);
        break;
      case 4:
      case 5:
        fleet_.network().SetConnected(
            [](const NodeId&, const NodeId&) { return true; });
        break;
      case 6:
        Restart(i);
        break;
      case 7:
        ChangeContract(i);
        break;
      case 8:
      case 9:
      case 10:
        // Callers come or go.
        has_callers_[i] = !has_callers_[i];
        break;
      default:
        break;
    }
  }

  void ChangeContract(std::size_t i) {
    if (changes_contract_) {
      const auto concurrency = 3 + static_cast<std::int64_t>(i);
      fleet_.ChangeContract(i, TestContract("c", 20, 300, concurrency));
    }
  }

  // Partitions the network: either one node from all others, or the fleet into
  // two parts.
  void PartitionNetwork(std::size_t i) {
    const bool isolates_one_node = DrawUnit(fleet_.random()) < 0.5;
    const NodeId pivot = fleet_.node(i).id;
    const auto side = [isolates_one_node, pivot](const NodeId& node) {
      return isolates_one_node ? node == pivot : node < pivot;
    };
    fleet_.network().SetConnected([side](const NodeId& from, const NodeId& to) {
      return side(from) == side(to);
    });
  }

  // The owner is not restarted: a restarted owner has lost its lease, and the
  // role moves only after the lease has expired.
  void Restart(std::size_t i) {
    if (i != fleet_.owner()) {
      fleet_.Restart(i, settings_);
    }
  }

  // A running owner renews its lease most of the time. After the lease has
  // expired, a random node takes the role, while the old owner may still
  // consider itself owner.
  void RenewOrReassignRole() {
    const bool renews = !fleet_.node(fleet_.owner()).is_paused &&
                        DrawUnit(fleet_.random()) < 0.01 &&
                        fleet_.now() < fleet_.role_until();
    if (renews) {
      fleet_.Renew(kLeaseDuration);
    }
    if (fleet_.now() > fleet_.role_until() + kLeaseMargin) {
      fleet_.AssignRole(fleet_.RandomNode(), kLeaseDuration);
    }
  }

  bool changes_contract_;
  LimitSettings settings_;
  LimitsFleet fleet_;
  std::vector<bool> has_callers_;
  LimitVector max_sum_;
};

RC_GTEST_PROP(LimitsProperty, SharesNeverExceedTheLimit, ()) {
  const auto nodes = *rc::gen::inRange<std::size_t>(2, 7);
  const auto relays = *rc::gen::arbitrary<bool>();
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  RandomFaultRun run(nodes, relays, false, seed);
  run.Run(Duration::Seconds(30));
  for (const LimitResource resource : kLimitResources) {
    RC_ASSERT(run.max_sum()[resource] <= 1 + kRoundingTolerance);
  }
  // A fleet that grants nothing would satisfy the bound trivially.
  RC_ASSERT(run.granted() > 0);
}

// While nodes know different versions of a contract, concurrency is rounded to
// whole requests of different limits, so that each node may exceed by one.
RC_GTEST_PROP(LimitsProperty, SumOfSharesIsBoundedDuringContractChange, ()) {
  const auto nodes = *rc::gen::inRange<std::size_t>(2, 5);
  const auto relays = *rc::gen::arbitrary<bool>();
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  RandomFaultRun run(nodes, relays, true, seed);
  run.Run(Duration::Seconds(30));
  RC_ASSERT(run.max_sum()[LimitResource::kRequests] <= 1 + kRoundingTolerance);
  RC_ASSERT(run.max_sum()[LimitResource::kTokens] <= 1 + kRoundingTolerance);
  RC_ASSERT(run.max_sum()[LimitResource::kConcurrency] <=
            1 + static_cast<double>(nodes) / kSmallestConcurrency);
}

}  // namespace
}  // namespace gcw
