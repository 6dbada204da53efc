#include "coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// FNV-1a (Fowler, Noll, Vo), 64 bits.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

std::uint64_t HashBytes(std::uint64_t hash, std::string_view bytes) {
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kFnvPrime;
  }
  return hash;
}

// The finalizer of SplitMix64. FNV-1a alone gives names that differ only in
// their last digit similar high bits, so that one node would win most keys.
std::uint64_t Mix(std::uint64_t hash) {
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31);
}

}  // namespace

std::uint64_t RendezvousScore(std::string_view key, const NodeId& node) {
  const std::uint64_t key_hash = Mix(HashBytes(kFnvOffset, key));
  return Mix(HashBytes(key_hash, node.value()));
}

std::optional<NodeId> RendezvousOwner(std::string_view key,
                                      const std::vector<NodeId>& nodes) {
  const std::vector<NodeId> order = RendezvousOrder(key, nodes, 1);
  if (order.empty()) {
    return std::nullopt;
  }
  return order.front();
}

std::vector<NodeId> RendezvousOrder(std::string_view key,
                                    const std::vector<NodeId>& nodes,
                                    std::size_t count) {
  // Ties are broken by node id, so that all processes agree.
  std::vector<std::pair<std::uint64_t, const NodeId*>> scored;
  scored.reserve(nodes.size());
  for (const NodeId& node : nodes) {
    scored.emplace_back(RendezvousScore(key, node), &node);
  }
  const auto preferred = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  };
  count = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(), preferred);
  std::vector<NodeId> order;
  order.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    order.push_back(*scored[i].second);
  }
  return order;
}

}  // namespace gcw
