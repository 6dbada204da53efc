#ifndef TESTS_SUPPORT_LEASE_CLUSTER_H_
#define TESTS_SUPPORT_LEASE_CLUSTER_H_

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/fake_store_link.h"
#include "tests/support/text_codecs.h"

namespace gcw {

// Nodes that hold leases and roles of one fake key-value service.
class LeaseCluster {
 public:
  static constexpr Duration kStep = Duration::Millis(50);

  struct Node {
    NodeId id;
    // The node's clock shows `now * rate + offset`.
    Duration offset;
    double rate = 1.0;
    bool paused = false;
    std::int64_t process = 0;
    std::unique_ptr<NodeLease> lease;
    std::unique_ptr<RoleLeases> roles;
    // Replies that are delivered when the node is no longer paused.
    std::vector<FakeStoreLink::Delivery> inbox;

    Time Clock(Time now) const {
      const auto millis = static_cast<double>(now.millis()) * rate;
      return Time::FromMillis(static_cast<std::int64_t>(millis)) + offset;
    }
  };

  LeaseCluster(std::size_t count, std::uint64_t seed)
      : random_(SeededRandom(seed)), link_(SeededRandom(seed + 1)) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes_.emplace_back();
      Node& node = nodes_.back();
      node.id = NodeId("n" + std::to_string(i));
      Restart(i);
    }
  }

  // Starts a new process under the same id.
  void Restart(std::size_t index) {
    Node& node = nodes_[index];
    node.inbox.clear();
    ++node.process;
    NodeRecord record;
    record.id = node.id;
    node.lease =
        std::make_unique<NodeLease>(NodeLease::Builder()
                                        .SetRecord(record)
                                        .SetEncode(TextNodeCodec().encode)
                                        .SetRandom(SeededRandom(random_()))
                                        .Build());
    NodeLease* lease = node.lease.get();
    node.roles = std::make_unique<RoleLeases>(
        RoleLeases::Builder()
            .SetSelf(node.id)
            .SetLease([lease](Time now) { return lease->Held(now); })
            .SetRevisionFloor([this] { return floor_; })
            .SetRandom(SeededRandom(random_()))
            .Build());
  }

  void SetDesired(std::size_t index, std::set<RoleName> roles) {
    Node& node = nodes_[index];
    Send(index, "roles",
         node.roles->SetDesired(node.Clock(now_), std::move(roles)));
  }

  void Release(std::size_t index) {
    Node& node = nodes_[index];
    Send(index, "lease", node.lease->Release(node.Clock(now_)));
  }

  void Step() {
    now_ = now_ + kStep;
    for (FakeStoreLink::Delivery& delivery : link_.Deliver(now_)) {
      nodes_[IndexOf(delivery.caller)].inbox.push_back(std::move(delivery));
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

  // Returns the holds of all nodes that would act in the role if they checked
  // their clocks now, including paused nodes.
  std::vector<HeldRole> FindHolds(const RoleName& role) const {
    std::vector<HeldRole> holds;
    for (const Node& node : nodes_) {
      if (const auto held = node.roles->Held(role, node.Clock(now_))) {
        holds.push_back(*held);
      }
    }
    return holds;
  }

  // True if every hold that a node relies on matches the service. Then there
  // are never two holds of a role, and endpoints see only increasing fencing
  // tokens.
  bool HoldsMatchStore(const std::set<RoleName>& roles) {
    link_.store().ExpireLeases(now_);
    const auto& entries = link_.store().entries();
    for (const RoleName& role : roles) {
      for (const HeldRole& held : FindHolds(role)) {
        const auto it = entries.find("role/" + role.value());
        if (it == entries.end() ||
            it->second.revision.value() != held.fence.value()) {
          return false;
        }
      }
    }
    return true;
  }

  Time now() const { return now_; }
  std::vector<Node>& nodes() { return nodes_; }
  FakeStoreLink& link() { return link_; }
  Random& random() { return random_; }
  void SetFloor(Revision floor) { floor_ = floor; }

 private:
  static std::size_t IndexOf(const std::string& caller) {
    return std::stoul(caller.substr(0, caller.find('/')));
  }

  void RunNode(std::size_t index) {
    Node& node = nodes_[index];
    const Time clock = node.Clock(now_);
    for (const auto& delivery : std::exchange(node.inbox, {})) {
      // Replies to an earlier process under this id are dropped.
      if (delivery.caller == CallerOf(index, "lease")) {
        Send(index, "lease",
             node.lease->OnStoreReply(clock, delivery.id, delivery.reply));
      } else if (delivery.caller == CallerOf(index, "roles")) {
        Send(index, "roles",
             node.roles->OnStoreReply(clock, delivery.id, delivery.reply));
      }
    }
    Send(index, "lease", node.lease->Tick(clock));
    Send(index, "roles", node.roles->Tick(clock));
  }

  std::string CallerOf(std::size_t index, const std::string& module) const {
    return std::to_string(index) + "/" + module + "/" +
           std::to_string(nodes_[index].process);
  }

  template <typename Action>
  void Send(std::size_t index,
            const std::string& module,
            std::vector<Action> actions) {
    for (Action& action : actions) {
      auto& request = std::get<StoreRequest>(action);
      link_.Send(now_, CallerOf(index, module), request.id,
                 std::move(request.call));
    }
  }

  Random random_;
  FakeStoreLink link_;
  std::vector<Node> nodes_;
  Time now_ = Time::FromMillis(1000000);
  Revision floor_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_LEASE_CLUSTER_H_
