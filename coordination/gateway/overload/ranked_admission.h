#ifndef COORDINATION_GATEWAY_OVERLOAD_RANKED_ADMISSION_H_
#define COORDINATION_GATEWAY_OVERLOAD_RANKED_ADMISSION_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "coordination/gateway/deferral_policy.h"
#include "coordination/gateway/overload/deferral_reason.h"
#include "coordination/gateway/urgency.h"
#include "core/core.h"

namespace gcw {

struct RankedAdmissionSettings {
  // As long as a request of a more urgent rank waits deferred, and for this
  // long after it was deferred, less urgent ones are deferred too.
  Duration precedence_time = Duration::Seconds(1);
};

// Decides which requests are deferred while a model has more of them than its
// groups can start in time, for services whose requests differ in rank.
//
// Load pattern: a burst of the least urgent kind alongside the most urgent one
// on the same model. `DeferralPolicy` counts the waiting requests of all ranks
// together, so those of the burst would defer the most urgent ones. Here a
// request competes only with those of its rank and of more urgent ranks, which
// the engines start before it anyway. Like `DeferralPolicy` it counts only this
// node's own requests.
class RankedAdmission {
 public:
  // The window is that of `DeferralPolicy`.
  RankedAdmission(DeferralPolicySettings window,
                  RankedAdmissionSettings settings)
      : window_(window), settings_(settings) {}

  // Returns why a request that has not waited yet is deferred: `kWindow` or
  // `kMoreUrgent`; absent if it is not.
  std::optional<DeferralReason> Classify(Time now,
                                         const ServiceId& service,
                                         const ModelId& model,
                                         Rank rank,
                                         Duration objective) const;
  // A request was deferred because the window was full.
  void OnWindowFull(Time now,
                    const ServiceId& service,
                    const ModelId& model,
                    Rank rank);
  // A request now waits to start. `kDeferred` ones are only those that the
  // window deferred.
  void OnWaitStarted(const ServiceId& service,
                     const ModelId& model,
                     Rank rank,
                     Urgency urgency);
  // It no longer waits, because it started or ended.
  void OnWaitEnded(const ServiceId& service,
                   const ModelId& model,
                   Rank rank,
                   Urgency urgency);
  // A request started, whether it was prioritized or deferred.
  void OnStarted(Time now, const ServiceId& service, const ModelId& model);

  // Maximum number of prioritized requests of one rank and above that may wait
  // at a time.
  double Window(Time now,
                const ServiceId& service,
                const ModelId& model,
                Duration objective) const;
  // Number of models for which state is kept.
  std::size_t model_count() const { return models_.size(); }

 private:
  struct RankState {
    int waiting = 0;
    int waiting_deferred = 0;
    std::optional<Time> last_full;
  };
  struct ModelState {
    std::map<Rank, RankState> ranks;
    // Start times within the rate interval before the last one.
    std::deque<Time> start_times;
  };

  ModelState& StateFor(const ServiceId& service, const ModelId& model) {
    return models_[{service, model}];
  }
  double WindowOf(Time now, const ModelState& state, Duration objective) const;

  DeferralPolicySettings window_;
  RankedAdmissionSettings settings_;
  std::map<std::pair<ServiceId, ModelId>, ModelState> models_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_OVERLOAD_RANKED_ADMISSION_H_
