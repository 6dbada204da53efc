#include "coordination/limits/limit_relay.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Sums of fractions may differ in the last digits.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

LimitRelay::LimitRelay(const LimitTopology* topology,
                       const ContractLimits* limits,
                       LimitParty self)
    : topology_(topology), limits_(limits), self_(std::move(self)) {}

LimitRelay::RelayedShard& LimitRelay::FindOrAddShard(LimitShard shard) {
  const auto found = shards_.find(shard);
  if (found != shards_.end()) {
    return found->second;
  }
  RelayedShard new_shard{.granter = {shard, self_.incarnation},
                         .client = {self_, LimitReporter::kRelay, shard},
                         .reporters = {},
                         .acknowledged = {},
                         .is_urgent = true};
  return shards_.emplace(shard, std::move(new_shard)).first->second;
}

std::optional<LimitGrants> LimitRelay::OnReport(Time now,
                                                const LimitReport& report) {
  RelayedShard& relayed = FindOrAddShard(report.shard);
  const Duration max_lifetime =
      topology_->settings().GrantLifetime(topology_->live_nodes());
  if (!relayed.granter.Observe(now, report, max_lifetime)) {
    return std::nullopt;
  }
  const bool is_new =
      relayed.reporters.insert_or_assign(report.sender.node, now).second;
  relayed.is_urgent |= is_new || relayed.granter.TakeNewDemand();
  const Duration remaining = relayed.client.granted_until() - now;
  if (remaining <= Duration()) {
    return std::nullopt;
  }
  return relayed.granter.Answer(
      now, report,
      {.fence = relayed.client.fence(),
       .lifetime = std::min(max_lifetime, remaining),
       .total =
           [&](const ContractId& c) {
             return relayed.client.GrantedFraction(now, c);
           },
       .concurrency_unit =
           [&](const ContractId& c) { return limits_->ConcurrencyUnit(c); }});
}

void LimitRelay::OnGrants(Time now,
                          const NodeId& from,
                          const LimitGrants& grants) {
  const auto found = shards_.find(grants.shard);
  if (found != shards_.end()) {
    found->second.client.OnGrants(now, from, grants);
  }
}

bool LimitRelay::IsUrgent(Time now, const RelayedShard& relayed) const {
  const auto reported = relayed.client.reported_at();
  const Duration interval = topology_->settings().UrgentReportInterval(
      topology_->live_nodes(), relayed.client.unanswered_reports());
  return !reported || (relayed.is_urgent && now >= *reported + interval);
}

// After a relay's grant has shrunk, its own grants exceed it until its nodes
// report again. If the relay acknowledged the smaller grant at once, the owner
// would grant the difference to others while the nodes still use it, and the
// sum of shares would exceed the limit for one grant's lifetime.
void LimitRelay::UpdateAcknowledged(Time now, RelayedShard& relayed) {
  const LimitVector tolerance = LimitVector::Uniform(kRoundingTolerance);
  for (const ContractId& contract : relayed.granter.Contracts()) {
    const LimitVector held = relayed.granter.Held(now, contract);
    const LimitVector granted =
        relayed.client.GrantedFraction(now, contract) + tolerance;
    if (!(Max(held, granted) == granted)) {
      return;
    }
  }
  relayed.acknowledged = relayed.client.applied();
}

LimitReport LimitRelay::MakeReport(Time now, RelayedShard& relayed) const {
  relayed.is_urgent = false;
  LimitReport report = relayed.client.StartReport(now);
  UpdateAcknowledged(now, relayed);
  report.applied_sequence = relayed.acknowledged;
  report.weight = std::max<std::int64_t>(1, std::ssize(relayed.reporters));
  // The owner counts the cession from the time in the echo on its clock, which
  // is before the echo arrived here.
  if (const auto answered = relayed.client.answered_at()) {
    report.cession_duration =
        topology_->settings().RelayCessionLifetime(topology_->live_nodes());
    report.ceding_nodes = relayed.granter.cessions().NodesCoveredUntil(
        *answered + report.cession_duration);
  }
  for (const LimitDemandTotal& total : relayed.granter.TotalDemands(now)) {
    report.demands.push_back({total.contract, total.demand, total.running});
  }
  return report;
}

std::vector<LimitReport> LimitRelay::Tick(Time now) {
  const Duration reporter_ttl =
      topology_->settings().CessionLifetime(topology_->live_nodes());
  const bool is_due = schedule_.TakeDue(
      now, topology_->settings().ReportPeriod(topology_->live_nodes()));
  std::vector<LimitReport> reports;
  for (auto& [shard, relayed] : shards_) {
    if (is_due) {
      relayed.granter.DropExpired(now);
    }
    std::erase_if(relayed.reporters, [&](const auto& entry) {
      return entry.second + reporter_ttl < now;
    });
    relayed.client.SetUpstream(topology_->Owner(shard));
    const bool can_report =
        !relayed.client.upstream().empty() && !relayed.reporters.empty();
    if (can_report && (is_due || IsUrgent(now, relayed))) {
      reports.push_back(MakeReport(now, relayed));
    }
  }
  return reports;
}

LimitVector LimitRelay::Held(Time now, const ContractId& contract) const {
  LimitVector held;
  for (const auto& [shard, relayed] : shards_) {
    held = held + relayed.granter.Held(now, contract);
  }
  return held;
}

}  // namespace gcw
