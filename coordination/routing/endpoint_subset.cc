#include "coordination/routing/endpoint_subset.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

namespace gcw {
namespace {

// FNV-1a (Fowler, Noll, Vo) with the final mix of MurmurHash3. All nodes must
// compute the same order, which `std::hash` does not guarantee.
std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccd;
  hash ^= hash >> 33;
  return hash;
}

template <typename Id>
struct RingPosition {
  std::uint64_t hash = 0;
  Id id;

  friend auto operator<=>(const RingPosition&, const RingPosition&) = default;
};

template <typename Id>
using Ring = std::vector<RingPosition<Id>>;

using EndpointRings = std::map<ZoneId, Ring<EndpointId>>;

EndpointRings RingsByZone(const std::vector<Endpoint>& endpoints) {
  EndpointRings rings;
  for (const Endpoint& endpoint : endpoints) {
    rings[endpoint.zone].push_back(
        {StableHash(endpoint.id.value()), endpoint.id});
  }
  for (auto& [zone, ring] : rings) {
    std::ranges::sort(ring);
  }
  return rings;
}

// Returns the node's position among the nodes of its zone as a fraction of the
// ring.
double RingFraction(const NodeLocation& self,
                    const std::vector<NodeLocation>& nodes) {
  const std::uint64_t own_hash = StableHash(self.id.value());
  std::int64_t preceding = 0;
  std::int64_t peers = 1;
  for (const NodeLocation& node : nodes) {
    if (node.zone != self.zone || node.id == self.id) {
      continue;
    }
    ++peers;
    const auto position = std::make_pair(StableHash(node.id.value()), node.id);
    preceding += position < std::make_pair(own_hash, self.id) ? 1 : 0;
  }
  return static_cast<double>(preceding) / static_cast<double>(peers);
}

void AppendArc(const Ring<EndpointId>& ring,
               double fraction,
               std::size_t length,
               std::vector<EndpointId>& chosen) {
  const auto first =
      static_cast<std::size_t>(fraction * static_cast<double>(ring.size()));
  for (std::size_t i = 0; i < std::min(length, ring.size()); ++i) {
    chosen.push_back(ring[(first + i) % ring.size()].id);
  }
}

}  // namespace

std::vector<EndpointId> ChooseEndpointSubset(
    const EndpointSubsetSettings& settings,
    const NodeLocation& self,
    const std::vector<NodeLocation>& nodes,
    const std::vector<Endpoint>& endpoints) {
  std::vector<EndpointId> chosen;
  if (endpoints.size() <= settings.max_endpoints) {
    for (const Endpoint& endpoint : endpoints) {
      chosen.push_back(endpoint.id);
    }
    return chosen;
  }
  const double fraction = RingFraction(self, nodes);
  for (const auto& [zone, ring] : RingsByZone(endpoints)) {
    const std::size_t length = zone == self.zone
                                   ? settings.max_own_zone_endpoints
                                   : settings.max_other_zone_endpoints;
    AppendArc(ring, fraction, length, chosen);
  }
  return chosen;
}

}  // namespace gcw
