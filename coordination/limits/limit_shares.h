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

// What this node may use of a contract now, for the limit view.
struct ShareView {
  ContractId contract;
  LimitVector limit;
  LimitVector share;
  // True where the share is the floor, since no grant lives.
  bool floor = false;
  std::int64_t running = 0;
};

// This node's own shares of the contracts that have requests here. A share is
// what the owner grants; without an owner it is the floor, limit / nodes, once
// the promise not to use it has run out.
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
  // The reports that are due, each to its shard's upstream.
  std::vector<LimitReport> Tick(Time now);
  // From now on this node asks for nothing and cedes its floors for good.
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
    // This node uses no floor of the shard before.
    Time ceded_until;
    bool urgent = false;
  };
  struct ContractState {
    ContractShare share;
    LimitShard shard;
    // When the share has to be worked out again.
    Time valid_until;
    bool on_floor = false;
  };

  ContractState* Activate(Time now, const ContractId& contract);
  void Refresh(Time now, const ContractId& contract, ContractState& state);
  // Fraction of the limit, and until when it holds.
  std::pair<LimitVector, Time> Allowed(Time now,
                                       const ContractId& contract,
                                       const ShardState& shard) const;
  LimitVector Floor(const ContractId& contract) const;
  void ReportFloor(const ContractId& contract, bool on_floor);
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
  std::int64_t seen_version_ = -1;
  ReportSchedule schedule_;
  // By shard number.
  std::vector<ShardState> shards_;
  std::unordered_map<ContractId, ContractState> contracts_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_SHARES_H_
