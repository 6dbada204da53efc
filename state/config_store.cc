#include "state/config_store.h"

#include <algorithm>

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

std::uint64_t HashNumber(std::uint64_t hash, std::uint64_t number) {
  constexpr int kBits = 64;
  for (int shift = 0; shift < kBits; shift += 8) {
    hash ^= (number >> shift) & 0xff;
    hash *= kFnvPrime;
  }
  return hash;
}

// Returns a hash that differs for each version of each key.
std::uint64_t HashEntry(const ConfigEntry& entry) {
  const auto revision = static_cast<std::uint64_t>(entry.revision.value());
  const std::uint64_t hash =
      HashNumber(HashBytes(kFnvOffset, entry.key), revision);
  return HashBytes(hash, entry.record.change.value());
}

}  // namespace

ConfigMergeResult ConfigStore::Merge(const ConfigEntry& entry) {
  const auto it = entries_.find(entry.key);
  const bool held = it != entries_.end();
  if (held && entry.revision < it->second.revision) {
    return ConfigMergeResult::kStale;
  }
  if (held && entry.revision == it->second.revision) {
    return entry.record.change == it->second.record.change
               ? ConfigMergeResult::kDuplicate
               : ConfigMergeResult::kConflict;
  }
  // A bucket's digest is the sum of its entries' hashes, so that it can be
  // updated one entry at a time.
  std::uint64_t& bucket = buckets_[BucketOf(entry.key)];
  if (held) {
    bucket -= HashEntry(it->second);
  }
  bucket += HashEntry(entry);
  entries_.insert_or_assign(entry.key, entry);
  newest_ = std::max(newest_, entry.revision);
  return ConfigMergeResult::kApplied;
}

const ConfigEntry* ConfigStore::Find(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

std::uint64_t ConfigStore::Digest() const {
  std::uint64_t hash = kFnvOffset;
  for (const std::uint64_t bucket : buckets_) {
    hash = HashNumber(hash, bucket);
  }
  return hash;
}

std::vector<ConfigKeyRevision> ConfigStore::KeysIn(
    const std::vector<std::uint8_t>& buckets) const {
  std::array<bool, kBucketCount> selected{};
  for (const std::uint8_t bucket : buckets) {
    selected[bucket % kBucketCount] = true;
  }
  std::vector<ConfigKeyRevision> keys;
  for (const auto& [key, entry] : entries_) {
    if (selected[BucketOf(key)]) {
      keys.push_back({key, entry.revision});
    }
  }
  return keys;
}

std::uint8_t ConfigStore::BucketOf(std::string_view key) {
  const std::uint64_t hash = HashBytes(kFnvOffset, key);
  return static_cast<std::uint8_t>((hash ^ (hash >> 32)) % kBucketCount);
}

}  // namespace gcw
