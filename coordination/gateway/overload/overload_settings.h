#ifndef COORDINATION_GATEWAY_OVERLOAD_OVERLOAD_SETTINGS_H_
#define COORDINATION_GATEWAY_OVERLOAD_OVERLOAD_SETTINGS_H_

#include "coordination/gateway/overload/customer_shares.h"
#include "coordination/gateway/overload/ranked_admission.h"
#include "coordination/gateway/overload/returning_callers.h"

namespace gcw {

// Which decisions apply to requests of models while these have too many.
struct OverloadSettings {
  // Without it, none of the three applies.
  bool is_enabled = false;
  bool defers_returning_callers = true;
  // Applies only to services whose routes differ in rank.
  bool admits_by_rank = true;
  bool limits_customers = true;
  ReturningCallersSettings returning_callers = {};
  RankedAdmissionSettings ranked_admission = {};
  CustomerSharesSettings customer_shares = {};
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_OVERLOAD_OVERLOAD_SETTINGS_H_
