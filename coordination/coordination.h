#ifndef COORDINATION_COORDINATION_H_
#define COORDINATION_COORDINATION_H_

// Public header of the coordination library: everything that decides. No part
// of it does input or output, reads a clock or starts a thread.

#include "coordination/admission.h"
#include "coordination/headroom.h"
#include "coordination/limit_messages.h"
#include "coordination/limit_settings.h"
#include "coordination/limit_vector.h"
#include "coordination/limits.h"
#include "coordination/request.h"

#endif  // COORDINATION_COORDINATION_H_
