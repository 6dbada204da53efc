#include "coordination/limits/limit_owner.h"

#include <algorithm>
#include <cmath>

namespace gcw {

LimitOwner::LimitOwner(const LimitTopology* topology,
                       const ContractLimits* limits,
                       Incarnation self)
    : topology_(topology), limits_(limits), self_(self) {}

void LimitOwner::OnRoleHeld(LimitShard shard,
                            FencingToken fence,
                            Time valid_until) {
  const auto found = shards_.find(shard);
  if (found != shards_.end() && found->second.fence == fence) {
    found->second.valid_until = valid_until;
    return;
  }
  shards_.insert_or_assign(shard, OwnedShard{.fence = fence,
                                             .valid_until = valid_until,
                                             .release_at = {},
                                             .granter = {shard, self_}});
}

void LimitOwner::OnRoleLost(LimitShard shard) {
  shards_.erase(shard);
}

Time LimitOwner::PrepareRelease(Time now, LimitShard shard) {
  const auto found = shards_.find(shard);
  if (found == shards_.end()) {
    return now;
  }
  OwnedShard& owned = found->second;
  if (!owned.release_at) {
    owned.release_at =
        now + topology_->settings().GrantLifetime(topology_->live_nodes());
    // Grants given while the fleet was larger may have a longer lifetime.
    owned.release_at =
        std::max(*owned.release_at, owned.granter.latest_expiry());
  }
  return *owned.release_at;
}

Time LimitOwner::LatestGrantExpiry(const OwnedShard& owned) {
  return std::min(owned.valid_until,
                  owned.release_at.value_or(owned.valid_until));
}

std::optional<LimitGrants> LimitOwner::OnReport(Time now,
                                                const LimitReport& report) {
  const auto found = shards_.find(report.shard);
  if (found == shards_.end() || now >= LatestGrantExpiry(found->second)) {
    return std::nullopt;
  }
  OwnedShard& owned = found->second;
  const Duration max_lifetime =
      topology_->settings().GrantLifetime(topology_->live_nodes());
  if (!owned.granter.Observe(now, report, max_lifetime)) {
    return std::nullopt;
  }
  const Duration lifetime =
      std::min(max_lifetime, LatestGrantExpiry(owned) - now);
  const std::int64_t reserved = ReservedFloors(owned, report, now + lifetime);
  return owned.granter.Answer(
      now, report,
      {.fence = owned.fence,
       .lifetime = lifetime,
       .total =
           [&](const ContractId& c) { return GrantableTotal(c, reserved); },
       .concurrency_unit =
           [&](const ContractId& c) { return limits_->ConcurrencyUnit(c); }});
}

// Number of nodes that may use their floor before a grant that expires at
// `expires` ends. A node that reports for itself uses the greater of its floor
// and its grant, so its own floor is part of what it may be granted.
std::int64_t LimitOwner::ReservedFloors(const OwnedShard& owned,
                                        const LimitReport& report,
                                        Time expires) const {
  const FloorCessions& cessions = owned.granter.cessions();
  std::int64_t reserved =
      topology_->FloorNodes() - cessions.CountCoveredUntil(expires);
  if (report.kind == LimitReporter::kNode &&
      !cessions.Covers(report.sender.node, expires)) {
    --reserved;
  }
  return std::max<std::int64_t>(0, reserved);
}

LimitVector LimitOwner::GrantableTotal(const ContractId& contract,
                                       std::int64_t reserved) const {
  const LimitVector limit = limits_->LimitOf(contract);
  if (limit.IsZero()) {
    return {};
  }
  const auto nodes = static_cast<double>(topology_->FloorNodes());
  const double rate = 1 - static_cast<double>(reserved) / nodes;
  const double concurrency = limit[LimitResource::kConcurrency];
  // Floors of concurrency are whole requests, and any node may have one of the
  // remainder.
  const double reserved_concurrency =
      std::min(concurrency,
               static_cast<double>(reserved) * std::ceil(concurrency / nodes));
  return {rate, rate,
          concurrency > 0 ? 1 - reserved_concurrency / concurrency : 0};
}

LimitVector LimitOwner::Held(Time now, const ContractId& contract) const {
  LimitVector held;
  for (const auto& [shard, owned] : shards_) {
    held = held + owned.granter.Held(now, contract);
  }
  return held;
}

void LimitOwner::DropExpired(Time now) {
  for (auto& [shard, owned] : shards_) {
    owned.granter.DropExpired(now);
  }
}

}  // namespace gcw
