#ifndef COORDINATION_LIMITS_LIMIT_GRANTER_H_
#define COORDINATION_LIMITS_LIMIT_GRANTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/limits/cession_book.h"
#include "coordination/limits/limit_ledger.h"
#include "coordination/limits/limit_messages.h"

namespace gcw {

// Demand for one contract over all parties of a granter.
struct LimitDemandTotal {
  ContractId contract;
  LimitVector demand;
  // As a fraction of the limit.
  double running = 0;
};

// Answers the reports of one shard out of totals that it is given. Owners and
// relays share it; they differ in where the totals come from.
class LimitGranter {
 public:
  struct Terms {
    FencingToken fence;
    Duration lifetime;
    // Of a contract, all parties together.
    std::function<LimitVector(const ContractId&)> total;
    // One running request as a fraction of the contract's limit.
    std::function<double(const ContractId&)> concurrency_unit;
  };

  LimitGranter(LimitShard shard, Incarnation self);

  // Takes in demand and cessions. False for a report that is no newer than one
  // already seen.
  bool Observe(Time now, const LimitReport& report, Duration valid_for);
  // Answers the report last observed of this sender.
  LimitGrants Answer(Time now, const LimitReport& report, const Terms& terms);

  const CessionBook& cessions() const { return cessions_; }
  LimitVector Held(Time now, const ContractId& contract) const;
  std::vector<ContractId> Contracts() const;
  std::vector<LimitDemandTotal> Demands(Time now) const;
  // Contracts whose demand was seen for the first time since the last call.
  bool TakeNewDemand();
  // When the last grant given so far has expired.
  Time last_expiry() const { return last_expiry_; }
  void Expire(Time now);

 private:
  struct Party {
    LimitLedger::PartyIndex index = 0;
    LimitSequence last_report;
    // Contracts of its last report.
    std::set<ContractId> contracts;
    Time seen;
  };

  void ObserveCessions(const LimitReport& report);
  void ClearOldDemands(Party& party, const LimitReport& report);

  LimitShard shard_;
  Incarnation self_;
  std::map<LimitParty, Party> parties_;
  LimitLedger::PartyIndex next_index_ = 0;
  std::unordered_map<ContractId, LimitLedger> ledgers_;
  CessionBook cessions_;
  bool has_new_demand_ = false;
  Time last_expiry_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_GRANTER_H_
