#ifndef COORDINATION_COORDINATION_H_
#define COORDINATION_COORDINATION_H_

// Public header of the coordination library: everything that decides. No part
// of it does input or output, reads a clock or starts a thread.

#include "coordination/endpoint_load.h"
#include "coordination/endpoint_pool.h"
#include "coordination/endpoint_state.h"
#include "coordination/endpoint_subset.h"
#include "coordination/failure_backoff.h"
#include "coordination/request.h"
#include "coordination/retry_after.h"
#include "coordination/retry_budget.h"
#include "coordination/route.h"
#include "coordination/router.h"
#include "coordination/router_settings.h"
#include "coordination/straggler_detector.h"

#endif  // COORDINATION_COORDINATION_H_
