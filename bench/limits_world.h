#ifndef BENCH_LIMITS_WORLD_H_
#define BENCH_LIMITS_WORLD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bench/event_queue.h"
#include "coordination/coordination.h"

namespace gcw::bench {

// Arrivals and admissions are counted by this much time.
inline constexpr Micros kLimitsBucket = 100000;

// How a contract's limits are kept over all nodes.
enum class LimitPolicy {
  // One node counts; each request asks it.
  kCentral,
  // Each node has limit / nodes.
  kStatic,
  // `Limits`: shares granted by demand.
  kShares,
};

enum class LimitFault {
  kNone,
  // A node with callers dies; its callers go to others after a second.
  kNodeLost,
  // The limit owner or counting node dies; another takes over when its lease
  // has lapsed.
  kOwnerLost,
  // The same, and the store is down: nobody takes over.
  kOwnerLostForLong,
  // The nodes fall into two halves.
  kPartition,
  // The limit is halved; nodes learn of it one after the other.
  kContractChanged,
};

struct LimitsWorldSettings {
  LimitPolicy policy = LimitPolicy::kShares;
  LimitFault fault = LimitFault::kNone;
  std::size_t nodes = 8;
  std::size_t zones = 3;
  // Nodes that callers of the measured contracts come to.
  std::size_t caller_nodes = 8;
  double limit = 400;
  double offered = 600;
  std::int64_t concurrency_limit = 64;
  // Other contracts, each with a few requests a second at some nodes.
  std::size_t other_contracts = 20;
  double other_rate = 5;
  bool relays = true;
  Micros warm_up = MicrosOf(10000);
  Micros fault_at = MicrosOf(20000);
  // Of a partition.
  Micros fault_end = MicrosOf(40000);
  Micros end = MicrosOf(60000);
};

struct LimitsFigures {
  // Of the limit, in windows of five seconds: the worst and the mean excess.
  double over_worst = 0;
  double over_mean = 0;
  // The most requests of the concurrency contract at once over its limit.
  double concurrency_over_worst = 0;
  // Part of what could have been admitted that was not.
  double under_use = 0;
  // Share of requests that had to wait or be refused for want of any share.
  double pending = 0;
  // Per node and second, sent and received.
  double messages = 0;
  double bytes = 0;
  double bytes_worst_node = 0;
  // Of one core, the busiest node; wall time.
  double cpu_worst_node = 0;
};

// Nodes, callers and a network in virtual time; two contracts are measured.
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
    TokenBucket fixed_part;
    std::int64_t known_limit_version = 0;
  };

  void MakeNodes();
  void SetContracts(std::size_t node, double limit);
  LimitShard ShardOfMeasured() const;
  void GiveRoles(std::size_t shard_owner_offset);
  void TickNodes();
  void Send(std::size_t from, std::vector<LimitsAction> actions);
  void Count(Node& node, double bytes);
  bool IsConnected(std::size_t a, std::size_t b) const;

  void ScheduleCaller(double rate, std::size_t kind);
  void Arrive(std::size_t kind);
  void ArriveMeasured(std::size_t node);
  void AskCentral(std::size_t node);
  void TryShares(std::size_t node, int attempts);
  void ArriveConcurrent(std::size_t node);
  void ArriveOther(std::size_t node);
  void Admitted();
  std::size_t CallerNode();

  void StartFault();
  void TakeOver();
  double LimitAt(Micros when) const;
  LimitsFigures Figures() const;

  LimitsWorldSettings settings_;
  Random random_;
  EventQueue events_;
  LimitSettings limit_settings_;
  std::vector<Node> nodes_;
  std::vector<std::size_t> callers_;
  // Owner of each shard.
  std::vector<std::size_t> owners_;
  FencingToken fence_{1};
  TokenBucket central_;
  std::size_t counter_ = 0;
  bool is_partitioned_ = false;
  // Per bucket of a tenth of a second.
  std::vector<std::int64_t> admitted_;
  std::vector<std::int64_t> offered_;
  std::int64_t running_ = 0;
  std::int64_t running_most_ = 0;
  std::int64_t asked_ = 0;
  std::int64_t waited_ = 0;
};

}  // namespace gcw::bench

#endif  // BENCH_LIMITS_WORLD_H_
