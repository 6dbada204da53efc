#ifndef COORDINATION_NODE_ENTRY_DIRECTORY_H_
#define COORDINATION_NODE_ENTRY_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "coordination/membership/member.h"
#include "state/state.h"

namespace gcw {

struct EntryDirectorySettings {
  // How long callers may keep an answer.
  Duration keep = Duration::Seconds(30);
  // Until a node's leaving has reached every node that answers callers.
  Duration spread_time = Duration::Seconds(10);
  // Most addresses in one answer; each answer draws others.
  std::size_t max_entries = 32;
};

struct EntryAddress {
  Address address;
  ZoneId zone;
  RegionId region;
  std::int64_t weight = 1;
};

// Answer to "which of your addresses should I use".
struct EntryAnswer {
  std::vector<EntryAddress> entries;
  Duration keep;
};

// Tells callers which nodes to connect to. Leaving, suspect and dead nodes are
// left out.
class EntryDirectory {
 public:
  EntryDirectory(EntryDirectorySettings settings, NodeId self, Random random);

  EntryAnswer Answer(const View& view) const;
  // A node that began to leave at `since` may still be used by callers until
  // then, and goes on serving them.
  Time ServeUntil(Time since) const;

 private:
  EntryDirectorySettings settings_;
  NodeId self_;
  Random random_;
};

}  // namespace gcw

#endif  // COORDINATION_NODE_ENTRY_DIRECTORY_H_
