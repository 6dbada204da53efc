#ifndef COORDINATION_COORDINATION_H_
#define COORDINATION_COORDINATION_H_

// Public header of the coordination library: everything that decides. No part
// of it does input or output, reads a clock or starts a thread.

#include "coordination/actions.h"
#include "coordination/config_messages.h"
#include "coordination/config_sync.h"
#include "coordination/entry_directory.h"
#include "coordination/group_keeper.h"
#include "coordination/groups_messages.h"
#include "coordination/member.h"
#include "coordination/membership.h"
#include "coordination/membership_messages.h"
#include "coordination/node_lease.h"
#include "coordination/record_changes.h"
#include "coordination/rendezvous.h"
#include "coordination/repair_planner.h"
#include "coordination/request.h"
#include "coordination/role_assignment.h"
#include "coordination/role_leases.h"
#include "coordination/serving_gate.h"
#include "coordination/vm_probe.h"

#endif  // COORDINATION_COORDINATION_H_
