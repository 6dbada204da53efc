#ifndef COORDINATION_LIMITS_LIMIT_OWNER_H_
#define COORDINATION_LIMITS_LIMIT_OWNER_H_

#include <map>
#include <optional>
#include <vector>

#include "coordination/limits/contract_limits.h"
#include "coordination/limits/limit_granter.h"
#include "coordination/limits/limit_topology.h"

namespace gcw {

// Grants the limits of the shards whose role this node holds. Every grant
// expires before the role's lease can, so that all earlier grants have expired
// when the next holder starts: two nodes that both consider themselves owner
// never grant more than the limit together.
class LimitOwner {
 public:
  LimitOwner(const LimitTopology* topology,
             const ContractLimits* limits,
             Incarnation self);

  void OnRoleHeld(LimitShard shard, FencingToken fence, Time valid_until);
  void OnRoleLost(LimitShard shard);
  // Returns the time from which the role may be released; no grant outlives it.
  Time PrepareRelease(Time now, LimitShard shard);

  // Returns nothing if this node may not grant the shard now, or if the report
  // is not newer than one already seen.
  std::optional<LimitGrants> OnReport(Time now, const LimitReport& report);
  LimitVector Held(Time now, const ContractId& contract) const;
  void DropExpired(Time now);

 private:
  struct OwnedShard {
    FencingToken fence;
    Time valid_until;
    std::optional<Time> release_at;
    LimitGranter granter;
  };

  // Every grant expires by the returned time.
  static Time LatestGrantExpiry(const OwnedShard& owned);
  LimitVector GrantableTotal(const ContractId& contract,
                             std::int64_t reserved) const;
  std::int64_t ReservedFloors(const OwnedShard& owned,
                              const LimitReport& report,
                              Time expires) const;

  const LimitTopology* topology_;
  const ContractLimits* limits_;
  Incarnation self_;
  std::map<LimitShard, OwnedShard> shards_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_OWNER_H_
