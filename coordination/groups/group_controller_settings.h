#ifndef COORDINATION_GROUPS_GROUP_CONTROLLER_SETTINGS_H_
#define COORDINATION_GROUPS_GROUP_CONTROLLER_SETTINGS_H_

#include "coordination/groups/domain_writer.h"
#include "coordination/groups/flap_tracker.h"
#include "coordination/groups/order_sender.h"
#include "coordination/groups/repair_planner.h"
#include "coordination/groups/vm_tracker.h"
#include "state/state.h"

namespace gcw {

// Settings of `GroupController`.
struct GroupControllerSettings {
  TrackerSettings tracker;
  WriterSettings writer;
  OrderSettings order;
  FlapSettings flap;
  PlannerSettings planner;
  // Time between two repair plans.
  Duration plan_interval = Duration::Millis(1000);
  // Minimum time that a group drains before its engines are ordered to leave.
  // By then every node has learned of the drain or closed the group for lack of
  // evidence.
  Duration drain_hold = Duration::Seconds(10);
  // A draining group is dissolved after this time even if its engine still
  // reports requests.
  Duration drain_limit = Duration::Seconds(600);
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_GROUP_CONTROLLER_SETTINGS_H_
