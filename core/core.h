#ifndef CORE_CORE_H_
#define CORE_CORE_H_

// Public header of the core library: ids, units, clock, results and events. The
// library does no input or output.

#include "core/clock.h"
#include "core/event.h"
#include "core/event_causes.h"
#include "core/event_id.h"
#include "core/event_log.h"
#include "core/hybrid_clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/request_rate.h"
#include "core/result.h"
#include "core/strong_id.h"

#endif  // CORE_CORE_H_
