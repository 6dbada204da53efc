#ifndef BENCH_ROUTING_WORLD_H_
#define BENCH_ROUTING_WORLD_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/endpoint_model.h"
#include "bench/routing_policy.h"
#include "bench/session_workload.h"

namespace gcw::bench {

enum class RoutingFault { kNone, kStragglers, kEventGaps, kZoneLost };

// A deployment and the load on it.
struct RoutingScenario {
  std::string name;
  // One-way network delay between zones.
  double inter_zone_millis = 1.5;
  double client_millis = 1;
  // Load as a fraction of the engines' nominal capacity.
  double load = 0.7;
  RoutingFault fault = RoutingFault::kNone;
};

struct RoutingFigures {
  double ttft_p50 = 0;
  double ttft_p95 = 0;
  double ttft_p99 = 0;
  // Fraction of all prompt tokens that were found in caches.
  double hit_share = 0;
  // 99th percentile over time of the ratio of the most loaded endpoint's load
  // to the mean load.
  double peak_over_mean = 0;
  // Fraction of requests that no endpoint answered.
  double failed_share = 0;
  double requests_per_second = 0;
  double mean_prompt_tokens = 0;
  // Ratio of requests at engines to the slots in their batches.
  double mean_occupancy = 0;
  double answered_tokens_per_second = 0;
};

inline constexpr std::size_t kReplicas = 65;
// Measurement starts after this time.
inline constexpr Micros kWarmUp = 16 * kSecond;

// Simulates 65 engines in three data centres behind 8 nodes that all use the
// same policy, in virtual time. The same seed gives each policy the same
// sessions.
class RoutingWorld {
 public:
  RoutingWorld(const RoutingScenario& scenario,
               const PolicyFactory& policy,
               std::uint64_t seed);
  RoutingFigures Run();

 private:
  struct Node {
    std::size_t zone = 0;
    std::unique_ptr<RoutingPolicy> policy;
    bool is_down = false;
    // Sequence number of the last cache event seen from each endpoint.
    std::vector<std::int64_t> last_event;
  };
  struct Replica {
    std::size_t zone = 0;
    Endpoint endpoint;
    std::unique_ptr<EndpointModel> engine;
    std::deque<CacheEvent> events;
    std::int64_t next_event = 1;
  };
  struct Call {
    Session session;
    std::size_t node = 0;
    RequestProfile profile;
    std::int64_t answer_tokens = 0;
    Micros arrived = 0;
    bool is_measured = false;
    bool has_first_byte = false;
    std::vector<EndpointId> excluded;
  };
  using CallPointer = std::shared_ptr<Call>;

  void MakeReplicas();
  void MakeNodes(const PolicyFactory& policy);
  void PublishLoads();
  void PollCacheEvents(std::size_t node, std::size_t replica);
  void TickNodes();
  void SampleLoad();
  void StartOngoingSessions();
  void StartSessions();
  void StartTurn(Session session, std::size_t node);
  void Dispatch(const CallPointer& call);
  void Arrive(const CallPointer& call, std::size_t replica, std::uint64_t id);
  void OnFirstToken(const CallPointer& call, std::int64_t cached);
  void OnAnswered(const CallPointer& call);
  void OnAttemptFailed(const CallPointer& call, std::size_t replica);
  void GiveUp(const CallPointer& call);
  void InjectFault();
  void LoseZone();
  void RestoreZone();
  std::size_t PickLiveNode();
  double NetworkMillis(std::size_t node, std::size_t replica) const;
  RoutingFigures Figures();

  RoutingScenario scenario_;
  EventQueue events_;
  SessionWorkload workload_;
  Random random_;
  std::vector<Replica> replicas_;
  std::unordered_map<EndpointId, std::size_t> replica_of_;
  std::vector<Node> nodes_;
  std::uint64_t next_attempt_ = 1;
  double sessions_per_second_ = 0;

  std::unordered_map<std::uint64_t, CallPointer> waiting_;
  std::vector<double> ttft_millis_;
  std::vector<double> peaks_;
  std::vector<double> occupancies_;
  std::int64_t measured_ = 0;
  std::int64_t failed_ = 0;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t cached_tokens_ = 0;
  std::int64_t answered_tokens_ = 0;
};

// Requests per second of this workload that one engine can serve with a full
// batch and with the cache hit rate of plain balancing, which gives the fleet's
// capacity without prefix affinity.
double NominalRequestsPerSecond(const EngineSettings& engine);

}  // namespace gcw::bench

#endif  // BENCH_ROUTING_WORLD_H_
