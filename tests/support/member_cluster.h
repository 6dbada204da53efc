#ifndef TESTS_SUPPORT_MEMBER_CLUSTER_H_
#define TESTS_SUPPORT_MEMBER_CLUSTER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_store_link.h"
#include "tests/support/text_codecs.h"

namespace gcw {

// Nodes that track each other's membership, with one fake key-value service and
// network. Each node's key is in the service from its start, unless the node is
// started unregistered.
class MemberCluster {
 public:
  static constexpr Duration kStep = Duration::Millis(50);

  struct Node {
    NodeRecord record;
    bool up = true;
    bool paused = false;
    std::int64_t process_number = 0;
    std::unique_ptr<Membership> members;
    std::vector<Delta> received_deltas;
    std::vector<FakeStoreLink::Delivery> store_inbox;
    std::vector<FakeNetwork<MembershipMessage>::Delivery> peer_inbox;
  };

  MemberCluster(std::size_t count, std::uint64_t seed, std::size_t zones = 2)
      : random_(SeededRandom(seed)),
        link_(SeededRandom(seed + 1)),
        network_(SeededRandom(seed + 2)) {
    nodes_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      NodeRecord& record = nodes_[i].record;
      record.id = NodeId("n" + std::to_string(i));
      record.zone = ZoneId("z" + std::to_string(i % zones));
      record.region = RegionId("r0");
      record.peer_address = Address("10.0.0.1:7000");
      record.caller_address = Address("10.0.0.1:8" + std::to_string(i));
      record.operator_address = Address("10.0.0.1:9000");
      index_[record.id] = i;
    }
    for (std::size_t i = 0; i < count; ++i) {
      Restart(i);
    }
  }

  // Starts a new process. Its lease is granted if the service is reachable.
  void Restart(std::size_t index, std::vector<NodeRecord> seeds = {}) {
    RestartUnregistered(index, std::move(seeds));
    if (!link_.faults().outage) {
      Register(index);
    }
  }

  // Starts a new process whose key is not in the service yet.
  void RestartUnregistered(std::size_t index,
                           std::vector<NodeRecord> seeds = {}) {
    Node& node = nodes_[index];
    ++node.process_number;
    node.up = true;
    node.paused = false;
    node.store_inbox.clear();
    node.peer_inbox.clear();
    node.members =
        std::make_unique<Membership>(Membership::Builder()
                                         .SetSelf(node.record)
                                         .SetSeeds(std::move(seeds))
                                         .SetDecode(TextNodeCodec().decode)
                                         .SetRandom(SeededRandom(random_()))
                                         .Build());
  }

  // Removes the node's key, as at the end of its lease.
  void Unregister(std::size_t index) {
    link_.store().Execute(
        now_, StoreDelete{"node/" + nodes_[index].record.id.value(), {}});
  }

  // Writes `node/<id>` and passes the incarnation to the node.
  void Register(std::size_t index) {
    Node& node = nodes_[index];
    const std::string key = "node/" + node.record.id.value();
    const auto& entries = link_.store().entries();
    const auto it = entries.find(key);
    const Revision expected =
        it == entries.end() ? Revision() : it->second.revision;
    const auto reply = link_.store().Execute(
        now_, StorePut{key, TextNodeCodec().encode(node.record), expected,
                       LeaseId()});
    const Revision revision = std::get<StoreWritten>(*reply).revision;
    node.members->SetIncarnation(now_, Incarnation(revision.value()));
  }

  void Leave(std::size_t index) {
    Perform(index, nodes_[index].members->Leave(now_));
  }

  void Step() {
    now_ = now_ + kStep;
    for (FakeStoreLink::Delivery& delivery : link_.Deliver(now_)) {
      nodes_[std::stoul(delivery.caller)].store_inbox.push_back(
          std::move(delivery));
    }
    for (auto& delivery : network_.Deliver(now_)) {
      Node& to = nodes_[index_.at(delivery.to)];
      if (to.up) {
        to.peer_inbox.push_back(std::move(delivery));
      }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].up && !nodes_[i].paused) {
        RunNode(i);
      }
    }
  }

  void Run(Duration span) {
    for (const Time end = now_ + span; now_ < end;) {
      Step();
    }
  }

  // Returns true if `from` knows the address at which the current run of `to`
  // listens.
  bool KnowsAddress(const NodeId& from, const NodeId& to) const {
    const Member* member = nodes_[index_.at(from)].members->view().Find(to);
    return member != nullptr && member->record.peer_address ==
                                    nodes_[index_.at(to)].record.peer_address;
  }

  // Returns how many running nodes other than `index` see it in `state`.
  std::size_t CountNodesSeeing(std::size_t index, MemberState state) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      count +=
          i != index && nodes_[i].up &&
          nodes_[i].members->view().HasState(nodes_[index].record.id, state);
    }
    return count;
  }

  // Returns true if every running node sees exactly the running nodes as
  // owners, each with the version that it last announced.
  bool HasConverged() const {
    std::size_t running = 0;
    for (const Node& node : nodes_) {
      running += node.up ? 1 : 0;
    }
    for (const Node& node : nodes_) {
      if (!node.up) {
        continue;
      }
      const std::vector<NodeId> owners = node.members->view().Owners();
      if (owners.size() != running) {
        return false;
      }
      for (const NodeId& owner : owners) {
        const Node& other = nodes_[index_.at(owner)];
        if (!other.up || node.members->view().Find(owner)->version !=
                             other.members->self().version) {
          return false;
        }
      }
    }
    return true;
  }

  Time now() const { return now_; }
  std::vector<Node>& nodes() { return nodes_; }
  FakeStoreLink& link() { return link_; }
  FakeNetwork<MembershipMessage>& network() { return network_; }
  const Random& random() const { return random_; }
  // Bytes sent by all nodes so far.
  std::int64_t sent_bytes() const { return sent_bytes_; }
  // Number of changes to this state that nodes saw so far.
  std::int64_t changes(MemberState state) { return changes_[state]; }
  // Nodes that any node has suspected so far.
  const std::set<NodeId>& suspected() const { return suspected_; }

 private:
  void RunNode(std::size_t index) {
    Node& node = nodes_[index];
    // A process that resumes may handle its timers before its messages.
    Perform(index, node.members->Tick(now_));
    for (const auto& delivery : std::exchange(node.store_inbox, {})) {
      if (delivery.caller == StoreCaller(index)) {
        Perform(index,
                node.members->OnStoreReply(now_, delivery.id, delivery.reply));
      }
    }
    for (const auto& delivery : std::exchange(node.peer_inbox, {})) {
      Perform(index,
              node.members->OnPeer(now_, delivery.from, delivery.message));
    }
  }

  std::string StoreCaller(std::size_t index) const {
    return std::to_string(index) + "/" +
           std::to_string(nodes_[index].process_number);
  }

  void Perform(std::size_t index, std::vector<MembershipAction> actions) {
    for (MembershipAction& action : actions) {
      std::visit(Overloaded{
                     [&](StoreRequest& request) {
                       link_.Send(now_, StoreCaller(index), request.id,
                                  std::move(request.call));
                     },
                     [&](PeerSend<MembershipMessage>& send) {
                       sent_bytes_ += static_cast<std::int64_t>(
                           EstimatedSize(send.message));
                       network_.Send(now_, nodes_[index].record.id, send.to,
                                     std::move(send.message));
                     },
                     [&](const MemberChanged& changed) {
                       ++changes_[changed.state];
                       if (changed.state == MemberState::kSuspect) {
                         suspected_.insert(changed.node);
                       }
                     },
                     [&](const DeltaReceived& received) {
                       nodes_[index].received_deltas.push_back(received.delta);
                     },
                 },
                 action);
    }
  }

  Random random_;
  FakeStoreLink link_;
  FakeNetwork<MembershipMessage> network_;
  std::vector<Node> nodes_;
  std::map<NodeId, std::size_t> index_;
  Time now_ = Time::FromMillis(1000000);
  std::int64_t sent_bytes_ = 0;
  std::map<MemberState, std::int64_t> changes_;
  std::set<NodeId> suspected_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_MEMBER_CLUSTER_H_
