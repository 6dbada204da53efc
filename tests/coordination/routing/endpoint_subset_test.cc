#include "coordination/routing/endpoint_subset.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/coordination/routing/routing_fixtures.h"

namespace gcw {
namespace {

struct Fleet {
  std::vector<NodeLocation> nodes;
  std::vector<Endpoint> endpoints;
};

Fleet LargeFleet(int nodes, int endpoints) {
  Fleet fleet;
  for (int i = 0; i < nodes; ++i) {
    fleet.nodes.push_back({NodeId("node-" + std::to_string(i)),
                           ZoneId("zone-" + std::to_string(i % 5))});
  }
  for (int i = 0; i < endpoints; ++i) {
    fleet.endpoints.push_back(ModelEndpoint("endpoint-" + std::to_string(i),
                                            "zone-" + std::to_string(i % 5)));
  }
  return fleet;
}

std::vector<EndpointId> SubsetOf(const Fleet& fleet, std::size_t node) {
  return ChooseEndpointSubset(EndpointSubsetSettings(), fleet.nodes[node],
                              fleet.nodes, fleet.endpoints);
}

TEST(EndpointSubsetTest, TakesAllEndpointsOfASmallFleet) {
  EXPECT_EQ(SubsetOf(LargeFleet(8, 68), 0).size(), 68U);
}

TEST(EndpointSubsetTest, IsBoundedAndCoversEndpointsEvenly) {
  const Fleet fleet = LargeFleet(420, 620);
  std::map<EndpointId, int> connection_counts;
  for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
    const auto subset = SubsetOf(fleet, node);
    EXPECT_EQ(subset.size(), 64U + 4 * 8);
    EXPECT_EQ(std::set(subset.begin(), subset.end()).size(), subset.size());
    for (const EndpointId& id : subset) {
      ++connection_counts[id];
    }
  }
  ASSERT_EQ(connection_counts.size(), 620U);
  for (const auto& [id, count] : connection_counts) {
    EXPECT_GE(count, 60) << id;
    EXPECT_LE(count, 70) << id;
  }
}

// Guards against subsets that change as a whole when one node or endpoint
// leaves the fleet, which would make every node drop and open many connections.
TEST(EndpointSubsetTest, LosingANodeAndAnEndpointMovesFewConnections) {
  const Fleet before = LargeFleet(420, 620);
  Fleet after = before;
  after.nodes.erase(after.nodes.begin() + 200);
  after.endpoints.erase(after.endpoints.begin() + 300);
  std::size_t moved = 0;
  for (std::size_t node = 0; node < 200; ++node) {
    const auto old_subset = SubsetOf(before, node);
    const std::set<EndpointId> kept(old_subset.begin(), old_subset.end());
    for (const EndpointId& id : SubsetOf(after, node)) {
      moved += kept.contains(id) ? 0 : 1;
    }
  }
  EXPECT_LE(moved, 200U * 3);
}

}  // namespace
}  // namespace gcw
