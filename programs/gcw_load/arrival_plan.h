#ifndef PROGRAMS_GCW_LOAD_ARRIVAL_PLAN_H_
#define PROGRAMS_GCW_LOAD_ARRIVAL_PLAN_H_

#include <chrono>
#include <optional>

#include "core/core.h"
#include "programs/gcw_load/request_kind.h"

namespace gcw {

struct Arrival {
  // Time since the start of the run.
  std::chrono::microseconds at = {};
  RequestKind kind = RequestKind::kPaidStream;
};

// Open-loop arrivals: independent Poisson processes, one for each tier and one
// for reservations, drawn as one process with the sum of the rates. The plan
// depends on the settings and the seed only, not on response times.
class ArrivalPlan {
 public:
  struct Settings {
    // Rates in requests per second.
    double paid_rate = 0;
    double trial_rate = 0;
    double reservation_rate = 0;
    // Share of model requests that are not streamed.
    double whole_share = 0;
    std::chrono::microseconds length = {};
  };

  ArrivalPlan(Settings settings, Random random);

  // Returns the next arrival, absent after the end of the plan.
  std::optional<Arrival> Next();

 private:
  RequestKind DrawKind();

  Settings settings_;
  Random random_;
  // Time of the last arrival in seconds.
  double last_arrival_ = 0;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ARRIVAL_PLAN_H_
