#ifndef COORDINATION_RENDEZVOUS_H_
#define COORDINATION_RENDEZVOUS_H_

// Rendezvous (highest random weight) hashing: each node that has the same set
// of nodes picks the same owner of a key, and when a node goes only its own
// keys move.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

// How much `node` is preferred for `key`; the same in every process.
std::uint64_t RendezvousScore(std::string_view key, const NodeId& node);

// The preferred node; absent where there are no nodes.
std::optional<NodeId> RendezvousOwner(std::string_view key,
                                      const std::vector<NodeId>& nodes);

// At most `count` nodes, the most preferred first.
std::vector<NodeId> RendezvousOrder(std::string_view key,
                                    const std::vector<NodeId>& nodes,
                                    std::size_t count);

}  // namespace gcw

#endif  // COORDINATION_RENDEZVOUS_H_
