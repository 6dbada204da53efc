#ifndef COORDINATION_GATEWAY_DEFERRAL_POLICY_H_
#define COORDINATION_GATEWAY_DEFERRAL_POLICY_H_

#include <map>
#include <utility>

#include "coordination/gateway/urgency.h"
#include "core/core.h"

namespace gcw {

struct DeferralPolicySettings {
  // What one request that was to begin in time and began late adds to the part
  // that is deferred. A node of a large fleet has some five requests a second
  // for a model; five late ones in a row defer half.
  double step_up = 0.1;
  // What one that began in time, if late in its time, takes off it.
  double step_down = 0.01;
  // What one that began early takes off it: no queue worth the name is left.
  double step_down_early = 0.04;
  // A beginning within this part of the objective is early. Without a queue
  // streams begin after half of it (oblak-loans, played).
  double early = 0.75;
  // What a deferred request that began in time all the same takes off it: there
  // is room again.
  double step_down_deferred = 0.06;
  // What a deferred request that began late takes off it: the others leave
  // room.
  double step_down_begun = 0.05;
  // What one that never began adds: they leave none.
  double step_up_unbegun = 0.02;
  // Never more than this part is deferred: some have to show whether there is
  // room.
  double most_deferred = 0.9;
};

// Decides which requests give way while a model has more of them than its
// groups can begin in time.
//
// Served in order of arrival, all of them wait in the same long queue, and all
// are late: with 1.5 times the work that can be done, nobody is served in time.
// Here a part of them, drawn at random so that no customer, size or kind is
// left out, is deferred behind the others, which then find a short queue. The
// part follows what this node sees of its own requests, without a message.
class DeferralPolicy {
 public:
  DeferralPolicy(DeferralPolicySettings settings, Random random)
      : settings_(settings), random_(std::move(random)) {}

  // Of a request that has not waited yet.
  Urgency Grade(const ServiceId& service, const ModelId& model);
  // A request began after that part of its objective; infinite where it ended
  // without.
  void OnBegan(const ServiceId& service,
               const ModelId& model,
               Urgency urgency,
               double part_of_objective);

  double deferred_part(const ServiceId& service, const ModelId& model) const;

 private:
  using Key = std::pair<ServiceId, ModelId>;

  double StepOfOnTime(double part_of_objective) const;
  double StepOfDeferred(double part_of_objective) const;

  DeferralPolicySettings settings_;
  Random random_;
  // By service and model; absent where none is deferred.
  std::map<Key, double> parts_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_DEFERRAL_POLICY_H_
