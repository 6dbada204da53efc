#ifndef COORDINATION_ROLES_ROLE_ASSIGNMENT_H_
#define COORDINATION_ROLES_ROLE_ASSIGNMENT_H_

#include <map>
#include <set>
#include <vector>

#include "core/core.h"

namespace gcw {

// Name of a control role, the part of its key after `role/`.
using RoleName = StrongId<struct RoleNameTag>;

// Returns the node that should take each role: the role's most preferred node
// (by rendezvous hashing) that has fewer than ceil(roles / nodes). The result
// is only a target; the key-value service decides who holds a role.
std::map<RoleName, NodeId> AssignRoles(const std::set<RoleName>& roles,
                                       const std::vector<NodeId>& nodes);

// Returns the roles that are assigned to `self`.
std::set<RoleName> RolesAssignedTo(const NodeId& self,
                                   const std::set<RoleName>& roles,
                                   const std::vector<NodeId>& nodes);

}  // namespace gcw

#endif  // COORDINATION_ROLES_ROLE_ASSIGNMENT_H_
