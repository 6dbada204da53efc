#ifndef COORDINATION_AT_MOST_ONCE_ISSUED_KEYS_H_
#define COORDINATION_AT_MOST_ONCE_ISSUED_KEYS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "coordination/at_most_once/once_messages.h"
#include "coordination/at_most_once/once_placement.h"
#include "coordination/at_most_once/once_shard.h"

namespace gcw {

// The parts of a key that the system issued. The process that issued it is the
// only one that grants it, out of its memory, so that such keys need neither
// the key-value service nor a clock.
struct IssuedKey {
  NodeId home;
  Incarnation incarnation;
  std::int64_t sequence = 0;
  // Guards against guessed keys.
  std::uint64_t nonce = 0;

  // Text of the key, as callers send it.
  IdempotencyKey Format() const;
  // Absent where the text is not an issued key.
  static std::optional<IssuedKey> Parse(std::string_view text);
  // As above, for a key in its contract's scope.
  static std::optional<IssuedKey> ParseScoped(const IdempotencyKey& key);
};

struct IssuedKeysSettings {
  // A key that was not used for so long is refused as "outcome unknown".
  Duration valid_for = Duration::Seconds(86400);
  // Most keys remembered. The oldest are refused first.
  std::size_t most_keys = 200000;
  OnceShardSettings claims;
};

// Issues keys and grants them: the home of this process's keys.
class IssuedKeys {
 public:
  IssuedKeys(OnceMember self, IssuedKeysSettings settings, Random random);

  // A fresh key for a caller of the contract.
  IdempotencyKey Issue(Time now, const ContractId& contract);

  // Decides a claim on a key whose home is this node.
  OnceVerdict Claim(Time now, const OnceClaimRequest& request);
  void Finish(Time now, const OnceFinish& finish);
  void Tick(Time now);

 private:
  struct Issued {
    std::uint64_t nonce;
    Time at;
    ContractId contract;
  };

  bool Knows(const IssuedKey& key, const IdempotencyKey& scoped) const;

  OnceMember self_;
  IssuedKeysSettings settings_;
  Random random_;
  // Sequence number of `issued_.front()`. What lies below is forgotten and
  // never granted.
  std::int64_t first_ = 1;
  std::deque<Issued> issued_;
  OnceShard claims_;
};

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ISSUED_KEYS_H_
