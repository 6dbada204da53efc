#ifndef COORDINATION_ROUTING_ENDPOINT_SUBSET_H_
#define COORDINATION_ROUTING_ENDPOINT_SUBSET_H_

#include <vector>

#include "state/state.h"

namespace gcw {

struct EndpointSubsetSettings {
  // A node connects to all endpoints up to this number.
  std::size_t max_endpoints = 128;
  // Above it: to this many of its own zone, ...
  std::size_t own_zone = 64;
  // ... and to this many of each other zone, for spill-over and for the loss of
  // its own.
  std::size_t other_zone = 8;
};

// A node as the subset needs to know it.
struct NodePlace {
  NodeId id;
  ZoneId zone;
};

// Which endpoints of one model or service this node connects to. Without a
// bound, 420 nodes that each poll 620 endpoints make 260,000 calls a second.
//
// Endpoints of a zone and the nodes of one zone each stand on a ring in the
// order of their hashes, and each node takes the arc that begins at its place.
// So every endpoint is taken by nearly the same number of nodes, and a node or
// endpoint that comes or goes moves each arc by one or two places only. Nodes
// with different views differ in balance, never in safety.
std::vector<EndpointId> ChooseEndpointSubset(
    const EndpointSubsetSettings& settings,
    const NodePlace& self,
    const std::vector<NodePlace>& nodes,
    const std::vector<Endpoint>& endpoints);

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ENDPOINT_SUBSET_H_
