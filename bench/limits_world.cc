#include "bench/limits_world.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "bench/limit_wire_size.h"

namespace gcw::bench {
namespace {

const ContractId kMeasured("measured");
const ContractId kConcurrent("concurrent");
constexpr Micros kTickPeriod = 50000;
constexpr Micros kNetworkDelay = 1500;
constexpr double kMicrosPerSecond = 1e6;
// Remaining time of the dead owner's lease of fifteen seconds.
constexpr Micros kTakeoverDelay = MicrosFromMillis(12000);
constexpr Duration kRoleLease = Duration::Seconds(13);
constexpr Micros kCallerFailoverDelay = MicrosFromMillis(1000);
constexpr double kMeanServiceMillis = 2000;
// Size of a request to the counting node, and also of the node's answer.
constexpr double kCentralMessageBytes = 150;
// Number of retries of a request whose node holds no share.
constexpr int kMaxShareRetries = 30;
constexpr std::size_t kKindMeasured = 0;
constexpr std::size_t kKindConcurrent = 1;
constexpr std::size_t kKindOther = 2;

Contract MakeContract(const ContractId& id,
                      double requests,
                      std::int64_t concurrency) {
  Contract contract;
  contract.id = id;
  contract.tier = Tier::kPaid;
  contract.requests_per_second = requests;
  contract.tokens_per_second = 1e7;
  contract.concurrency = concurrency;
  return contract;
}

ContractId OtherContract(std::size_t i) {
  return ContractId("other-" + std::to_string(i));
}

}  // namespace

LimitsWorld::LimitsWorld(const LimitsWorldSettings& settings,
                         std::uint64_t seed)
    : settings_(settings), random_(SeededRandom(seed)) {
  const auto buckets =
      static_cast<std::size_t>(settings_.end / kLimitsBucketWidth) + 1;
  admitted_.resize(buckets);
  offered_.resize(buckets);
  if (!settings_.relays) {
    limit_settings_.max_direct_nodes = 100000;
  }
  MakeNodes();
  AssignShardOwners(0);
}

void LimitsWorld::MakeNodes() {
  std::vector<LimitPeer> peers;
  for (std::size_t i = 0; i < settings_.nodes; ++i) {
    peers.push_back({NodeId("n" + std::to_string(i)),
                     ZoneId("z" + std::to_string(i % settings_.zones))});
  }
  for (std::size_t i = 0; i < settings_.nodes; ++i) {
    Node node;
    node.id = peers[i].node;
    node.limits = std::make_unique<Limits>(
        Limits::Builder()
            .SetSelf(node.id, peers[i].zone, Incarnation(1))
            .SetSettings(limit_settings_)
            .Build(Time() - Duration::Seconds(3600)));
    node.limits->OnView(Time(), peers);
    nodes_.push_back(std::move(node));
    UpdateContracts(i, settings_.limit);
  }
  // Calls go to the last nodes because the first ones own most shards.
  for (std::size_t i = 0; i < settings_.caller_nodes; ++i) {
    callers_.push_back(settings_.nodes - 1 - i);
  }
  central_bucket_.SetRate(Time(), settings_.limit, settings_.limit);
}

void LimitsWorld::UpdateContracts(std::size_t i, double limit) {
  Node& node = nodes_[i];
  const Time now = events_.time();
  const double part = limit / static_cast<double>(settings_.nodes);
  node.static_bucket.SetRate(now, part, std::max(1.0, part));
  node.limits->OnContract(now, MakeContract(kMeasured, limit, 100000));
  node.limits->OnContract(
      now, MakeContract(kConcurrent, 1e5, settings_.concurrency_limit));
  for (std::size_t other = 0; other < settings_.other_contracts; ++other) {
    node.limits->OnContract(now, MakeContract(OtherContract(other), 100, 1000));
  }
}

// Assigns one owner to each shard, beginning with node `offset`.
void LimitsWorld::AssignShardOwners(std::size_t offset) {
  ++fence_;
  owners_.clear();
  for (std::int64_t i = 0; i < limit_settings_.shards; ++i) {
    const std::size_t owner =
        (static_cast<std::size_t>(i) + offset) % settings_.nodes;
    owners_.push_back(owner);
    for (Node& node : nodes_) {
      node.limits->OnOwner(LimitShard(i), nodes_[owner].id, fence_);
    }
  }
}

LimitShard LimitsWorld::ShardOfMeasured() const {
  return ShardOf(kMeasured, limit_settings_.shards);
}

void LimitsWorld::CountMessage(Node& node, double bytes) {
  if (events_.now() >= settings_.warm_up) {
    ++node.messages;
    node.bytes += bytes;
  }
}

bool LimitsWorld::IsConnected(std::size_t a, std::size_t b) const {
  const bool both_up = nodes_[a].is_up && nodes_[b].is_up;
  return both_up && (!is_partitioned_ || a % 2 == b % 2);
}

void LimitsWorld::Send(std::size_t from, std::vector<LimitsAction> actions) {
  for (LimitsAction& action : actions) {
    auto& send = std::get<PeerSend<LimitBatch>>(action);
    const auto to =
        static_cast<std::size_t>(std::stoul(send.to.value().substr(1)));
    const double bytes = WireBytes(send.message);
    CountMessage(nodes_[from], bytes);
    if (!IsConnected(from, to)) {
      continue;
    }
    CountMessage(nodes_[to], bytes);
    events_.ScheduleAfter(kNetworkDelay,
                          [this, from, to, batch = std::move(send.message)] {
                            if (!nodes_[to].is_up) {
                              return;
                            }
                            const auto start = std::chrono::steady_clock::now();
                            auto answers = nodes_[to].limits->OnBatch(
                                events_.time(), nodes_[from].id, batch);
                            const std::chrono::duration<double> spent =
                                std::chrono::steady_clock::now() - start;
                            nodes_[to].cpu_seconds += spent.count();
                            Send(to, std::move(answers));
                          });
  }
}

void LimitsWorld::TickNodes() {
  const Time now = events_.time();
  for (std::size_t shard = 0; shard < owners_.size(); ++shard) {
    Node& owner = nodes_[owners_[shard]];
    if (owner.is_up) {
      owner.limits->OnRoleHeld(LimitShard(static_cast<std::int64_t>(shard)),
                               fence_, now + kRoleLease);
    }
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].is_up) {
      continue;
    }
    const auto start = std::chrono::steady_clock::now();
    auto actions = nodes_[i].limits->Tick(now);
    const std::chrono::duration<double> spent =
        std::chrono::steady_clock::now() - start;
    nodes_[i].cpu_seconds += spent.count();
    Send(i, std::move(actions));
  }
  events_.ScheduleAfter(kTickPeriod, [this] { TickNodes(); });
}

std::size_t LimitsWorld::PickCallerNode() {
  return callers_[DrawBelow(random_, callers_.size())];
}

void LimitsWorld::ScheduleArrival(double rate, std::size_t kind) {
  const double wait = -std::log(1 - DrawUnit(random_)) / rate;
  events_.ScheduleAfter(static_cast<Micros>(wait * kMicrosPerSecond),
                        [this, rate, kind] {
                          Arrive(kind);
                          ScheduleArrival(rate, kind);
                        });
}

void LimitsWorld::Arrive(std::size_t kind) {
  if (kind == kKindOther) {
    ArriveOther(DrawBelow(random_, nodes_.size()));
    return;
  }
  const std::size_t node = PickCallerNode();
  if (!nodes_[node].is_up) {
    return;
  }
  if (kind == kKindMeasured) {
    ArriveMeasured(node);
  } else {
    ArriveConcurrent(node);
  }
}

void LimitsWorld::ArriveOther(std::size_t node) {
  if (settings_.policy != LimitPolicy::kShares || !nodes_[node].is_up) {
    return;
  }
  const ContractId contract =
      OtherContract(DrawBelow(random_, settings_.other_contracts));
  nodes_[node].limits->TryAcquire(events_.time(), contract, TokenCount(200));
  nodes_[node].limits->Release(contract, TokenCount(200), TokenCount(200));
}

void LimitsWorld::ArriveMeasured(std::size_t node) {
  ++offered_[static_cast<std::size_t>(events_.now() / kLimitsBucketWidth)];
  switch (settings_.policy) {
    case LimitPolicy::kCentral:
      RequestFromCentral(node);
      return;
    case LimitPolicy::kStatic:
      if (nodes_[node].static_bucket.CanTake(events_.time(), 1)) {
        nodes_[node].static_bucket.Take(1);
        CountAdmission();
      }
      return;
    case LimitPolicy::kShares:
      ++share_requests_;
      AcquireFromShare(node, 0);
      return;
  }
}

void LimitsWorld::CountAdmission() {
  ++admitted_[static_cast<std::size_t>(events_.now() / kLimitsBucketWidth)];
}

// Sends a request to the counting node. The call is refused if that node does
// not answer.
void LimitsWorld::RequestFromCentral(std::size_t node) {
  CountMessage(nodes_[node], kCentralMessageBytes);
  if (!IsConnected(node, central_node_)) {
    return;
  }
  CountMessage(nodes_[node], kCentralMessageBytes);
  CountMessage(nodes_[central_node_], kCentralMessageBytes);
  CountMessage(nodes_[central_node_], kCentralMessageBytes);
  events_.ScheduleAfter(2 * kNetworkDelay, [this] {
    if (central_bucket_.CanTake(events_.time(), 1)) {
      central_bucket_.Take(1);
      CountAdmission();
    }
  });
}

void LimitsWorld::AcquireFromShare(std::size_t node, int attempts) {
  if (!nodes_[node].is_up) {
    return;
  }
  const auto attempt =
      attempts == 0 ? AcquireAttempt::kFirst : AcquireAttempt::kRetry;
  const ShareDecision decision = nodes_[node].limits->TryAcquire(
      events_.time(), kMeasured, TokenCount(200), attempt);
  if (decision.outcome == ShareOutcome::kGranted) {
    CountAdmission();
    nodes_[node].limits->Release(kMeasured, TokenCount(200), TokenCount(200));
    return;
  }
  if (decision.outcome != ShareOutcome::kPending) {
    return;
  }
  pending_requests_ += attempts == 0 ? 1 : 0;
  if (attempts < kMaxShareRetries) {
    events_.ScheduleAfter(kTickPeriod, [this, node, attempts] {
      AcquireFromShare(node, attempts + 1);
    });
  }
}

void LimitsWorld::ArriveConcurrent(std::size_t node) {
  if (settings_.policy != LimitPolicy::kShares) {
    return;
  }
  const ShareDecision decision = nodes_[node].limits->TryAcquire(
      events_.time(), kConcurrent, TokenCount(200));
  if (decision.outcome != ShareOutcome::kGranted) {
    return;
  }
  ++running_;
  max_running_ = std::max(max_running_, running_);
  const double millis = kMeanServiceMillis * (0.5 + DrawUnit(random_));
  events_.ScheduleAfter(MicrosFromMillis(millis), [this, node] {
    --running_;
    nodes_[node].limits->Release(kConcurrent, TokenCount(200), TokenCount(200));
  });
}

void LimitsWorld::StartFault() {
  const auto shard = static_cast<std::size_t>(ShardOfMeasured().value());
  switch (settings_.fault) {
    case LimitFault::kNone:
      return;
    case LimitFault::kNodeLost: {
      std::size_t lost = callers_.back();
      if (lost == owners_[shard]) {
        std::swap(callers_.front(), callers_.back());
        lost = callers_.back();
      }
      nodes_[lost].is_up = false;
      events_.ScheduleAfter(kTakeoverDelay, [this] { ReplaceDeadOwners(); });
      events_.ScheduleAfter(kCallerFailoverDelay,
                            [this] { callers_.back() = callers_.front(); });
      return;
    }
    case LimitFault::kOwnerLost:
    case LimitFault::kOwnerAndStoreLost: {
      const std::size_t lost = owners_[shard];
      nodes_[lost].is_up = false;
      central_node_ =
          settings_.policy == LimitPolicy::kCentral ? lost : central_node_;
      std::erase(callers_, lost);
      if (settings_.fault == LimitFault::kOwnerLost) {
        events_.ScheduleAfter(kTakeoverDelay, [this] { ReplaceDeadOwners(); });
      }
      return;
    }
    case LimitFault::kPartition:
      is_partitioned_ = true;
      events_.ScheduleAt(settings_.fault_end,
                         [this] { is_partitioned_ = false; });
      return;
    case LimitFault::kContractChanged:
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto delay =
            static_cast<Micros>(DrawBelow(random_, MicrosFromMillis(2000)));
        events_.ScheduleAfter(
            delay, [this, i] { UpdateContracts(i, settings_.limit / 2); });
      }
      central_bucket_.SetRate(events_.time(), settings_.limit / 2,
                              settings_.limit / 2);
      return;
  }
}

// Moves each shard of a dead owner to the next live node.
void LimitsWorld::ReplaceDeadOwners() {
  for (std::size_t shard = 0; shard < owners_.size(); ++shard) {
    Node& old = nodes_[owners_[shard]];
    if (old.is_up) {
      continue;
    }
    std::size_t next = owners_[shard];
    while (!nodes_[next].is_up) {
      next = (next + 1) % nodes_.size();
    }
    owners_[shard] = next;
    ++fence_;
    central_node_ = next;
    for (Node& node : nodes_) {
      node.limits->OnOwner(LimitShard(static_cast<std::int64_t>(shard)),
                           nodes_[next].id, fence_);
    }
  }
}

LimitsFigures LimitsWorld::Run() {
  central_node_ = owners_[static_cast<std::size_t>(ShardOfMeasured().value())];
  ScheduleArrival(settings_.offered, kKindMeasured);
  ScheduleArrival(static_cast<double>(settings_.concurrency_limit),
                  kKindConcurrent);
  ScheduleArrival(
      settings_.other_rate * static_cast<double>(settings_.other_contracts),
      kKindOther);
  if (settings_.policy == LimitPolicy::kShares) {
    events_.ScheduleAt(0, [this] { TickNodes(); });
  }
  events_.ScheduleAt(settings_.fault_at, [this] { StartFault(); });
  events_.RunUntil(settings_.end);
  return Figures();
}

}  // namespace gcw::bench
