#include "coordination/limits/limit_granter.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// A party is forgotten if it has sent no report for this long. Its sequence
// rejects delayed reports, which are harmless by then.
constexpr Duration kPartyTtl = Duration::Seconds(600);

}  // namespace

LimitGranter::LimitGranter(LimitShard shard, Incarnation self)
    : shard_(shard), self_(self) {}

bool LimitGranter::Observe(Time now,
                           const LimitReport& report,
                           Duration valid_for) {
  const auto [entry, is_new] = parties_.try_emplace(report.sender);
  PartyState& party = entry->second;
  if (is_new) {
    party.index = next_index_++;
  }
  if (report.sequence <= party.last_report) {
    return false;
  }
  party.last_report = report.sequence;
  party.last_seen = now;
  RecordCessions(report);
  ResetDemands(party, report);
  for (const LimitDemand& demand : report.demands) {
    const auto [ledger, added] = ledgers_.try_emplace(demand.contract);
    has_new_demand_ = has_new_demand_ || added;
    ledger->second.Observe(party.index,
                           {.amount = demand.demand,
                            .running = demand.running,
                            .weight = static_cast<double>(report.weight),
                            .valid_until = now + valid_for});
    ledger->second.Acknowledge(party.index, report.applied_sequence);
    party.contracts.insert(demand.contract);
  }
  return true;
}

// The echo proves that the sender received this node's grants of `granted_at`
// before it sent the report. Its cession, counted on its own clock from the
// report, therefore ends no earlier than when counted here from the echo.
// Without the echo, a delayed report would list a node that is using its floor
// again, and the sum of shares would exceed the limit by that floor.
void LimitGranter::RecordCessions(const LimitReport& report) {
  if (!report.echo || report.echo->granter != self_) {
    return;
  }
  const Time until = report.echo->granted_at + report.cession_duration;
  for (const NodeId& node : report.ceding_nodes) {
    cessions_.Cede(node, until);
  }
}

void LimitGranter::ResetDemands(PartyState& party, const LimitReport& report) {
  for (const ContractId& contract : std::exchange(party.contracts, {})) {
    const auto ledger = ledgers_.find(contract);
    if (ledger == ledgers_.end()) {
      continue;
    }
    ledger->second.Observe(party.index, {});
    ledger->second.Acknowledge(party.index, report.applied_sequence);
  }
}

LimitGrants LimitGranter::Answer(Time now,
                                 const LimitReport& report,
                                 const Terms& terms) {
  const PartyState& party = parties_.at(report.sender);
  const Time expires = now + terms.lifetime;
  LimitGrants answer{.shard = shard_,
                     .sequence = report.sequence,
                     .receiver_kind = report.kind,
                     .receiver = report.sender.incarnation,
                     .fence = terms.fence,
                     .echo = {.granter = self_, .granted_at = now},
                     .report_sent_at = report.sent_at,
                     .lifetime = terms.lifetime,
                     .grants = {}};
  answer.grants.reserve(report.demands.size());
  for (const LimitDemand& demand : report.demands) {
    const LimitVector amount = ledgers_[demand.contract].Grant(
        now, party.index, report.sequence, terms.total(demand.contract),
        terms.concurrency_unit(demand.contract), expires);
    answer.grants.push_back({demand.contract, amount});
  }
  latest_expiry_ = std::max(latest_expiry_, expires);
  return answer;
}

LimitVector LimitGranter::Held(Time now, const ContractId& contract) const {
  const auto ledger = ledgers_.find(contract);
  return ledger == ledgers_.end() ? LimitVector() : ledger->second.Held(now);
}

std::vector<ContractId> LimitGranter::Contracts() const {
  std::vector<ContractId> contracts;
  contracts.reserve(ledgers_.size());
  for (const auto& [contract, ledger] : ledgers_) {
    contracts.push_back(contract);
  }
  return contracts;
}

std::vector<LimitDemandTotal> LimitGranter::TotalDemands(Time now) const {
  std::vector<LimitDemandTotal> totals;
  totals.reserve(ledgers_.size());
  for (const auto& [contract, ledger] : ledgers_) {
    const LimitVector demand = ledger.TotalDemand(now);
    if (!demand.IsZero()) {
      totals.push_back({contract, demand, ledger.TotalRunning(now)});
    }
  }
  // Sorted, because the map's order may differ between builds.
  std::sort(totals.begin(), totals.end(), [](const auto& a, const auto& b) {
    return a.contract < b.contract;
  });
  return totals;
}

bool LimitGranter::TakeNewDemand() {
  return std::exchange(has_new_demand_, false);
}

void LimitGranter::DropExpired(Time now) {
  for (auto& [contract, ledger] : ledgers_) {
    ledger.DropExpired(now);
  }
  std::erase_if(ledgers_,
                [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(parties_, [now](const auto& entry) {
    return entry.second.last_seen + kPartyTtl < now;
  });
  cessions_.DropExpired(now);
}

}  // namespace gcw
