#include "coordination/configuration/config_messages.h"

#include "core/core.h"

namespace gcw {
namespace {

// Bytes for the message type, lengths and numbers around the variable parts.
constexpr std::size_t kFraming = 16;
constexpr std::size_t kNumber = 8;

std::size_t SizeOf(const ConfigEntry& entry) {
  std::size_t size = kFraming + entry.key.size() + kNumber +
                     entry.record.change.value().size();
  if (entry.record.value) {
    size += entry.record.value->size();
  }
  for (const ConfigVersion& version : entry.record.history) {
    size += kNumber + version.change.value().size();
  }
  return size;
}

std::size_t SizeOf(const std::vector<ConfigEntry>& entries) {
  std::size_t size = 0;
  for (const ConfigEntry& entry : entries) {
    size += SizeOf(entry);
  }
  return size;
}

std::size_t SizeOf(const ConfigDigest&) {
  return 2 * kNumber + 2;
}

std::size_t SizeOf(const ConfigBuckets& buckets) {
  return SizeOf(buckets.digest) + buckets.buckets.size() * kNumber;
}

std::size_t SizeOf(const ConfigPull& pull) {
  std::size_t size = pull.buckets.size();
  for (const ConfigKeyRevision& held : pull.held) {
    size += held.key.size() + kNumber;
  }
  return size;
}

std::size_t SizeOf(const ConfigEntries& message) {
  std::size_t size = SizeOf(message.digest) + SizeOf(message.entries);
  for (const std::string& key : message.wanted) {
    size += key.size() + 2;
  }
  return size;
}

std::size_t SizeOf(const ConfigPush& push) {
  return 2 * kNumber + SizeOf(push.entries);
}

}  // namespace

std::size_t EstimatedSize(const ConfigEntry& entry) {
  return SizeOf(entry);
}

std::size_t EstimatedSize(const ConfigMessage& message) {
  return kFraming +
         std::visit([](const auto& m) { return SizeOf(m); }, message);
}

}  // namespace gcw
