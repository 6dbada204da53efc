#ifndef COORDINATION_CONFIGURATION_RECORD_CHANGES_H_
#define COORDINATION_CONFIGURATION_RECORD_CHANGES_H_

#include "coordination/groups/repair_planner.h"
#include "state/state.h"

namespace gcw {

// Returns the group with this id, or null.
const GroupRecord* FindGroup(const DomainRecord& record, const GroupId& group);
GroupRecord* FindGroup(DomainRecord& record, const GroupId& group);

// Returns the group that the VM is a member of, or null.
const GroupRecord* FindGroupOf(const DomainRecord& record, const VmId& vm);

// Returns true if the VM is a member of a group or is still leaving one.
bool IsMemberOrLeaving(const DomainRecord& record, const VmId& vm);

// Applies the move to `record`. Returns false and changes nothing if the move
// is no longer valid, for example because its group does not exist, a VM that
// it adds is already recorded, or a VM that it removes is not a member.
// `new_group` is the id of the group that `FormGroup` creates.
bool ApplyMove(DomainRecord& record,
               const RepairMove& move,
               const GroupId& new_group);

// Removes the group from the record and adds its members to the leaving ones.
void RemoveGroup(DomainRecord& record, const GroupId& group);

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_RECORD_CHANGES_H_
