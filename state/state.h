#ifndef STATE_STATE_H_
#define STATE_STATE_H_

// Public header of the state library: the types that nodes store, exchange and
// agree on.

#include "state/cache_event.h"
#include "state/config_store.h"
#include "state/contract.h"
#include "state/contract_entry.h"
#include "state/crash_record.h"
#include "state/desired_model.h"
#include "state/domain_record.h"
#include "state/endpoint.h"
#include "state/engine_order.h"
#include "state/engine_status.h"
#include "state/fleet_configuration.h"
#include "state/fleet_overview.h"
#include "state/group_order.h"
#include "state/load_report.h"
#include "state/node_record.h"
#include "state/prefix_block.h"
#include "state/prefix_index.h"
#include "state/route_table.h"
#include "state/store_types.h"
#include "state/vm_list.h"
#include "state/vm_registration.h"
#include "state/weight_store_status.h"

#endif  // STATE_STATE_H_
