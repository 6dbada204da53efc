#ifndef COORDINATION_LIMITS_H_
#define COORDINATION_LIMITS_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "coordination/limit_messages.h"
#include "coordination/limit_settings.h"
#include "core/core.h"

namespace gcw {

class LimitOwner;
class LimitRelay;
class LimitShares;
class LimitTopology;

// To be sent to a peer; losing it does no harm.
struct LimitSend {
  NodeId to;
  LimitBatch message;
};

using LimitsAction = std::variant<LimitSend>;

// A live node as the membership view shows it.
struct LimitPeer {
  NodeId node;
  ZoneId zone;
};

enum class ShareOutcome {
  kGranted,
  // The contract has no share here yet; the owner is asked. Try again at the
  // next tick.
  kPending,
  kRequestRate,
  kTokenRate,
  kConcurrency,
};

struct ShareDecision {
  ShareOutcome outcome = ShareOutcome::kPending;
  // Until this node's share allows the request; zero when granted.
  Duration wait;
};

// What this node may use of a contract now, for the limit view.
struct ShareView {
  ContractId contract;
  LimitVector limit;
  LimitVector share;
  // True where the share is the floor, since no grant lives.
  bool floor = false;
  std::int64_t running = 0;
};

// All that one node does for contract limits: its own shares, and granting to
// others where it owns a shard or relays for its zone. A plain facade over
// `LimitShares`, `LimitOwner` and `LimitRelay`.
class Limits {
 public:
  class Builder;

  Limits(Limits&&) noexcept;
  Limits& operator=(Limits&&) noexcept;
  ~Limits();

  // The contract set. A change takes effect at once for new requests.
  void OnContract(Time now, const Contract& contract);
  void OnContractWithdrawn(Time now, const ContractId& contract);

  // Live nodes, this one included. Views may differ between nodes.
  void OnView(Time now, const std::vector<LimitPeer>& peers);

  // This node holds role `limit/<shard>` and believes so until `valid_until`.
  // To be repeated at each renewal of the node's lease.
  void OnRoleHeld(Time now,
                  LimitShard shard,
                  FencingToken fence,
                  Time valid_until);
  void OnRoleLost(Time now, LimitShard shard);
  // Before this node gives up the role by deleting its key: no more grants are
  // given. The role may be released from the returned time on.
  Time PrepareRelease(Time now, LimitShard shard);
  // Who holds the role now, as far as this node knows; empty for nobody.
  void OnOwner(Time now,
               LimitShard shard,
               const NodeId& owner,
               FencingToken fence);

  std::vector<LimitsAction> OnBatch(Time now,
                                    const NodeId& from,
                                    const LimitBatch& batch);
  std::vector<LimitsAction> Tick(Time now);

  // Takes one request and its estimated tokens out of this node's share, or
  // says why not. A refused request counts as demand.
  ShareDecision TryAcquire(Time now,
                           const ContractId& contract,
                           TokenCount estimate);
  // The request ended and used `actual` tokens.
  void Release(Time now,
               const ContractId& contract,
               TokenCount estimate,
               TokenCount actual);

  std::vector<ShareView> View(Time now) const;
  // Sum of what this node has granted to others and not expired.
  LimitVector GrantedBy(Time now, const ContractId& contract) const;
  // What this node may use now.
  LimitVector ShareOf(Time now, const ContractId& contract) const;

 private:
  Limits();

  std::unique_ptr<LimitTopology> topology_;
  std::unique_ptr<LimitShares> shares_;
  std::unique_ptr<LimitOwner> owner_;
  std::unique_ptr<LimitRelay> relay_;
};

class Limits::Builder {
 public:
  Builder& SetSelf(NodeId node, ZoneId zone, Incarnation incarnation);
  Builder& SetSettings(LimitSettings settings);
  Builder& SetEventSink(EventSink sink);
  // `started` is when the process came up: a floor may have been given up by
  // the node's earlier run shortly before.
  Limits Build(Time started) const;

 private:
  NodeId node_;
  ZoneId zone_;
  Incarnation incarnation_;
  LimitSettings settings_;
  EventSink sink_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_H_
