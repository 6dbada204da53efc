#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/config_cluster.h"

namespace gcw {
namespace {

const std::vector<std::string> kKeys = {"contract/a", "contract/b",
                                        "setting/c"};

// Simulates operators and keeps the changes that they have proposed.
class Operators {
 public:
  explicit Operators(ConfigCluster& cluster) : cluster_(cluster) {}

  // One operator changes or withdraws a key based on one node's copy, or asks
  // again for an outcome that is not final.
  void ProposeRandomChange() {
    const Random& random = cluster_.random();
    const std::size_t node = DrawBelow(random, cluster_.nodes().size());
    if (cluster_.nodes()[node].paused) {
      return;
    }
    if (!changes_.empty() && DrawBelow(random, 3) == 0) {
      ProposeAgain(node, changes_[DrawBelow(random, changes_.size())]);
      return;
    }
    const std::string& key = kKeys[DrawBelow(random, kKeys.size())];
    const ConfigEntry* seen = cluster_.store_of(node).Find(key);
    std::optional<std::string> value;
    if (DrawBelow(random, 4) != 0) {
      value = "v" + std::to_string(changes_.size());
    }
    const Revision expected = seen != nullptr ? seen->revision : Revision();
    const ChangeId id = cluster_.Propose(node, key, value, expected);
    changes_.push_back({key, value, expected, id, true});
  }

  // Asks again through node 0, once all faults are healed, until every outcome
  // is final or can no longer be known. Returns false if that takes too long.
  bool SettleAllChanges() {
    for (int round = 0; round < 50; ++round) {
      bool open = false;
      for (const ConfigChange& change : changes_) {
        if (!IsFinal(change.id) && !IsForgotten(change)) {
          open = true;
          ProposeAgain(0, change);
        }
      }
      if (!open) {
        return true;
      }
      cluster_.Run(Duration::Seconds(2));
    }
    return false;
  }

  // Checks that the operators' answers match the writes of the service.
  void CheckOutcomes() const {
    std::map<ChangeId, std::vector<Revision>> written;
    for (const FakeStore::Change& change : cluster_.link().store().changes()) {
      const auto record = TextConfigCodec().decode(change.entry->value);
      written[record->change].push_back(change.revision);
    }
    std::set<std::pair<std::string, Revision>> accepted_versions;
    for (const ConfigChange& change : changes_) {
      const auto it = cluster_.outcomes().find(change.id);
      if (it == cluster_.outcomes().end()) {
        continue;
      }
      const auto& revisions = written[change.id];
      RC_ASSERT(revisions.size() <= 1U);
      if (const auto* accepted = std::get_if<ChangeAccepted>(&it->second)) {
        RC_ASSERT(revisions == std::vector<Revision>{accepted->revision});
        // At most one change is accepted for each version of a key.
        RC_ASSERT(
            accepted_versions.emplace(change.key, change.expected_revision)
                .second);
      } else if (std::holds_alternative<ChangeConflict>(it->second)) {
        RC_ASSERT(revisions.empty());
      }
    }
  }

 private:
  bool IsFinal(const ChangeId& id) const {
    const auto it = cluster_.outcomes().find(id);
    return it != cluster_.outcomes().end() &&
           !std::holds_alternative<ChangeUnavailable>(it->second);
  }

  // Returns true if more changes followed than the key's history can name. The
  // final outcome of this change is then "outcome unknown".
  bool IsForgotten(const ConfigChange& change) const {
    std::size_t later = 0;
    for (const FakeStore::Change& write : cluster_.link().store().changes()) {
      later +=
          write.key == change.key && write.revision > change.expected_revision;
    }
    const auto it = cluster_.outcomes().find(change.id);
    return later >= ConfigRecord::kHistoryLimit &&
           it != cluster_.outcomes().end() &&
           std::get<ChangeUnavailable>(it->second).kind ==
               ChangeUnavailableKind::kOutcomeUnknown;
  }

  void ProposeAgain(std::size_t node, const ConfigChange& change) {
    if (!IsFinal(change.id)) {
      cluster_.Propose(node, change);
    }
  }

  ConfigCluster& cluster_;
  std::vector<ConfigChange> changes_;
};

// Injects or ends one random fault.
void InjectFault(ConfigCluster& cluster) {
  const Random& random = cluster.random();
  const std::size_t index = DrawBelow(random, cluster.nodes().size());
  FakeStoreFaults& faults = cluster.link().faults();
  FakeNetworkFaults& network = cluster.network().faults();
  switch (DrawBelow(random, 8)) {
    case 0:
      cluster.nodes()[index].paused ^= true;
      break;
    case 1:
      cluster.Restart(index);
      break;
    case 2:
      cluster.link().SetOutage(cluster.now(), !faults.outage);
      break;
    case 3:
      faults.reply_loss_rate = DrawUnit(random) / 2;
      faults.request_loss_rate = DrawUnit(random) / 4;
      break;
    case 4:
      faults.busy_rate = DrawUnit(random) / 2;
      faults.max_delay = Duration::Millis(
          static_cast<std::int64_t>(DrawBelow(random, 5000)) + 1);
      break;
    case 5:
      cluster.link().Snapshot();
      faults.stale_read_rate = DrawUnit(random) / 4;
      break;
    case 6:
      network.loss_rate = DrawUnit(random) / 2;
      network.duplication_rate = DrawUnit(random) / 2;
      network.max_delay = Duration::Millis(
          static_cast<std::int64_t>(DrawBelow(random, 20000)) + 1);
      break;
    default: {
      const std::uint64_t partition_seed = random();
      cluster.network().SetConnected(
          [partition_seed](const NodeId& a, const NodeId& b) {
            return (RendezvousScore(std::to_string(partition_seed), a) & 1) ==
                   (RendezvousScore(std::to_string(partition_seed), b) & 1);
          });
    }
  }
}

void ClearFaults(ConfigCluster& cluster) {
  cluster.link().SetOutage(cluster.now(), false);
  cluster.link().faults() = FakeStoreFaults();
  cluster.network().faults() = FakeNetworkFaults();
  cluster.network().SetConnected(
      [](const NodeId&, const NodeId&) { return true; });
  for (ConfigCluster::Node& node : cluster.nodes()) {
    node.paused = false;
  }
}

// Checks the guarantees of docs/design/0006-configuration.md under racing
// operators, a faulty service, paused and restarted nodes and a faulty network:
// an accepted change was written, reaches every node and is never reverted, a
// refused change never takes effect, and each version has one winner.
RC_GTEST_PROP(ConfigProperty,
              OutcomesAreCorrectAndNothingReverts,
              (std::uint64_t seed)) {
  ConfigCluster cluster(5, seed);
  Operators operators(cluster);
  cluster.Run(Duration::Seconds(5));
  for (int step = 0; step < 1500; ++step) {
    if (DrawBelow(cluster.random(), 25) == 0) {
      InjectFault(cluster);
    }
    if (DrawBelow(cluster.random(), 10) == 0) {
      operators.ProposeRandomChange();
    }
    cluster.Step();
    for (const ConfigCluster::Node& node : cluster.nodes()) {
      RC_ASSERT(!node.reverted);
    }
  }
  operators.CheckOutcomes();
  ClearFaults(cluster);
  cluster.Run(Duration::Seconds(30));
  RC_ASSERT(operators.SettleAllChanges());
  operators.CheckOutcomes();
  cluster.Run(Duration::Seconds(40));
  RC_ASSERT(cluster.events(EventKind::kStoreRolledBack) == 0);
  RC_ASSERT(!cluster.has_contradiction());
  RC_ASSERT(cluster.Converged());
  for (const ConfigCluster::Node& node : cluster.nodes()) {
    RC_ASSERT(node.sync->ready());
    RC_ASSERT(node.sync->floor() >= node.sync->store().newest());
  }
}

// Guards against a floor that is raised past an entry that was lost in transit,
// which would tell operators that a change is in force at a node that lacks it.
RC_GTEST_PROP(ConfigProperty, FloorsAreCorrect, (std::uint64_t seed)) {
  ConfigCluster cluster(4, seed);
  Operators operators(cluster);
  for (int step = 0; step < 1500; ++step) {
    if (DrawBelow(cluster.random(), 25) == 0) {
      InjectFault(cluster);
    }
    if (DrawBelow(cluster.random(), 10) == 0) {
      operators.ProposeRandomChange();
    }
    cluster.Step();
    for (const ConfigCluster::Node& node : cluster.nodes()) {
      for (const auto& [key, entry] : cluster.link().store().entries()) {
        const ConfigEntry* held = node.sync->store().Find(key);
        RC_ASSERT(entry.revision > node.sync->floor() ||
                  (held != nullptr && held->revision >= entry.revision));
      }
    }
  }
}

}  // namespace
}  // namespace gcw
