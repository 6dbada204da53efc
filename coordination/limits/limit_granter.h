#ifndef COORDINATION_LIMITS_LIMIT_GRANTER_H_
#define COORDINATION_LIMITS_LIMIT_GRANTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/limits/floor_cessions.h"
#include "coordination/limits/limit_ledger.h"
#include "coordination/limits/limit_messages.h"

namespace gcw {

// Total demand for one contract of all parties of a granter.
struct LimitDemandTotal {
  ContractId contract;
  LimitVector demand;
  // Fraction of the concurrency limit.
  double running = 0;
};

// Answers the reports of one shard by dividing given totals. Both owners and
// relays use it; they differ in the source of the totals.
class LimitGranter {
 public:
  struct Terms {
    FencingToken fence;
    Duration lifetime;
    // What all parties together may use of a contract.
    std::function<LimitVector(const ContractId&)> total;
    // One running request as a fraction of the contract's limit.
    std::function<double(const ContractId&)> concurrency_unit;
  };

  LimitGranter(LimitShard shard, Incarnation self);

  // Records demand and cessions. Returns false if the report is not newer than
  // one already seen.
  bool Observe(Time now, const LimitReport& report, Duration valid_for);
  // Answers `report`, the last one that `Observe` accepted from its sender.
  LimitGrants Answer(Time now, const LimitReport& report, const Terms& terms);

  const FloorCessions& cessions() const { return cessions_; }
  LimitVector Held(Time now, const ContractId& contract) const;
  std::vector<ContractId> Contracts() const;
  std::vector<LimitDemandTotal> TotalDemands(Time now) const;
  // True if a new contract was reported since the last call.
  bool TakeNewDemand();
  // Latest expiry of all grants given so far.
  Time latest_expiry() const { return latest_expiry_; }
  void DropExpired(Time now);

 private:
  struct PartyState {
    LimitLedger::PartyIndex index = 0;
    LimitSequence last_report;
    // Contracts listed in the last report.
    std::set<ContractId> contracts;
    Time last_seen;
  };

  void RecordCessions(const LimitReport& report);
  void ResetDemands(PartyState& party, const LimitReport& report);

  LimitShard shard_;
  Incarnation self_;
  std::map<LimitParty, PartyState> parties_;
  LimitLedger::PartyIndex next_index_ = 0;
  std::unordered_map<ContractId, LimitLedger> ledgers_;
  FloorCessions cessions_;
  bool has_new_demand_ = false;
  Time latest_expiry_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_GRANTER_H_
