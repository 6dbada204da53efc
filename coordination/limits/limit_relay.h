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

// Aggregates the reports of a group of nodes in large fleets: it reports their
// total demand to the owner and divides its own grants among them. To the owner
// it is a party like any other, so that two relays of the same nodes share what
// one relay would get.
class LimitRelay {
 public:
  LimitRelay(const LimitTopology* topology,
             const ContractLimits* limits,
             LimitParty self);

  // Returns nothing while this relay has no valid grants itself: its nodes must
  // not go on ceding their floors to a relay that has lost its owner.
  std::optional<LimitGrants> OnReport(Time now, const LimitReport& report);
  void OnGrants(Time now, const NodeId& from, const LimitGrants& grants);
  // Returns the reports that are due, each for its shard's owner.
  std::vector<LimitReport> Tick(Time now);
  LimitVector Held(Time now, const ContractId& contract) const;

 private:
  struct RelayedShard {
    LimitGranter granter;
    LimitClient client;
    // Nodes that reported and when; their number is the report's weight.
    std::map<NodeId, Time> reporters;
    // Newest grants that cover everything this relay has granted to its nodes.
    LimitSequence acknowledged;
    bool is_urgent = false;
  };

  RelayedShard& FindOrAddShard(LimitShard shard);
  bool IsUrgent(Time now, const RelayedShard& relayed) const;
  LimitReport MakeReport(Time now, RelayedShard& relayed) const;
  static void UpdateAcknowledged(Time now, RelayedShard& relayed);

  const LimitTopology* topology_;
  const ContractLimits* limits_;
  LimitParty self_;
  ReportSchedule schedule_;
  std::map<LimitShard, RelayedShard> shards_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_RELAY_H_
