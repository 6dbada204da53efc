#ifndef COORDINATION_GATEWAY_MODEL_DEMAND_H_
#define COORDINATION_GATEWAY_MODEL_DEMAND_H_

#include <map>

#include "state/state.h"

namespace gcw {

struct ModelDemandSettings {
  // Time constant of the mean over the loads that engines report: long enough
  // that a short burst does not move groups between models.
  Duration memory = Duration::Seconds(4);
  // A model whose engines are this full on average, as a multiple of what they
  // run at once, is short of groups: its share grows in proportion. Below it
  // the configured shares hold, since a group that is half empty still gives
  // its model short waits.
  double shortage_fill = 0.7;
  // A share grows to this multiple at most.
  double max_growth = 4;
};

// Corrects the models' configured shares of the work where engines show that
// one is short of groups. The mix of requests changes over the day, and the
// configured shares are those of the start.
class ModelDemand {
 public:
  explicit ModelDemand(ModelDemandSettings settings) : settings_(settings) {}

  // A group of the model has so many requests, running and waiting, as a
  // multiple of what its engine runs at once.
  void OnFill(Time now, const ModelId& model, double fill);

  // The profile with corrected shares. A model whose engines were not heard
  // from keeps its configured one.
  EngineProfile ApplyTo(const EngineProfile& profile) const;

 private:
  struct Estimate {
    double fill = 0;
    Time updated;
  };

  ModelDemandSettings settings_;
  std::map<ModelId, Estimate> estimates_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_MODEL_DEMAND_H_
