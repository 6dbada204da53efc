#ifndef TESTS_COORDINATION_LIMITS_LIMITS_FLEET_H_
#define TESTS_COORDINATION_LIMITS_LIMITS_FLEET_H_

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/fake_network.h"

namespace gcw {

inline Contract TestContract(const std::string& id,
                             double requests,
                             double tokens,
                             std::int64_t concurrency) {
  Contract contract;
  contract.id = ContractId(id);
  contract.customer = id;
  contract.tier = Tier::kPaid;
  contract.models = {ModelId("notes")};
  contract.requests_per_second = requests;
  contract.tokens_per_second = tokens;
  contract.concurrency = concurrency;
  contract.keys = {KeyDigest(id + "-key")};
  return contract;
}

// Simulated nodes, each with its own clock, that share one contract's limits
// over a network that loses, delays, duplicates and reorders messages.
class LimitsFleet {
 public:
  struct Node {
    NodeId id;
    Duration clock_offset;
    Limits limits;
    Contract contract;
    bool is_paused = false;
    bool is_up = true;
    std::deque<FakeNetwork<LimitBatch>::Delivery> inbox;
  };

  LimitsFleet(std::size_t count,
              const LimitSettings& settings,
              const Contract& contract,
              std::uint64_t seed)
      : random_(SeededRandom(seed)), network_(SeededRandom(seed + 1)) {
    for (std::size_t i = 0; i < count; ++i) {
      const NodeId id("n" + std::to_string(i));
      peers_.push_back({id, ZoneId("z" + std::to_string(i % 2))});
      const Duration offset = Duration::Millis(
          static_cast<std::int64_t>(DrawBelow(random_, 100000)));
      Limits limits = Limits::Builder()
                          .SetSelf(id, peers_.back().zone, Incarnation(1))
                          .SetSettings(settings)
                          .Build(Time() - Duration::Seconds(3600));
      nodes_.push_back({.id = id,
                        .clock_offset = offset,
                        .limits = std::move(limits),
                        .contract = contract,
                        .is_paused = false,
                        .is_up = true,
                        .inbox = {}});
    }
    for (Node& node : nodes_) {
      node.limits.OnContract(LocalTime(node), contract);
      node.limits.OnView(LocalTime(node), peers_);
    }
    shard_ = gcw::ShardOf(contract.id, settings.shards);
  }

  Time now() const { return now_; }
  Time LocalTime(const Node& node) const { return now_ + node.clock_offset; }
  std::vector<Node>& nodes() { return nodes_; }
  Node& node(std::size_t i) { return nodes_[i]; }
  FakeNetwork<LimitBatch>& network() { return network_; }
  const Random& random() const { return random_; }
  std::size_t RandomNode() { return DrawBelow(random_, nodes_.size()); }

  // Gives the role to `owner` under a new fencing token and tells all nodes.
  void AssignRole(std::size_t owner, Duration valid_for) {
    owner_ = owner;
    ++fence_;
    role_until_ = now_ + valid_for;
    Renew(valid_for);
    for (Node& node : nodes_) {
      node.limits.OnOwner(shard_, nodes_[owner].id, fence_);
    }
  }
  void Renew(Duration valid_for) {
    role_until_ = now_ + valid_for;
    Node& node = nodes_[owner_];
    node.limits.OnRoleHeld(shard_, fence_, LocalTime(node) + valid_for);
  }
  Time role_until() const { return role_until_; }
  std::size_t owner() const { return owner_; }
  Time PrepareRelease() {
    Node& node = nodes_[owner_];
    return node.limits.PrepareRelease(LocalTime(node), shard_) -
           node.clock_offset;
  }

  void ChangeContract(std::size_t node, const Contract& contract) {
    nodes_[node].contract = contract;
    nodes_[node].limits.OnContract(LocalTime(nodes_[node]), contract);
  }

  // Replaces the node's process by a new one under the same id.
  void Restart(std::size_t i, const LimitSettings& settings) {
    Node& node = nodes_[i];
    ++incarnation_;
    node.limits = Limits::Builder()
                      .SetSelf(node.id, peers_[i].zone, incarnation_)
                      .SetSettings(settings)
                      .Build(LocalTime(node));
    node.limits.OnContract(LocalTime(node), node.contract);
    node.limits.OnView(LocalTime(node), peers_);
    node.limits.OnOwner(shard_, nodes_[owner_].id, fence_);
    node.inbox.clear();
  }

  void Offer(std::size_t i) {
    Node& node = nodes_[i];
    if (node.is_paused || !node.is_up) {
      return;
    }
    const auto decision = node.limits.TryAcquire(
        LocalTime(node), node.contract.id, TokenCount(10));
    if (decision.outcome == ShareOutcome::kGranted) {
      node.limits.Release(node.contract.id, TokenCount(10), TokenCount(10));
      ++granted_;
    }
  }
  std::int64_t granted() const { return granted_; }

  void Step(Duration step) {
    now_ = now_ + step;
    for (auto& delivery : network_.Deliver(now_)) {
      FindNode(delivery.to).inbox.push_back(std::move(delivery));
    }
    for (Node& node : nodes_) {
      if (!node.is_paused && node.is_up) {
        Handle(node);
      }
    }
  }
  void Run(Duration span, Duration step = Duration::Millis(10)) {
    for (Time end = now_ + span; now_ < end;) {
      Step(step);
    }
  }
  // Like `Run`, with one request per step to every node in `callers`.
  void RunWithCallers(Duration span, const std::vector<std::size_t>& callers) {
    for (Time end = now_ + span; now_ < end;) {
      for (const std::size_t caller : callers) {
        Offer(caller);
      }
      Step(Duration::Millis(10));
    }
  }

  // What a node may use now. A paused node counts, because it may resume at any
  // time.
  LimitVector ShareOf(std::size_t i) const {
    const Node& node = nodes_[i];
    return node.is_up ? node.limits.ShareOf(LocalTime(node), node.contract.id)
                      : LimitVector();
  }
  // Sum of all shares divided by the largest limit that any node has in force.
  // More than 1 is over-admission.
  LimitVector Sum() const {
    LimitVector sum;
    LimitVector limit;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      sum = sum + ShareOf(i);
      limit = Max(limit, LimitVector::FromContract(nodes_[i].contract));
    }
    for (const LimitResource resource : kLimitResources) {
      sum[resource] /= limit[resource];
    }
    return sum;
  }
  double MaxSum() const {
    const LimitVector sum = Sum();
    return std::max({sum[LimitResource::kRequests], sum[LimitResource::kTokens],
                     sum[LimitResource::kConcurrency]});
  }

 private:
  static constexpr Duration kTick = Duration::Millis(50);

  Node& FindNode(const NodeId& id) {
    return *std::find_if(nodes_.begin(), nodes_.end(),
                         [&id](const Node& node) { return node.id == id; });
  }

  void Handle(Node& node) {
    while (!node.inbox.empty()) {
      const auto delivery = std::move(node.inbox.front());
      node.inbox.pop_front();
      Send(node, node.limits.OnBatch(LocalTime(node), delivery.from,
                                     delivery.message));
    }
    if ((now_ - Time()).millis() % kTick.millis() == 0) {
      Send(node, node.limits.Tick(LocalTime(node)));
    }
  }

  void Send(const Node& node, std::vector<LimitsAction> actions) {
    for (LimitsAction& action : actions) {
      auto& send = std::get<PeerSend<LimitBatch>>(action);
      network_.Send(now_, node.id, send.to, std::move(send.message));
    }
  }

  Random random_;
  FakeNetwork<LimitBatch> network_;
  Time now_;
  std::vector<LimitPeer> peers_;
  std::vector<Node> nodes_;
  LimitShard shard_;
  std::size_t owner_ = 0;
  FencingToken fence_;
  Time role_until_;
  Incarnation incarnation_{1};
  std::int64_t granted_ = 0;
};

}  // namespace gcw

#endif  // TESTS_COORDINATION_LIMITS_LIMITS_FLEET_H_
