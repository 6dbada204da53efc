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

// An idempotency key that the system issued, split into its fields. Only the
// process that issued a key grants it, from its own memory, so these keys need
// neither the key-value service nor synchronized clocks.
struct IssuedKey {
  NodeId home;
  Incarnation incarnation;
  std::int64_t sequence = 0;
  // A random number that callers cannot guess.
  std::uint64_t nonce = 0;

  // Returns the key in the text form that callers send.
  IdempotencyKey Format() const;
  // Returns nullopt if the text is not an issued key.
  static std::optional<IssuedKey> Parse(std::string_view text);
  // Parses a key that is prefixed with its contract's id.
  static std::optional<IssuedKey> ParseScoped(const IdempotencyKey& key);
};

struct IssuedKeysSettings {
  // Time from issue after which a send with the key is refused as "outcome
  // unknown".
  Duration key_ttl = Duration::Seconds(86400);
  // Maximum number of keys in memory. When it is reached, the oldest keys are
  // dropped and refused from then on.
  std::size_t max_keys = 200000;
  OnceShardSettings claims;
};

// Issues idempotency keys and decides the claims on the keys that this process
// issued.
class IssuedKeys {
 public:
  IssuedKeys(OnceMember self, IssuedKeysSettings settings, Random random);

  // Issues a new key to a caller of the contract.
  IdempotencyKey Issue(Time now, const ContractId& contract);

  // Decides a claim on a key that this node issued.
  OnceVerdict Claim(Time now, const OnceClaimRequest& request);
  void Finish(Time now, const OnceFinish& finish);
  void Tick(Time now);

 private:
  struct Issued {
    std::uint64_t nonce;
    Time at;
    ContractId contract;
  };

  bool IsIssued(const IssuedKey& key, const IdempotencyKey& scoped) const;

  OnceMember self_;
  IssuedKeysSettings settings_;
  Random random_;
  // Sequence number of `issued_.front()`. Keys with lower numbers have been
  // dropped and are never granted.
  std::int64_t first_sequence_ = 1;
  std::deque<Issued> issued_;
  OnceShard claims_;
};

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ISSUED_KEYS_H_
