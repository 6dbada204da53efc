#ifndef BENCH_TIER_WORLD_H_
#define BENCH_TIER_WORLD_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/endpoint_model.h"
#include "bench/event_queue.h"
#include "bench/tier_outcome.h"
#include "coordination/coordination.h"

namespace gcw::bench {

// How trial work is kept from slowing paid work.
enum class TierPolicy {
  // Any endpoint with a free slot in its batch may be used; engines queue paid
  // requests first.
  kPriority,
  // Like `kPriority`, but with at most `trial_cap` trial requests in a batch.
  kCapped,
  // `Admission` gives each tier its own endpoints.
  kPools,
};

struct TierWorldSettings {
  TierPolicy policy = TierPolicy::kPools;
  std::int64_t trial_cap = 4;
  std::size_t nodes = 4;
  std::size_t endpoints = 24;
  std::size_t lost_endpoints = 0;
  double paid_per_second = 80;
  // Factor by which paid arrivals rise for a quarter of each burst period, with
  // an unchanged mean. A factor of 1 gives a steady rate.
  double burst_factor = 1;
  double trial_per_second = 0;
  // Additional requests per second of the first team.
  double flood_per_second = 0;
  Micros warm_up = MicrosFromMillis(10000);
  Micros loss_at = MicrosFromMillis(25000);
  Micros end = MicrosFromMillis(50000);
  Micros report_period = MicrosFromMillis(200);
  Micros report_lag = MicrosFromMillis(200);
  AdmissionSettings admission;
};

// Simulates nodes, model engines and callers in virtual time.
class TierWorld {
 public:
  TierWorld(const TierWorldSettings& settings, std::uint64_t seed);
  void Run();

  const TierOutcome& paid() const { return paid_; }
  const TierOutcome& trial() const { return trial_; }
  const TierOutcome& team(std::size_t i) const { return teams_[i]; }
  double measured_seconds() const;
  static constexpr std::size_t kTeams = 10;

 private:
  struct Node {
    std::unique_ptr<Limits> limits;
    std::unique_ptr<Admission> admission;
    // Times of this node's dispatches to each endpoint since the endpoint's
    // newest report.
    std::map<std::size_t, std::vector<Micros>> sent;
  };
  struct Report {
    LoadReport load;
    std::int64_t paid = 0;
    bool is_known = false;
  };
  struct Call {
    std::uint64_t id = 0;
    std::size_t node = 0;
    std::size_t team = 0;
    Tier tier = Tier::kPaid;
    std::int64_t prompt = 0;
    std::int64_t generate = 0;
    std::int64_t generated = 0;
    std::size_t endpoint = 0;
    bool is_placed = false;
    Micros arrived = 0;
    Micros last_token = 0;
  };

  void MakeNodes(std::uint64_t seed);
  void MakeEndpoints();
  void Publish(std::size_t endpoint);
  void ScheduleArrival(Tier tier, double rate, bool flood);
  void Arrive(Tier tier, bool flood);
  double PaidRateFactor() const;
  void TickNodes();
  void LoseEndpoints();

  void Offer(Call& call);
  void OfferToPolicy(Call& call);
  void Apply(std::vector<AdmissionAction> actions);
  std::vector<std::size_t> CandidatesOf(const Admit& admit) const;
  void Dispatch(std::uint64_t id,
                std::int64_t priority,
                const std::vector<std::size_t>& candidates);
  std::size_t Pick(std::size_t node,
                   const std::vector<std::size_t>& candidates);
  double EstimatedLoad(std::size_t node, std::size_t endpoint) const;
  void OnToken(std::uint64_t id);
  void Finish(std::uint64_t id);
  void Fail(std::uint64_t id);
  void Preempt(std::uint64_t id);
  void RecordRefusal(std::uint64_t id);
  void SendHeadroom(std::size_t node);
  bool IsMeasured(const Call& call) const {
    return call.arrived >= settings_.warm_up;
  }
  TierOutcome& OutcomeOf(const Call& call) {
    return call.tier == Tier::kPaid ? paid_ : trial_;
  }
  template <typename Function>
  void Record(const Call& call, Function function);
  const Random& CallerRandom(Tier tier, bool flood) const;
  static std::int64_t LogNormal(const Random& random,
                                double median,
                                double sigma,
                                std::int64_t max_value);

  TierWorldSettings settings_;
  Random random_;
  // Random sources of the paid, trial and flooding callers.
  std::array<Random, 3> callers_;
  EventQueue events_;
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<EndpointModel>> endpoints_;
  std::vector<std::int64_t> paid_running_;
  std::vector<std::int64_t> trial_running_;
  std::vector<Report> reports_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::uint64_t next_call_ = 1;
  TierOutcome paid_;
  TierOutcome trial_;
  std::vector<TierOutcome> teams_;
};

}  // namespace gcw::bench

#endif  // BENCH_TIER_WORLD_H_
