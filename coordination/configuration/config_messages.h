#ifndef COORDINATION_CONFIGURATION_CONFIG_MESSAGES_H_
#define COORDINATION_CONFIGURATION_CONFIG_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

// What the sender holds. Asks the receiver to compare unless it is a reply.
struct ConfigDigest {
  std::uint64_t digest = 0;
  // Everything up to here is held; see `ConfigSync::floor`.
  Revision floor;
  bool ready = false;
  bool reply = false;
};

// Answers a digest that differs from the receiver's own.
struct ConfigBuckets {
  ConfigDigest digest;
  ConfigStore::Buckets buckets{};
};

// Asks for what is newer in some groups of keys than the sender's versions.
struct ConfigPull {
  std::vector<std::uint8_t> buckets;
  std::vector<ConfigKeyRevision> held;
};

// Answers a pull, or hands on what the receiver asked for by `wanted`.
struct ConfigEntries {
  ConfigDigest digest;
  std::vector<ConfigEntry> entries;
  // Keys of which the receiver of this message holds newer versions.
  std::vector<std::string> wanted;
  // Whether entries were left out to keep the message small.
  bool more = false;
  // Whether this answers a pull, so that the sender holds nothing else newer.
  bool answers_pull = false;
};

// New versions, sent without being asked.
struct ConfigPush {
  // A receiver that held everything up to `from` now holds everything up to
  // `to`. Both zero where the sender does not vouch for that.
  Revision from;
  Revision to;
  std::vector<ConfigEntry> entries;
};

using ConfigMessage = std::
    variant<ConfigDigest, ConfigBuckets, ConfigPull, ConfigEntries, ConfigPush>;

// About how many bytes each takes on the wire.
std::size_t EstimatedSize(const ConfigEntry& entry);
std::size_t EstimatedSize(const ConfigMessage& message);

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONFIG_MESSAGES_H_
