#ifndef COORDINATION_RENDEZVOUS_H_
#define COORDINATION_RENDEZVOUS_H_

// Rendezvous (highest random weight) hashing: every process with the same set
// of nodes picks the same owner of a key, and when a node leaves, only the keys
// that it owned move.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

// Returns how much `node` is preferred for `key`; the same in every process.
std::uint64_t RendezvousScore(std::string_view key, const NodeId& node);

// Returns the preferred node, or nullopt if there are no nodes.
std::optional<NodeId> RendezvousOwner(std::string_view key,
                                      const std::vector<NodeId>& nodes);

// Returns at most `count` nodes in descending order of preference.
std::vector<NodeId> RendezvousOrder(std::string_view key,
                                    const std::vector<NodeId>& nodes,
                                    std::size_t count);

}  // namespace gcw

#endif  // COORDINATION_RENDEZVOUS_H_
