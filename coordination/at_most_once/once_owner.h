#ifndef COORDINATION_AT_MOST_ONCE_ONCE_OWNER_H_
#define COORDINATION_AT_MOST_ONCE_ONCE_OWNER_H_

#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/at_most_once/issued_keys.h"
#include "coordination/at_most_once/once_messages.h"
#include "coordination/at_most_once/once_placement.h"
#include "coordination/at_most_once/once_shard_owner.h"

namespace gcw {

using OnceOwnerAction = std::variant<StoreRequest, OncePeerSend>;
using OnceOwnerActions = std::vector<OnceOwnerAction>;

// Decides on one node which sends may run: for the shards of callers' keys that
// the node owns, and for the keys that it issued.
class OnceOwner {
 public:
  class Builder;

  // Sets the nodes that may own shards. This node is included unless it is
  // leaving.
  OnceOwnerActions OnMembers(Time now, std::vector<OnceMember> members);
  OnceOwnerActions OnClaim(Time now,
                           const NodeId& from,
                           const OnceClaimRequest& request);
  OnceOwnerActions OnFinish(Time now,
                            const NodeId& from,
                            const OnceFinish& finish);
  OnceOwnerActions OnStoreReply(Time now,
                                StoreCallId id,
                                const StoreReply& reply);
  OnceOwnerActions Tick(Time now);
  // Starts a planned stop: writes the unwritten claims to the journal, then
  // releases every shard.
  OnceOwnerActions Release(Time now);
  bool released() const;

  // Issues a key for `POST /v1/idempotency-keys`.
  IdempotencyKey IssueKey(Time now, const ContractId& contract);

  // Raises the highest known revision of the key-value service to one that
  // another component saw.
  void OnRevisionSeen(Revision revision);
  Revision seen() const { return seen_; }
  // True if the key-value service was restored to an earlier state. Claims on
  // callers' keys are then refused until an operator accepts the restored
  // state.
  bool rewound() const { return rewound_; }
  // Accepts the restored service on an operator's order. Keys without an entry
  // are refused until the window has passed.
  void AcceptRewound(Time now);

  std::int64_t owned_shards() const;

 private:
  friend class Builder;
  OnceOwner(OnceMember self,
            OnceOwnerSettings settings,
            IssuedKeysSettings issued,
            Random random,
            EventSink events);

  OnceShardOwner& ShardFor(const IdempotencyKey& key);
  OnceOwnerHooks MakeHooks(OnceShardId shard);
  void OnRewound(const std::string& key);
  void Reply(const NodeId& to, const OnceClaimId& claim, OnceVerdict verdict);
  bool Alive(const OnceMember& member) const;
  OnceOwnerActions TakeActions();

  OnceMember self_;
  OnceOwnerSettings settings_;
  EventSink events_;
  IssuedKeys issued_;
  std::vector<OnceMember> members_;
  std::map<OnceShardId, std::unique_ptr<OnceShardOwner>> shards_;
  OnceOwnerActions actions_;
  std::int64_t last_call_ = 0;
  std::int64_t last_change_ = 0;
  Revision seen_;
  bool rewound_ = false;
  // A shard has detected the rewind. All shards are given up at the next tick.
  bool rewind_pending_ = false;
  bool releasing_ = false;
};

class OnceOwner::Builder {
 public:
  Builder& SetSelf(NodeId node, Incarnation incarnation);
  Builder& SetSettings(OnceOwnerSettings settings);
  Builder& SetIssuedKeys(IssuedKeysSettings settings);
  Builder& SetRandom(Random random);
  Builder& SetEvents(EventSink events);
  std::unique_ptr<OnceOwner> Build() const;

 private:
  OnceMember self_;
  OnceOwnerSettings settings_;
  IssuedKeysSettings issued_;
  Random random_;
  EventSink events_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_AT_MOST_ONCE_ONCE_OWNER_H_
