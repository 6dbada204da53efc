#ifndef COORDINATION_GROUPS_KEEPER_SETTINGS_H_
#define COORDINATION_GROUPS_KEEPER_SETTINGS_H_

#include "coordination/groups/domain_writer.h"
#include "coordination/groups/flap_tracker.h"
#include "coordination/groups/order_sender.h"
#include "coordination/groups/repair_planner.h"
#include "coordination/groups/vm_tracker.h"
#include "state/state.h"

namespace gcw {

// Settings of the group keeper.
struct KeeperSettings {
  TrackerSettings tracker;
  WriterSettings writer;
  OrderSettings order;
  FlapSettings flap;
  PlannerSettings planner;
  // Between two plans.
  Duration plan_interval = Duration::Millis(1000);
  // How long a group drains at least before its engines are told to leave: by
  // then every node has learned of the draining or closed the group for want of
  // evidence.
  Duration drain_hold = Duration::Seconds(10);
  // After this long a draining group is taken apart even if its engine still
  // reports requests.
  Duration drain_limit = Duration::Seconds(600);
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_KEEPER_SETTINGS_H_
