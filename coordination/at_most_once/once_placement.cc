#include "coordination/at_most_once/once_placement.h"

#include <algorithm>
#include <string_view>

#include "coordination/rendezvous.h"

namespace gcw {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t HashBytes(std::string_view bytes) {
  std::uint64_t hash = kFnvOffset;
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kFnvPrime;
  }
  return hash;
}

// Spreads every bit over the whole word. FNV leaves some bits of the hashes of
// short texts equal.
std::uint64_t Mix(std::uint64_t word) {
  word ^= word >> 30;
  word *= 0xbf58476d1ce4e5b9ULL;
  word ^= word >> 27;
  word *= 0x94d049bb133111ebULL;
  return word ^ (word >> 31);
}

}  // namespace

IdempotencyKey ScopedOnceKey(const ContractId& contract,
                             const IdempotencyKey& key) {
  return IdempotencyKey(contract.value() + "/" + key.value());
}

OnceShardId OnceShardOf(const IdempotencyKey& key, std::int64_t shard_count) {
  const std::uint64_t hash = Mix(HashBytes(key.value()));
  return OnceShardId(static_cast<std::int64_t>(
      hash % static_cast<std::uint64_t>(shard_count)));
}

std::string OnceShardKey(OnceShardId shard) {
  // The width is fixed so that no shard's key is a prefix of another's.
  constexpr std::size_t kDigits = 4;
  std::string digits = std::to_string(shard.value());
  if (digits.size() < kDigits) {
    digits.insert(0, kDigits - digits.size(), '0');
  }
  return "once/" + digits;
}

std::optional<OnceMember> PreferredOnceOwner(
    OnceShardId shard,
    const std::vector<OnceMember>& members) {
  const std::string key = OnceShardKey(shard);
  const auto best =
      std::max_element(members.begin(), members.end(),
                       [&](const OnceMember& left, const OnceMember& right) {
                         return RendezvousScore(key, left.node) <
                                RendezvousScore(key, right.node);
                       });
  if (best == members.end()) {
    return std::nullopt;
  }
  return *best;
}

}  // namespace gcw
