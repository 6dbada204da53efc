#ifndef COORDINATION_GATEWAY_DEFERRAL_POLICY_H_
#define COORDINATION_GATEWAY_DEFERRAL_POLICY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "coordination/gateway/urgency.h"
#include "core/core.h"

namespace gcw {

struct DeferralPolicySettings {
  // Fraction of the objective that sets the window: as many prioritized
  // requests may wait as this node starts within that time at its current rate.
  // Without a queue, streams start after half of the objective. At 1.9 times
  // the usual load, 159 requests start in time in the third and fourth second,
  // against 143 with 0.8 and 59 without this policy (groups of OverloadTest,
  // mean of 20 seeds).
  double window_fraction = 0.5;
  // Minimum window, because some requests have to show whether there is room.
  double min_window = 1;
  // Interval over which started requests are counted.
  Duration rate_interval = Duration::Seconds(1);
};

// Decides which requests are deferred while a model has more of them than its
// groups can start in time.
//
// If all requests were served in order of arrival, they would wait in one long
// queue and all be late: with 1.5 times the work that can be done, nobody is
// served in time. Instead, a node prioritizes (kOnTime) only as many waiting
// requests as start within the objective and defers those that arrive beyond
// them. It counts the waiting requests while the queue exists, instead of
// learning from requests that started late. It counts only its own requests and
// so needs no messages. Requests are taken in order of arrival, so no customer,
// kind or size is left out.
class DeferralPolicy {
 public:
  explicit DeferralPolicy(DeferralPolicySettings settings)
      : settings_(settings) {}

  // Returns the urgency of a request that has not waited yet.
  Urgency Classify(Time now,
                   const ServiceId& service,
                   const ModelId& model,
                   Duration objective) const;
  // A prioritized request now waits to start.
  void OnWaitStarted(const ServiceId& service, const ModelId& model);
  // A prioritized request no longer waits, because it started or ended.
  void OnWaitEnded(const ServiceId& service, const ModelId& model);
  // A request started, whether it was prioritized or deferred.
  void OnStarted(Time now, const ServiceId& service, const ModelId& model);

  // Maximum number of prioritized requests that may wait at a time.
  double Window(Time now,
                const ServiceId& service,
                const ModelId& model,
                Duration objective) const;
  // Number of models for which state is kept.
  std::size_t model_count() const { return models_.size(); }

 private:
  struct ModelState {
    int waiting = 0;
    // Start times within the rate interval, as of the last start.
    std::deque<Time> start_times;
  };

  ModelState& StateFor(const ServiceId& service, const ModelId& model) {
    return models_[{service, model}];
  }

  DeferralPolicySettings settings_;
  std::map<std::pair<ServiceId, ModelId>, ModelState> models_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_DEFERRAL_POLICY_H_
