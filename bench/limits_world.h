#ifndef BENCH_LIMITS_WORLD_H_
#define BENCH_LIMITS_WORLD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bench/event_queue.h"
#include "coordination/coordination.h"

namespace gcw::bench {

// Width of the time buckets in which arrivals and admissions are counted.
inline constexpr Micros kLimitsBucketWidth = 100000;

// How a contract's limits are enforced over all nodes.
enum class LimitPolicy {
  // One node counts, and every request asks that node.
  kCentral,
  // Each node enforces limit / nodes.
  kStatic,
  // `Limits` grants shares by demand.
  kShares,
};

enum class LimitFault {
  kNone,
  // A node with callers dies; its callers move to other nodes after a second.
  kNodeLost,
  // The limit owner or counting node dies; another node takes over once its
  // lease has expired.
  kOwnerLost,
  // The owner dies while the store is down, so no node takes over.
  kOwnerAndStoreLost,
  // The network splits the nodes into two halves.
  kPartition,
  // The limit is halved; the nodes learn of the change one after the other.
  kContractChanged,
};

struct LimitsWorldSettings {
  LimitPolicy policy = LimitPolicy::kShares;
  LimitFault fault = LimitFault::kNone;
  std::size_t nodes = 8;
  std::size_t zones = 3;
  // Number of nodes that receive calls of the measured contracts.
  std::size_t caller_nodes = 8;
  double limit = 400;
  double offered = 600;
  std::int64_t concurrency_limit = 64;
  // Number of other contracts, each with a few requests per second at some
  // nodes.
  std::size_t other_contracts = 20;
  double other_rate = 5;
  bool relays = true;
  Micros warm_up = MicrosFromMillis(10000);
  Micros fault_at = MicrosFromMillis(20000);
  // Time at which a partition heals.
  Micros fault_end = MicrosFromMillis(40000);
  Micros end = MicrosFromMillis(60000);
};

struct LimitsFigures {
  // Worst and mean excess over the limit in windows of five seconds, as a
  // fraction of the limit.
  double max_excess = 0;
  double mean_excess = 0;
  // Highest excess of concurrent requests over the concurrency contract's
  // limit, as a fraction of the limit.
  double max_concurrency_excess = 0;
  // Fraction of the admissible requests that were not admitted.
  double under_use = 0;
  // Fraction of requests that had to wait or were refused because the node held
  // no share of the limit.
  double pending = 0;
  // Messages and bytes sent and received per node and second.
  double messages = 0;
  double bytes = 0;
  double max_node_bytes = 0;
  // Fraction of one core used by the busiest node, measured in wall time.
  double max_node_cpu = 0;
};

// Simulates nodes, callers and a network in virtual time and measures two
// contracts.
class LimitsWorld {
 public:
  LimitsWorld(const LimitsWorldSettings& settings, std::uint64_t seed);
  LimitsFigures Run();

 private:
  struct Node {
    NodeId id;
    std::unique_ptr<Limits> limits;
    bool is_up = true;
    std::int64_t running = 0;
    std::int64_t messages = 0;
    double bytes = 0;
    double cpu_seconds = 0;
    TokenBucket static_bucket;
    std::int64_t known_limit_version = 0;
  };

  void MakeNodes();
  void UpdateContracts(std::size_t node, double limit);
  LimitShard ShardOfMeasured() const;
  void AssignShardOwners(std::size_t shard_owner_offset);
  void TickNodes();
  void Send(std::size_t from, std::vector<LimitsAction> actions);
  void CountMessage(Node& node, double bytes);
  bool IsConnected(std::size_t a, std::size_t b) const;

  void ScheduleArrival(double rate, std::size_t kind);
  void Arrive(std::size_t kind);
  void ArriveMeasured(std::size_t node);
  void RequestFromCentral(std::size_t node);
  void AcquireFromShare(std::size_t node, int attempts);
  void ArriveConcurrent(std::size_t node);
  void ArriveOther(std::size_t node);
  void CountAdmission();
  std::size_t PickCallerNode();

  void StartFault();
  void ReplaceDeadOwners();
  double LimitAt(Micros when) const;
  LimitsFigures Figures() const;

  LimitsWorldSettings settings_;
  Random random_;
  EventQueue events_;
  LimitSettings limit_settings_;
  std::vector<Node> nodes_;
  std::vector<std::size_t> callers_;
  // Index of each shard's owner node.
  std::vector<std::size_t> owners_;
  FencingToken fence_{1};
  TokenBucket central_bucket_;
  std::size_t central_node_ = 0;
  bool is_partitioned_ = false;
  // Requests admitted and offered in each bucket of `kLimitsBucketWidth`.
  std::vector<std::int64_t> admitted_;
  std::vector<std::int64_t> offered_;
  std::int64_t running_ = 0;
  std::int64_t max_running_ = 0;
  std::int64_t share_requests_ = 0;
  std::int64_t pending_requests_ = 0;
};

}  // namespace gcw::bench

#endif  // BENCH_LIMITS_WORLD_H_
