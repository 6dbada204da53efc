#ifndef COORDINATION_LIMITS_LIMIT_RELAY_H_
#define COORDINATION_LIMITS_LIMIT_RELAY_H_

#include <map>
#include <optional>
#include <vector>

#include "coordination/limits/contract_limits.h"
#include "coordination/limits/limit_client.h"
#include "coordination/limits/limit_granter.h"
#include "coordination/limits/limit_topology.h"
#include "coordination/limits/report_schedule.h"

namespace gcw {

// Stands between the nodes of a group and the owner in large fleets: reports
// their demand as one and divides what it is granted. To the owner it is one
// more party, so that two relays for the same nodes share what one would get.
class LimitRelay {
 public:
  LimitRelay(const LimitTopology* topology,
             const ContractLimits* limits,
             LimitParty self);

  // Absent while this relay has no live grants itself: its nodes must not take
  // its silence towards the owner for an owner.
  std::optional<LimitGrants> OnReport(Time now, const LimitReport& report);
  void OnGrants(Time now, const NodeId& from, const LimitGrants& grants);
  // The reports that are due, each to its shard's owner.
  std::vector<LimitReport> Tick(Time now);
  LimitVector Held(Time now, const ContractId& contract) const;

 private:
  struct RelayedShard {
    LimitGranter granter;
    LimitClient client;
    // Nodes that reported, for the report's weight.
    std::map<NodeId, Time> reporters;
    // Newest grants that everything given on fits into.
    LimitSequence acknowledged;
    bool urgent = false;
  };

  RelayedShard& ShardFor(LimitShard shard);
  bool IsUrgent(Time now, const RelayedShard& relayed) const;
  LimitReport MakeReport(Time now, RelayedShard& relayed) const;
  static void Acknowledge(Time now, RelayedShard& relayed);

  const LimitTopology* topology_;
  const ContractLimits* limits_;
  LimitParty self_;
  ReportSchedule schedule_;
  std::map<LimitShard, RelayedShard> shards_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_RELAY_H_
