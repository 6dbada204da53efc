#ifndef COORDINATION_REQUESTS_REFUSALS_H_
#define COORDINATION_REQUESTS_REFUSALS_H_

#include "coordination/limits/share_decision.h"
#include "coordination/requests/request.h"

namespace gcw {

// Returns the reason for refusing a request that its contract's share does not
// cover.
RefusalKind ShareRefusalKind(ShareOutcome outcome);

// False if the request would be refused again at any time.
bool CanSucceedLater(RefusalKind kind);

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_REFUSALS_H_
