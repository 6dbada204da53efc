#ifndef COORDINATION_COORDINATION_H_
#define COORDINATION_COORDINATION_H_

// Public header of the coordination library: everything that decides. No part
// of it does input or output, reads a clock or starts a thread.

#include "coordination/actions.h"
#include "coordination/attempt_log.h"
#include "coordination/config_messages.h"
#include "coordination/config_sync.h"
#include "coordination/entry_directory.h"
#include "coordination/fingerprint_guard.h"
#include "coordination/guard_messages.h"
#include "coordination/member.h"
#include "coordination/membership.h"
#include "coordination/membership_messages.h"
#include "coordination/node_lease.h"
#include "coordination/once_client.h"
#include "coordination/once_messages.h"
#include "coordination/once_owner.h"
#include "coordination/once_placement.h"
#include "coordination/rendezvous.h"
#include "coordination/request.h"
#include "coordination/role_assignment.h"
#include "coordination/role_leases.h"

#endif  // COORDINATION_COORDINATION_H_
