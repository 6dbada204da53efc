#include "coordination/roles/role_assignment.h"

#include "coordination/rendezvous.h"

namespace gcw {
namespace {

// With this many preferences a role finds a node below its limit in nearly
// every case, without sorting the whole fleet for each role.
constexpr std::size_t kPreferredNodes = 8;

std::optional<NodeId> FirstBelowLimit(
    const std::vector<NodeId>& order,
    const std::map<NodeId, std::size_t>& role_counts,
    std::size_t limit) {
  for (const NodeId& node : order) {
    const auto it = role_counts.find(node);
    if (it == role_counts.end() || it->second < limit) {
      return node;
    }
  }
  return std::nullopt;
}

}  // namespace

std::map<RoleName, NodeId> AssignRoles(const std::set<RoleName>& roles,
                                       const std::vector<NodeId>& nodes) {
  std::map<RoleName, NodeId> assigned;
  if (nodes.empty()) {
    return assigned;
  }
  const std::size_t limit = (roles.size() + nodes.size() - 1) / nodes.size();
  std::map<NodeId, std::size_t> role_counts;
  for (const RoleName& role : roles) {
    std::optional<NodeId> node =
        FirstBelowLimit(RendezvousOrder(role.value(), nodes, kPreferredNodes),
                        role_counts, limit);
    if (!node) {
      node = FirstBelowLimit(RendezvousOrder(role.value(), nodes, nodes.size()),
                             role_counts, limit);
    }
    // A node is always found, because the limits add up to at least the number
    // of roles.
    ++role_counts[*node];
    assigned.emplace(role, *node);
  }
  return assigned;
}

std::set<RoleName> RolesAssignedTo(const NodeId& self,
                                   const std::set<RoleName>& roles,
                                   const std::vector<NodeId>& nodes) {
  std::set<RoleName> own_roles;
  for (const auto& [role, node] : AssignRoles(roles, nodes)) {
    if (node == self) {
      own_roles.insert(role);
    }
  }
  return own_roles;
}

}  // namespace gcw
