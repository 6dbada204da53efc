#ifndef COORDINATION_CONFIGURATION_RECORD_CHANGES_H_
#define COORDINATION_CONFIGURATION_RECORD_CHANGES_H_

#include "coordination/groups/repair_planner.h"
#include "state/state.h"

namespace gcw {

// The group with that id, or null.
const GroupRecord* FindGroup(const DomainRecord& record, const GroupId& group);
GroupRecord* FindGroup(DomainRecord& record, const GroupId& group);

// The group that the VM is a member of, or null.
const GroupRecord* FindGroupOf(const DomainRecord& record, const VmId& vm);

// Whether the VM is a member of a group or still leaving one.
bool IsRecorded(const DomainRecord& record, const VmId& vm);

// Changes `record` as the move says. Returns false, and changes nothing, where
// the move no longer fits: its group is gone, a VM it adds is taken, or a VM it
// removes is no member. `new_group` names the group that `FormGroup` makes.
bool ApplyMove(DomainRecord& record,
               const RepairMove& move,
               const GroupId& new_group);

// Takes the group out of the record; its members become leaving ones.
void Dissolve(DomainRecord& record, const GroupId& group);

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_RECORD_CHANGES_H_
