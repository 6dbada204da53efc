#ifndef COORDINATION_GATEWAY_MODEL_DEMAND_H_
#define COORDINATION_GATEWAY_MODEL_DEMAND_H_

#include <map>

#include "state/state.h"

namespace gcw {

struct ModelDemandSettings {
  // Time constant of the exponential moving average of the loads that engines
  // report. It is long enough that a short burst does not move groups between
  // models.
  Duration averaging_time = Duration::Seconds(4);
  // Average utilization, as a multiple of the requests that an engine runs at
  // once, above which a model is short of groups and its share grows in
  // proportion. Below it the configured shares apply, since a half-empty group
  // still keeps its model's waits short.
  double shortage_utilization = 0.7;
  // Maximum factor by which a share grows before all shares are normalized.
  double max_growth = 4;
};

// Corrects the models' configured shares of the work when engines show that a
// model is short of groups. The mix of requests changes over the day, while the
// configured shares describe the start.
class ModelDemand {
 public:
  explicit ModelDemand(ModelDemandSettings settings) : settings_(settings) {}

  // Records a group's running and waiting requests, as a multiple of the
  // requests that its engine runs at once.
  void OnUtilization(Time now, const ModelId& model, double utilization);

  // Returns the profile with corrected shares that add up to 1. A model without
  // reports keeps its configured share before the normalization.
  EngineProfile ApplyTo(const EngineProfile& profile) const;

 private:
  struct Estimate {
    double utilization = 0;
    Time updated;
  };

  ModelDemandSettings settings_;
  std::map<ModelId, Estimate> estimates_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_MODEL_DEMAND_H_
