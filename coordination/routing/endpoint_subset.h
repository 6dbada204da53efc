#ifndef COORDINATION_ROUTING_ENDPOINT_SUBSET_H_
#define COORDINATION_ROUTING_ENDPOINT_SUBSET_H_

#include <vector>

#include "state/state.h"

namespace gcw {

struct EndpointSubsetSettings {
  // A node connects to all endpoints if there are at most this many.
  std::size_t max_endpoints = 128;
  // With more endpoints, a node connects to at most this many of its own zone
  std::size_t max_own_zone_endpoints = 64;
  // and to at most this many of each other zone, which serve if its own zone is
  // full or lost.
  std::size_t max_other_zone_endpoints = 8;
};

// A node and its zone.
struct NodeLocation {
  NodeId id;
  ZoneId zone;
};

// Chooses the endpoints of one model or service that this node connects to.
// Without a bound, 420 nodes that each poll 620 endpoints make 260,000 calls a
// second.
//
// The endpoints of each zone and the nodes of this node's zone are ordered by
// hash on rings. A node takes the arc of endpoints that begins at its own
// position. Nearly the same number of nodes therefore takes each endpoint, and
// adding or removing a node or endpoint shifts each arc by only one or two
// positions. If nodes have different views, only the balance suffers, not
// safety.
std::vector<EndpointId> ChooseEndpointSubset(
    const EndpointSubsetSettings& settings,
    const NodeLocation& self,
    const std::vector<NodeLocation>& nodes,
    const std::vector<Endpoint>& endpoints);

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ENDPOINT_SUBSET_H_
