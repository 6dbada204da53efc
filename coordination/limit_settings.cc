#include "coordination/limit_settings.h"

#include <algorithm>

namespace gcw {
namespace {

// FNV-1a. Not `std::hash`, whose values may differ between builds, while all
// nodes must agree on a contract's shard.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;

}  // namespace

Duration LimitSettings::Period(std::int64_t nodes) const {
  return std::clamp(period_per_node * nodes, period_min, period_max);
}

Duration LimitSettings::GrantLifetime(std::int64_t nodes) const {
  return Period(nodes) * grant_periods;
}

Duration LimitSettings::CessionLifetime(std::int64_t nodes) const {
  const std::int64_t periods =
      HasRelays(nodes) ? relayed_cession_periods : cession_periods;
  return Period(nodes) * periods;
}

Duration LimitSettings::RelayCessionLifetime(std::int64_t nodes) const {
  return Period(nodes) * cession_periods;
}

LimitShard ShardOf(const ContractId& contract, std::int64_t shards) {
  std::uint64_t hash = kFnvOffset;
  for (const char character : contract.value()) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  // The low bits of FNV-1a are weak for short texts.
  hash ^= hash >> 32;
  return LimitShard(
      static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(shards)));
}

}  // namespace gcw
