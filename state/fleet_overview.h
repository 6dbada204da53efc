#ifndef STATE_FLEET_OVERVIEW_H_
#define STATE_FLEET_OVERVIEW_H_

#include <map>
#include <vector>

#include "core/core.h"
#include "state/vm_registration.h"

namespace gcw {

// The part of all registrations that a node needs in order to serve, much
// smaller than all of them.
struct FleetOverview {
  // Plain services and the first members of open groups. Only the fields that
  // routing needs are set.
  std::vector<VmRegistration> endpoints;
  // Addresses at which callers reach the nodes.
  std::map<NodeId, Address> nodes;

  friend bool operator==(const FleetOverview&, const FleetOverview&) = default;
};

}  // namespace gcw

#endif  // STATE_FLEET_OVERVIEW_H_
