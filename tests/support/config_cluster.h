#ifndef TESTS_SUPPORT_CONFIG_CLUSTER_H_
#define TESTS_SUPPORT_CONFIG_CLUSTER_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_store_link.h"
#include "tests/support/text_codecs.h"

namespace gcw {

// Simulates nodes that replicate the configuration, with a fake key-value
// service and a fake network. The view always lists every node as alive.
class ConfigCluster {
 public:
  static constexpr Duration kStep = Duration::Millis(50);

  struct Node {
    NodeId id;
    ZoneId zone;
    bool paused = false;
    std::int64_t process = 0;
    std::unique_ptr<ConfigSync> sync;
    // The last revision applied for each key, and whether any key ever went
    // back to an older or equal revision.
    std::map<std::string, Revision> applied;
    bool reverted = false;
    std::vector<FakeStoreLink::Delivery> store_inbox;
    std::vector<FakeNetwork<ConfigMessage>::Delivery> peer_inbox;
  };

  ConfigCluster(std::size_t count,
                std::uint64_t seed,
                std::size_t zones = 2,
                ConfigSyncSettings settings = {})
      : settings_(std::move(settings)),
        random_(SeededRandom(seed)),
        link_(SeededRandom(seed + 1)),
        network_(SeededRandom(seed + 2)) {
    nodes_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      nodes_[i].id = NodeId("n" + std::to_string(i));
      nodes_[i].zone = ZoneId("z" + std::to_string(i % zones));
      index_[nodes_[i].id] = i;
      Member& member = view_.Upsert(nodes_[i].id);
      member.record.id = nodes_[i].id;
      member.record.zone = nodes_[i].zone;
    }
    for (std::size_t i = 0; i < count; ++i) {
      Restart(i);
    }
  }

  // Restarts the node as a new process with an empty copy.
  void Restart(std::size_t index) {
    Node& node = nodes_[index];
    ++node.process;
    node.applied.clear();
    node.store_inbox.clear();
    node.peer_inbox.clear();
    node.sync = ConfigSync::Builder()
                    .SetSettings(settings_)
                    .SetSelf(node.id, node.zone)
                    .SetCodec(TextConfigCodec())
                    .SetRandom(SeededRandom(random_()))
                    .SetEventSink([this](const EventDraft& draft) {
                      ++events_[draft.kind];
                      return EventId();
                    })
                    .Build();
    node.sync->SetView(now_, view_);
  }

  // Proposes a change through a node. The outcome appears in `outcomes`.
  ChangeId Propose(std::size_t index,
                   const std::string& key,
                   std::optional<std::string> value,
                   Revision expected) {
    ChangeId id("c" + std::to_string(++last_change_));
    Propose(index, {key, std::move(value), expected, id, false});
    return id;
  }
  void Propose(std::size_t index, const ConfigChange& change) {
    ApplyActions(index, nodes_[index].sync->Propose(now_, change));
  }
  // Like `Propose`, but runs the cluster until the outcome is known.
  ChangeOutcome Settle(std::size_t index,
                       const std::string& key,
                       std::optional<std::string> value,
                       Revision expected) {
    const ChangeId id = Propose(index, key, std::move(value), expected);
    while (!outcomes_.contains(id)) {
      Step();
    }
    return outcomes_.at(id);
  }

  void Step() {
    now_ = now_ + kStep;
    for (FakeStoreLink::Delivery& delivery : link_.Deliver(now_)) {
      const std::size_t index = std::stoul(delivery.caller);
      nodes_[index].store_inbox.push_back(std::move(delivery));
    }
    for (auto& delivery : network_.Deliver(now_)) {
      nodes_[index_.at(delivery.to)].peer_inbox.push_back(std::move(delivery));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i].paused) {
        RunNode(i);
      }
    }
  }

  void Run(Duration span) {
    for (const Time end = now_ + span; now_ < end;) {
      Step();
    }
  }

  // Returns true if all nodes hold exactly the service's entries.
  bool Converged() const {
    for (const Node& node : nodes_) {
      const auto& held = node.sync->store().entries();
      std::size_t count = 0;
      for (const auto& [key, entry] : link_.store().entries()) {
        const auto it = held.find(key);
        if (it == held.end() || it->second.revision != entry.revision) {
          return false;
        }
        ++count;
      }
      if (count != held.size()) {
        return false;
      }
    }
    return true;
  }

  Time now() const { return now_; }
  std::vector<Node>& nodes() { return nodes_; }
  const ConfigStore& store_of(std::size_t index) const {
    return nodes_[index].sync->store();
  }
  FakeStoreLink& link() { return link_; }
  FakeNetwork<ConfigMessage>& network() { return network_; }
  const Random& random() const { return random_; }
  const std::map<ChangeId, ChangeOutcome>& outcomes() const {
    return outcomes_;
  }
  // True if a final outcome was followed by a different one.
  bool has_contradiction() const { return has_contradiction_; }
  std::int64_t events(EventKind kind) { return events_[kind]; }
  std::int64_t sent_bytes() const { return sent_bytes_; }

 private:
  void RunNode(std::size_t index) {
    Node& node = nodes_[index];
    for (const auto& delivery : std::exchange(node.store_inbox, {})) {
      if (delivery.caller == CallerOf(index)) {
        ApplyActions(
            index, node.sync->OnStoreReply(now_, delivery.id, delivery.reply));
      }
    }
    for (const auto& delivery : std::exchange(node.peer_inbox, {})) {
      ApplyActions(index,
                   node.sync->OnPeer(now_, delivery.from, delivery.message));
    }
    ApplyActions(index, node.sync->Tick(now_));
  }

  std::string CallerOf(std::size_t index) const {
    return std::to_string(index) + "/" + std::to_string(nodes_[index].process);
  }

  void ApplyActions(std::size_t index, std::vector<ConfigSyncAction> actions) {
    for (ConfigSyncAction& action : actions) {
      std::visit(
          Overloaded{
              [&](StoreRequest& request) {
                link_.Send(now_, CallerOf(index), request.id,
                           std::move(request.call));
              },
              [&](PeerSend<ConfigMessage>& send) {
                sent_bytes_ +=
                    static_cast<std::int64_t>(EstimatedSize(send.message));
                network_.Send(now_, nodes_[index].id, send.to,
                              std::move(send.message));
              },
              [&](const ConfigApplied& applied) {
                Revision& last = nodes_[index].applied[applied.entry.key];
                nodes_[index].reverted |= applied.entry.revision <= last;
                last = applied.entry.revision;
              },
              [&](const ProposalFinished& finished) {
                RecordOutcome(finished);
              },
          },
          action);
    }
  }

  void RecordOutcome(const ProposalFinished& finished) {
    const auto [it, inserted] =
        outcomes_.emplace(finished.change.id, finished.outcome);
    if (inserted) {
      return;
    }
    // `ChangeUnavailable` does not contradict a final outcome from another
    // node.
    const auto is_final =
        !std::holds_alternative<ChangeUnavailable>(finished.outcome);
    const bool was_final =
        !std::holds_alternative<ChangeUnavailable>(it->second);
    if (was_final && !is_final) {
      return;
    }
    has_contradiction_ |=
        was_final && it->second.index() != finished.outcome.index();
    it->second = finished.outcome;
  }

  ConfigSyncSettings settings_;
  Random random_;
  FakeStoreLink link_;
  FakeNetwork<ConfigMessage> network_;
  std::vector<Node> nodes_;
  std::map<NodeId, std::size_t> index_;
  View view_;
  Time now_ = Time::FromMillis(1000000);
  std::int64_t last_change_ = 0;
  std::map<ChangeId, ChangeOutcome> outcomes_;
  std::map<EventKind, std::int64_t> events_;
  std::int64_t sent_bytes_ = 0;
  bool has_contradiction_ = false;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_CONFIG_CLUSTER_H_
