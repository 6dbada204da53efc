#include "coordination/limits/limit_shares.h"

#include <algorithm>
#include <limits>

namespace gcw {
namespace {

constexpr Time kNever =
    Time::FromMillis(std::numeric_limits<std::int64_t>::max());
// Periods after the last answer during which a node still cedes its floor: it
// does so only while the receiver of its reports sends grants in return.
constexpr std::int64_t kMaxAnswerAgePeriods = 2;

}  // namespace

LimitShares::LimitShares(const LimitTopology* topology,
                         const ContractLimits* limits,
                         LimitParty self,
                         EventSink sink,
                         Time started)
    : topology_(topology),
      limits_(limits),
      self_(std::move(self)),
      sink_(std::move(sink)) {
  const LimitSettings& settings = topology_->settings();
  // The node's earlier run may have ceded its floors just before it ended, so
  // that other nodes may be using them.
  const Time ceded_until =
      started + settings.max_period * settings.relayed_cession_periods;
  for (std::int64_t i = 0; i < settings.shards; ++i) {
    shards_.push_back({.client = {self_, LimitReporter::kNode, LimitShard(i)},
                       .ceded_until = ceded_until,
                       .is_urgent = false});
  }
}

LimitShares::ShardState& LimitShares::StateOf(LimitShard shard) {
  return shards_[static_cast<std::size_t>(shard.value())];
}

const LimitShares::ShardState& LimitShares::StateOf(LimitShard shard) const {
  return shards_[static_cast<std::size_t>(shard.value())];
}

LimitVector LimitShares::Floor(const ContractId& contract) const {
  const double rate = 1 / static_cast<double>(topology_->FloorNodes());
  const double limit = limits_->LimitOf(contract)[LimitResource::kConcurrency];
  if (limit <= 0) {
    return {rate, rate, 0};
  }
  const auto units =
      topology_->FloorConcurrency(contract, static_cast<std::int64_t>(limit));
  return {rate, rate, static_cast<double>(units) / limit};
}

std::pair<LimitVector, Time> LimitShares::AllowedFraction(
    Time now,
    const ContractId& contract,
    const ShardState& shard) const {
  const LimitVector granted = shard.client.GrantedFraction(now, contract);
  const Time granted_until = shard.client.granted_until();
  const Time grant_end = now < granted_until ? granted_until : kNever;
  if (now < shard.ceded_until) {
    return {granted, std::min(grant_end, shard.ceded_until)};
  }
  return {Max(granted, Floor(contract)), grant_end};
}

void LimitShares::RefreshShare(Time now,
                               const ContractId& contract,
                               ContractState& state) {
  const ShardState& shard = StateOf(state.shard);
  const auto [fraction, until] = AllowedFraction(now, contract, shard);
  const bool is_on_floor = now >= shard.ceded_until &&
                           shard.client.GrantedFraction(now, contract).IsZero();
  if (is_on_floor != state.is_on_floor) {
    ReportFloor(contract, is_on_floor);
  }
  state.is_on_floor = is_on_floor;
  state.valid_until = until;
  state.share.SetShare(now, fraction * state.share.limit(),
                       topology_->settings().burst_duration);
}

void LimitShares::ReportFloor(const ContractId& contract, bool is_on_floor) {
  sink_({.kind =
             is_on_floor ? EventKind::kShareExpired : EventKind::kShareGranted,
         .subject = contract.value(),
         .cause = {},
         .fields = {}});
}

void LimitShares::RefreshShard(Time now, LimitShard shard) {
  for (auto& [contract, state] : contracts_) {
    if (state.shard == shard) {
      RefreshShare(now, contract, state);
    }
  }
}

LimitShares::ContractState* LimitShares::AddContract(
    Time now,
    const ContractId& contract) {
  const LimitVector limit = limits_->LimitOf(contract);
  if (limit.IsZero()) {
    return nullptr;
  }
  const LimitShard shard = ShardOf(contract, topology_->settings().shards);
  ContractState new_state{.share = ContractShare(limit),
                          .shard = shard,
                          .valid_until = {},
                          .is_on_floor = false};
  ContractState& state = contracts_.emplace(contract, new_state).first->second;
  RefreshShare(now, contract, state);
  StateOf(shard).is_urgent = true;
  return &state;
}

void LimitShares::OnContractChanged(Time now, const ContractId& contract) {
  const auto found = contracts_.find(contract);
  if (found == contracts_.end()) {
    return;
  }
  found->second.share.SetLimit(now, limits_->LimitOf(contract),
                               topology_->settings().burst_duration);
  RefreshShare(now, contract, found->second);
}

void LimitShares::OnContractWithdrawn(const ContractId& contract) {
  contracts_.erase(contract);
}

ShareDecision LimitShares::TryAcquire(Time now,
                                      const ContractId& contract,
                                      TokenCount estimate,
                                      AcquireAttempt attempt) {
  const auto found = contracts_.find(contract);
  ContractState* state =
      found == contracts_.end() ? AddContract(now, contract) : &found->second;
  if (state == nullptr) {
    return {ShareOutcome::kUnknownContract, {}};
  }
  if (now >= state->valid_until) {
    RefreshShare(now, contract, *state);
  }
  const ShareDecision decision = state->share.TryAcquire(
      now, static_cast<double>(estimate.value()), attempt);
  if (decision.outcome == ShareOutcome::kPending) {
    StateOf(state->shard).is_urgent = true;
  }
  return decision;
}

void LimitShares::Release(const ContractId& contract,
                          TokenCount estimate,
                          TokenCount actual) {
  const auto found = contracts_.find(contract);
  if (found != contracts_.end()) {
    found->second.share.Release(static_cast<double>(estimate.value()),
                                static_cast<double>(actual.value()));
  }
}

void LimitShares::OnGrants(Time now,
                           const NodeId& from,
                           const LimitGrants& grants) {
  if (grants.shard.value() < 0 || grants.shard.value() >= std::ssize(shards_)) {
    return;
  }
  if (StateOf(grants.shard).client.OnGrants(now, from, grants)) {
    RefreshShard(now, grants.shard);
  }
}

void LimitShares::DropIdle(Time now) {
  const Duration idle_timeout = topology_->settings().idle_timeout;
  for (auto entry = contracts_.begin(); entry != contracts_.end();) {
    if (entry->second.share.IsIdle(now, idle_timeout)) {
      entry = contracts_.erase(entry);
    } else {
      ++entry;
    }
  }
}

bool LimitShares::IsUrgent(Time now, const ShardState& shard) const {
  const auto reported = shard.client.reported_at();
  const Duration interval = topology_->settings().UrgentReportInterval(
      topology_->live_nodes(), shard.client.unanswered_reports());
  return !reported || (shard.is_urgent && now >= *reported + interval);
}

bool LimitShares::MayCede(Time now, const ShardState& shard) const {
  const Duration period =
      topology_->settings().ReportPeriod(topology_->live_nodes());
  const auto answered = shard.client.answered_at();
  return answered && now <= *answered + period * kMaxAnswerAgePeriods;
}

LimitReport LimitShares::MakeReport(Time now, ShardState& shard) {
  shard.is_urgent = false;
  LimitReport report = shard.client.StartReport(now);
  if (MayCede(now, shard)) {
    const LimitSettings& settings = topology_->settings();
    report.ceding_nodes = {topology_->self()};
    report.cession_duration =
        is_leaving_ ? settings.floor_reservation_ttl
                    : settings.CessionLifetime(topology_->live_nodes());
    shard.ceded_until =
        std::max(shard.ceded_until, now + report.cession_duration);
  }
  for (auto& [contract, state] : contracts_) {
    if (state.shard == report.shard) {
      report.demands.push_back(state.share.Measure(now, contract));
    }
  }
  return report;
}

std::vector<LimitReport> LimitShares::Tick(Time now) {
  if (topology_->floor_version() != applied_floor_version_) {
    applied_floor_version_ = topology_->floor_version();
    for (auto& [contract, state] : contracts_) {
      RefreshShare(now, contract, state);
    }
  }
  const bool is_due = schedule_.TakeDue(
      now, topology_->settings().ReportPeriod(topology_->live_nodes()));
  if (is_due) {
    DropIdle(now);
  }
  std::vector<LimitReport> reports;
  for (ShardState& shard : shards_) {
    const LimitShard number = shard.client.shard();
    shard.client.SetUpstream(topology_->Upstream(number));
    const bool is_known = !shard.client.upstream().empty();
    if (!is_known || !(is_due || IsUrgent(now, shard))) {
      continue;
    }
    reports.push_back(MakeReport(now, shard));
    // The report may cede the floor, whose use must end at once.
    RefreshShard(now, number);
  }
  return reports;
}

LimitVector LimitShares::ShareOf(Time now, const ContractId& contract) const {
  const LimitShard shard = ShardOf(contract, topology_->settings().shards);
  return AllowedFraction(now, contract, StateOf(shard)).first *
         limits_->LimitOf(contract);
}

std::vector<ShareView> LimitShares::View(Time now) const {
  std::vector<ShareView> views;
  views.reserve(contracts_.size());
  for (const auto& [contract, state] : contracts_) {
    views.push_back({.contract = contract,
                     .limit = state.share.limit(),
                     .share = ShareOf(now, contract),
                     .is_floor = state.is_on_floor,
                     .running = state.share.running()});
  }
  return views;
}

}  // namespace gcw
