#ifndef COORDINATION_ROLES_ROLE_ASSIGNMENT_H_
#define COORDINATION_ROLES_ROLE_ASSIGNMENT_H_

#include <map>
#include <set>
#include <vector>

#include "core/core.h"

namespace gcw {

// Name of a control role, the part of its key after `role/`.
using RoleName = StrongId<struct RoleNameTag>;

// Which node should take each role: its most preferred node (by rendezvous
// hashing) that has fewer than ceil(roles / nodes). The result steers only;
// who holds a role is what the key-value service says.
std::map<RoleName, NodeId> AssignRoles(const std::set<RoleName>& roles,
                                       const std::vector<NodeId>& nodes);

// The roles that fall to `self`.
std::set<RoleName> RolesOf(const NodeId& self,
                           const std::set<RoleName>& roles,
                           const std::vector<NodeId>& nodes);

}  // namespace gcw

#endif  // COORDINATION_ROLES_ROLE_ASSIGNMENT_H_
