#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/config_cluster.h"

namespace gcw {
namespace {

const std::vector<std::string> kKeys = {"contract/a", "contract/b",
                                        "setting/c"};

// Operators and the changes that they asked for.
class Operators {
 public:
  explicit Operators(ConfigCluster& cluster) : cluster_(cluster) {}

  // One operator changes or withdraws a key, going by what a node shows, or
  // asks again for an outcome that is still open.
  void Act() {
    const Random& random = cluster_.random();
    const std::size_t node = DrawBelow(random, cluster_.nodes().size());
    if (cluster_.nodes()[node].paused) {
      return;
    }
    if (!asked_.empty() && DrawBelow(random, 3) == 0) {
      AskAgain(node, asked_[DrawBelow(random, asked_.size())]);
      return;
    }
    const std::string& key = kKeys[DrawBelow(random, kKeys.size())];
    const ConfigEntry* seen = cluster_.store_of(node).Find(key);
    std::optional<std::string> value;
    if (DrawBelow(random, 4) != 0) {
      value = "v" + std::to_string(asked_.size());
    }
    const Revision expected = seen != nullptr ? seen->revision : Revision();
    const ChangeId id = cluster_.Propose(node, key, value, expected);
    asked_.push_back({key, value, expected, id, true});
  }

  // Asks through well nodes until every outcome is final.
  bool SettleAll() {
    for (int round = 0; round < 50; ++round) {
      bool open = false;
      for (const ConfigChange& change : asked_) {
        if (!IsFinal(change.change) && !IsForgotten(change)) {
          open = true;
          AskAgain(0, change);
        }
      }
      if (!open) {
        return true;
      }
      cluster_.Run(Duration::Seconds(2));
    }
    return false;
  }

  // Whether what operators were told is what the service did.
  void CheckAnswers() const {
    std::map<ChangeId, std::vector<Revision>> written;
    for (const FakeStore::Change& change : cluster_.link().store().changes()) {
      const auto record = TextConfigCodec().decode(change.entry->value);
      written[record->change].push_back(change.revision);
    }
    std::set<std::pair<std::string, Revision>> won;
    for (const ConfigChange& change : asked_) {
      const auto it = cluster_.outcomes().find(change.change);
      if (it == cluster_.outcomes().end()) {
        continue;
      }
      const auto& revisions = written[change.change];
      RC_ASSERT(revisions.size() <= 1U);
      if (const auto* accepted = std::get_if<ChangeAccepted>(&it->second)) {
        RC_ASSERT(revisions == std::vector<Revision>{accepted->revision});
        // One winner for each version of a key.
        RC_ASSERT(won.emplace(change.key, change.expected).second);
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

  // Whether so many changes followed that the key's history cannot name this
  // one any more: then "outcome unknown" is the truth for good.
  bool IsForgotten(const ConfigChange& change) const {
    std::size_t later = 0;
    for (const FakeStore::Change& write : cluster_.link().store().changes()) {
      later += write.key == change.key && write.revision > change.expected;
    }
    const auto it = cluster_.outcomes().find(change.change);
    return later >= ConfigRecord::kHistoryLimit &&
           it != cluster_.outcomes().end() &&
           std::get<ChangeUnavailable>(it->second).kind ==
               ChangeUnavailableKind::kOutcomeUnknown;
  }

  void AskAgain(std::size_t node, const ConfigChange& change) {
    if (!IsFinal(change.change)) {
      cluster_.Propose(node, change);
    }
  }

  ConfigCluster& cluster_;
  std::vector<ConfigChange> asked_;
};

// One random fault or recovery.
void Disturb(ConfigCluster& cluster) {
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
      faults.reply_lost = DrawUnit(random) / 2;
      faults.request_lost = DrawUnit(random) / 4;
      break;
    case 4:
      faults.busy = DrawUnit(random) / 2;
      faults.max_delay = Duration::Millis(
          static_cast<std::int64_t>(DrawBelow(random, 5000)) + 1);
      break;
    case 5:
      cluster.link().Snapshot();
      faults.stale_read = DrawUnit(random) / 4;
      break;
    case 6:
      network.lost = DrawUnit(random) / 2;
      network.doubled = DrawUnit(random) / 2;
      network.max_delay = Duration::Millis(
          static_cast<std::int64_t>(DrawBelow(random, 20000)) + 1);
      break;
    default: {
      const std::uint64_t side = random();
      cluster.network().SetConnected([side](const NodeId& a, const NodeId& b) {
        return (RendezvousScore(std::to_string(side), a) & 1) ==
               (RendezvousScore(std::to_string(side), b) & 1);
      });
    }
  }
}

void Heal(ConfigCluster& cluster) {
  cluster.link().SetOutage(cluster.now(), false);
  cluster.link().faults() = FakeStoreFaults();
  cluster.network().faults() = FakeNetworkFaults();
  cluster.network().SetConnected(
      [](const NodeId&, const NodeId&) { return true; });
  for (ConfigCluster::Node& node : cluster.nodes()) {
    node.paused = false;
  }
}

// Symptom: an accepted change reverts at a node, is missing at a node, or was
// never written; a refused one is in force; two operators win one version.
// Sequence: any mix of racing operators who ask again through other nodes, lost
// and late answers, stale reads, busy and absent service, nodes paused and
// started anew, and messages lost, doubled, late and cut off.
// Cause: any one of the mechanisms of docs/design/0006-configuration.md
// failing.
RC_GTEST_PROP(ConfigProperty,
              AnswersAreTrueAndNothingReverts,
              (std::uint64_t seed)) {
  ConfigCluster cluster(5, seed);
  Operators operators(cluster);
  cluster.Run(Duration::Seconds(5));
  for (int step = 0; step < 1500; ++step) {
    if (DrawBelow(cluster.random(), 25) == 0) {
      Disturb(cluster);
    }
    if (DrawBelow(cluster.random(), 10) == 0) {
      operators.Act();
    }
    cluster.Step();
    for (const ConfigCluster::Node& node : cluster.nodes()) {
      RC_ASSERT(!node.reverted);
    }
  }
  operators.CheckAnswers();
  Heal(cluster);
  cluster.Run(Duration::Seconds(30));
  RC_ASSERT(operators.SettleAll());
  operators.CheckAnswers();
  cluster.Run(Duration::Seconds(40));
  RC_ASSERT(cluster.events(EventKind::kStoreRewound) == 0);
  RC_ASSERT(!cluster.contradicted());
  RC_ASSERT(cluster.Converged());
  for (const ConfigCluster::Node& node : cluster.nodes()) {
    RC_ASSERT(node.sync->ready());
    RC_ASSERT(node.sync->floor() >= node.sync->store().newest());
  }
}

// Symptom: a node's claim to hold everything up to a revision is false, and
// operators read "in force" where it is not.
// Sequence: as above.
// Cause: a floor raised over an entry that was lost on the way.
RC_GTEST_PROP(ConfigProperty, FloorsAreTrue, (std::uint64_t seed)) {
  ConfigCluster cluster(4, seed);
  Operators operators(cluster);
  for (int step = 0; step < 1500; ++step) {
    if (DrawBelow(cluster.random(), 25) == 0) {
      Disturb(cluster);
    }
    if (DrawBelow(cluster.random(), 10) == 0) {
      operators.Act();
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
