#ifndef COORDINATION_REFUSALS_H_
#define COORDINATION_REFUSALS_H_

#include "coordination/request.h"
#include "coordination/share_decision.h"

namespace gcw {

// The refusal of a request that its contract's share does not cover.
RefusalKind RefusalOfShare(ShareOutcome outcome);

// False where the same request would be refused at any time.
bool ComingBackHelps(RefusalKind kind);

}  // namespace gcw

#endif  // COORDINATION_REFUSALS_H_
