#ifndef STATE_CONFIG_STORE_H_
#define STATE_CONFIG_STORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace gcw {

// A committed change of one key.
struct ConfigVersion {
  ChangeId change;
  Revision revision;

  friend bool operator==(const ConfigVersion&, const ConfigVersion&) = default;
};

// Value of a configuration key as stored in the key-value service.
struct ConfigRecord {
  // Absent in a tombstone, which marks a withdrawn key. A tombstone is written
  // as a value instead of deleting the key, so that it has a revision of its
  // own and a late older value cannot restore the key.
  std::optional<std::string> value;
  ChangeId change;
  // Earlier versions of this key, newest first, at most `kHistoryLimit`. They
  // show whether a change took effect whose reply was lost and that later
  // changes built upon.
  std::vector<ConfigVersion> history;

  static constexpr std::size_t kHistoryLimit = 8;

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

// Serialization of configuration records in the key-value service.
struct ConfigRecordCodec {
  std::function<std::string(const ConfigRecord&)> encode;
  // Returns nothing if the text is not a valid record.
  std::function<std::optional<ConfigRecord>(std::string_view)> decode;
};

// A configuration key with the record that a node holds.
struct ConfigEntry {
  std::string key;
  Revision revision;
  ConfigRecord record;

  friend bool operator==(const ConfigEntry&, const ConfigEntry&) = default;
};

// A key and its revision, for comparing the copies of two nodes.
struct ConfigKeyRevision {
  std::string key;
  Revision revision;
};

enum class ConfigMergeResult {
  // The entry is newer and was stored.
  kApplied,
  // The same version is already held.
  kDuplicate,
  // A newer version is held; the entry was dropped.
  kStale,
  // Another change with the same revision is held: the key-value service was
  // rolled back and wrote a second history. The entry was dropped.
  kConflict,
};

// A node's copy of the operators' configuration. The revision of a key never
// decreases, whatever the source and the order of the versions.
class ConfigStore {
 public:
  static constexpr std::size_t kBucketCount = 64;
  using Buckets = std::array<std::uint64_t, kBucketCount>;

  ConfigMergeResult Merge(const ConfigEntry& entry);

  // Returns null if the key was never written. The record may be a tombstone.
  const ConfigEntry* Find(const std::string& key) const;
  const std::map<std::string, ConfigEntry>& entries() const { return entries_; }
  // Highest revision of all entries.
  Revision newest() const { return newest_; }

  // Hash of all entries, equal for equal copies.
  std::uint64_t Digest() const;
  // One hash per bucket of keys.
  const Buckets& bucket_digests() const { return buckets_; }
  // Returns the keys held in the given buckets.
  std::vector<ConfigKeyRevision> KeysIn(
      const std::vector<std::uint8_t>& buckets) const;
  static std::uint8_t BucketOf(std::string_view key);

 private:
  std::map<std::string, ConfigEntry> entries_;
  Buckets buckets_{};
  Revision newest_;
};

}  // namespace gcw

#endif  // STATE_CONFIG_STORE_H_
