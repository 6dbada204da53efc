#ifndef COORDINATION_CONFIGURATION_CONFIG_MESSAGES_H_
#define COORDINATION_CONFIGURATION_CONFIG_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

// Describes the sender's copy. Unless it is a reply, it asks the receiver to
// compare it with its own.
struct ConfigDigest {
  std::uint64_t digest = 0;
  // The sender holds every change up to this revision; see `ConfigSync::floor`.
  Revision floor;
  bool ready = false;
  bool is_reply = false;
};

// Answers a digest that differs from the answering node's own.
struct ConfigBuckets {
  ConfigDigest digest;
  ConfigStore::Buckets buckets{};
};

// Requests the entries of some buckets that are newer than the sender's
// versions.
struct ConfigPull {
  std::vector<std::uint8_t> buckets;
  std::vector<ConfigKeyRevision> held;
};

// Answers a pull, or sends the entries that the receiver requested in `wanted`.
struct ConfigEntries {
  ConfigDigest digest;
  std::vector<ConfigEntry> entries;
  // Keys whose newer versions the sender requests from the receiver.
  std::vector<std::string> wanted;
  // True if entries were omitted to limit the size of the message.
  bool is_truncated = false;
  // True if this answers a pull. Unless `is_truncated` is set, the sender then
  // holds no other newer entries.
  bool answers_pull = false;
};

// New versions, sent unrequested.
struct ConfigPush {
  // A receiver that held every change up to `from` now holds every change up to
  // `to`. Both are zero if the sender does not guarantee that.
  Revision from;
  Revision to;
  std::vector<ConfigEntry> entries;
};

using ConfigMessage = std::
    variant<ConfigDigest, ConfigBuckets, ConfigPull, ConfigEntries, ConfigPush>;

// Returns the approximate size on the wire in bytes.
std::size_t EstimatedSize(const ConfigEntry& entry);
std::size_t EstimatedSize(const ConfigMessage& message);

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONFIG_MESSAGES_H_
