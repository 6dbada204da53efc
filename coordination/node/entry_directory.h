#ifndef COORDINATION_NODE_ENTRY_DIRECTORY_H_
#define COORDINATION_NODE_ENTRY_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "coordination/membership/member.h"
#include "state/state.h"

namespace gcw {

struct EntryDirectorySettings {
  // How long callers may cache an answer.
  Duration ttl = Duration::Seconds(30);
  // How long the news that a node is leaving takes to reach every node that
  // answers callers.
  Duration propagation_delay = Duration::Seconds(10);
  // Maximum number of addresses in an answer. If there are more nodes, each
  // answer holds a new random selection.
  std::size_t max_entries = 32;
};

struct EntryAddress {
  Address address;
  ZoneId zone;
  RegionId region;
  std::int64_t weight = 1;
};

// The nodes that a caller may connect to, and how long it may cache the list.
struct AdvertisedNodes {
  std::vector<EntryAddress> entries;
  Duration ttl;
};

// Selects the nodes whose addresses are given to callers. Leaving, suspect and
// dead nodes are left out.
class EntryDirectory {
 public:
  EntryDirectory(EntryDirectorySettings settings, NodeId self, Random random);

  AdvertisedNodes SelectEntries(const View& view) const;
  // Returns until when a node that began to leave at `leaving_since` must go on
  // serving callers: until then some of them may still have its address cached.
  Time ServeUntil(Time leaving_since) const;

 private:
  EntryDirectorySettings settings_;
  NodeId self_;
  Random random_;
};

}  // namespace gcw

#endif  // COORDINATION_NODE_ENTRY_DIRECTORY_H_
