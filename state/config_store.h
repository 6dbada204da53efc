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

// A change of one key that was committed.
struct ConfigVersion {
  ChangeId change;
  Revision revision;

  friend bool operator==(const ConfigVersion&, const ConfigVersion&) = default;
};

// The value of a configuration key as it is written to the key-value service.
struct ConfigRecord {
  // Absent in a tombstone: the key was withdrawn. A tombstone is a value and
  // not a deletion, so that it has a revision of its own and an older value
  // that turns up late cannot bring the key back.
  std::optional<std::string> value;
  ChangeId change;
  // Earlier versions of this key, the newest first, at most `kHistoryLimit`.
  // They settle a change whose answer was lost and that others built upon.
  std::vector<ConfigVersion> history;

  static constexpr std::size_t kHistoryLimit = 8;

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

// How configuration records stand in the key-value service.
struct ConfigRecordCodec {
  std::function<std::string(const ConfigRecord&)> encode;
  // Absent where the text is no record.
  std::function<std::optional<ConfigRecord>(std::string_view)> decode;
};

// A configuration key as nodes hold it.
struct ConfigEntry {
  std::string key;
  Revision revision;
  ConfigRecord record;

  friend bool operator==(const ConfigEntry&, const ConfigEntry&) = default;
};

// A key with its revision, for comparing copies.
struct ConfigKeyRevision {
  std::string key;
  Revision revision;
};

enum class ConfigMergeResult {
  // The entry is newer and was taken.
  kApplied,
  // The same version was held already.
  kKnown,
  // A newer version is held; the entry was dropped.
  kOlder,
  // Another change with the same revision is held: the key-value service went
  // back in time and wrote a second history. The entry was dropped.
  kContradicts,
};

// A node's copy of the operators' configuration. Each key only moves up in
// revision, from whatever source and in whatever order versions arrive.
class ConfigStore {
 public:
  static constexpr std::size_t kBucketCount = 64;
  using Buckets = std::array<std::uint64_t, kBucketCount>;

  ConfigMergeResult Merge(const ConfigEntry& entry);

  // Null where the key was never written. May be a tombstone.
  const ConfigEntry* Find(const std::string& key) const;
  const std::map<std::string, ConfigEntry>& entries() const { return entries_; }
  // The highest revision of an entry.
  Revision newest() const { return newest_; }

  // Equal for equal copies.
  std::uint64_t Digest() const;
  // One hash for each group of keys.
  const Buckets& bucket_digests() const { return buckets_; }
  // What is held in the given groups of keys.
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
