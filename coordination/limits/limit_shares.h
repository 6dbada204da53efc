#ifndef COORDINATION_LIMITS_LIMIT_SHARES_H_
#define COORDINATION_LIMITS_LIMIT_SHARES_H_

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/limits/contract_limits.h"
#include "coordination/limits/contract_share.h"
#include "coordination/limits/limit_client.h"
#include "coordination/limits/limit_topology.h"
#include "coordination/limits/report_schedule.h"
#include "core/core.h"

namespace gcw {

// One row of the operator's view of limits: what this node may use now.
struct ShareView {
  ContractId contract;
  LimitVector limit;
  LimitVector share;
  // True if the share is the floor, because no grant is in force.
  bool is_floor = false;
  std::int64_t running = 0;
};

// This node's own shares of the contracts that have requests here. A share is
// what the owner grants; without an owner it is the floor, limit / nodes, once
// this node's cession of the floor has expired.
class LimitShares {
 public:
  LimitShares(const LimitTopology* topology,
              const ContractLimits* limits,
              LimitParty self,
              EventSink sink,
              Time started);

  void OnContractChanged(Time now, const ContractId& contract);
  void OnContractWithdrawn(const ContractId& contract);
  void OnGrants(Time now, const NodeId& from, const LimitGrants& grants);
  // Returns the reports that are due, each for its shard's upstream.
  std::vector<LimitReport> Tick(Time now);
  // From the next report on, this node cedes its floors for
  // `floor_reservation_ttl` instead of a few periods. Called once it takes no
  // new requests.
  void Leave() { is_leaving_ = true; }

  ShareDecision TryAcquire(Time now,
                           const ContractId& contract,
                           TokenCount estimate,
                           AcquireAttempt attempt);
  void Release(const ContractId& contract,
               TokenCount estimate,
               TokenCount actual);

  LimitVector ShareOf(Time now, const ContractId& contract) const;
  std::vector<ShareView> View(Time now) const;

 private:
  struct ShardState {
    LimitClient client;
    // This node uses no floor of the shard before this time.
    Time ceded_until;
    bool is_urgent = false;
  };
  struct ContractState {
    ContractShare share;
    LimitShard shard;
    // The share must be recomputed from this time on.
    Time valid_until;
    bool is_on_floor = false;
  };

  ContractState* AddContract(Time now, const ContractId& contract);
  void RefreshShare(Time now, const ContractId& contract, ContractState& state);
  // Returns a fraction of the limit and the time until which it is valid.
  std::pair<LimitVector, Time> AllowedFraction(Time now,
                                               const ContractId& contract,
                                               const ShardState& shard) const;
  LimitVector Floor(const ContractId& contract) const;
  void ReportFloor(const ContractId& contract, bool is_on_floor);
  void RefreshShard(Time now, LimitShard shard);
  void DropIdle(Time now);
  bool IsUrgent(Time now, const ShardState& shard) const;
  bool MayCede(Time now, const ShardState& shard) const;
  LimitReport MakeReport(Time now, ShardState& shard);
  ShardState& StateOf(LimitShard shard);
  const ShardState& StateOf(LimitShard shard) const;

  const LimitTopology* topology_;
  const ContractLimits* limits_;
  LimitParty self_;
  EventSink sink_;
  bool is_leaving_ = false;
  std::int64_t applied_floor_version_ = -1;
  ReportSchedule schedule_;
  // Indexed by shard number.
  std::vector<ShardState> shards_;
  std::unordered_map<ContractId, ContractState> contracts_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_SHARES_H_
