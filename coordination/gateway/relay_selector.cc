#include "coordination/gateway/relay_selector.h"

#include <algorithm>
#include <utility>

namespace gcw {

RelaySelector::RelaySelector(RelaySelectorSettings settings,
                             ZoneId zone,
                             Random random)
    : settings_(settings), zone_(std::move(zone)), random_(std::move(random)) {}

void RelaySelector::OnReport(Time now,
                             const Address& node,
                             const ZoneId& zone,
                             const ReachReport& report) {
  suggested_.erase(node);
  for (const Address& relay : report.relays) {
    if (suggested_.size() < settings_.max_suggestions &&
        !candidates_.contains(relay)) {
      suggested_.insert(relay);
    }
  }
  const auto known = candidates_.find(node);
  const bool is_useful = report.accepts_relays && !report.services.empty();
  if (!is_useful) {
    // The node answers, so requests that it has still run.
    if (known != candidates_.end()) {
      known->second.report = report;
      known->second.reported = now;
    }
    return;
  }
  if (known == candidates_.end() &&
      candidates_.size() >= settings_.max_candidates) {
    return;
  }
  Candidate& candidate = candidates_[node];
  candidate.zone = zone;
  candidate.report = report;
  candidate.reported = now;
}

void RelaySelector::OnFailed(Time now, const Address& node) {
  const auto found = candidates_.find(node);
  if (found != candidates_.end()) {
    found->second.cooldown_until = now + settings_.cooldown;
  }
}

void RelaySelector::OnEnded(const Address& node) {
  const auto found = open_relays_.find(node);
  if (found != open_relays_.end() && --found->second <= 0) {
    open_relays_.erase(found);
  }
}

void RelaySelector::Tick(Time now) {
  std::erase_if(candidates_, [&](const auto& entry) {
    return now - entry.second.reported >= settings_.report_ttl &&
           !open_relays_.contains(entry.first);
  });
  if (last_demand_ && now - *last_demand_ >= settings_.demand_ttl) {
    last_demand_.reset();
    suggested_.clear();
  }
}

bool RelaySelector::IsUsable(Time now, const Candidate& candidate) const {
  return candidate.report.accepts_relays &&
         now - candidate.reported < settings_.report_ttl &&
         now >= candidate.cooldown_until;
}

bool RelaySelector::Reaches(const Candidate& candidate,
                            const ServiceId& service,
                            const ModelId& model,
                            Time last_contact) const {
  return std::any_of(candidate.report.services.begin(),
                     candidate.report.services.end(),
                     [&](const ServiceReach& reach) {
                       return reach.service == service &&
                              reach.model == model && reach.usable > 0 &&
                              reach.contact_age <= settings_.max_contact_age &&
                              candidate.reported - reach.contact_age >=
                                  last_contact + settings_.min_contact_lead;
                     });
}

std::int64_t RelaySelector::CostOf(const Address& node,
                                   const Candidate& candidate) const {
  const auto own = open_relays_.find(node);
  return candidate.report.open_requests +
         (own == open_relays_.end() ? 0 : own->second) +
         (candidate.zone == zone_ ? 0 : settings_.cross_zone_penalty);
}

std::optional<Address> RelaySelector::Choose(
    Time now,
    const ServiceId& service,
    const ModelId& model,
    Time last_contact,
    std::span<const Address> excluded) const {
  std::vector<const std::pair<const Address, Candidate>*> usable;
  for (const auto& entry : candidates_) {
    if (IsUsable(now, entry.second) &&
        Reaches(entry.second, service, model, last_contact) &&
        std::find(excluded.begin(), excluded.end(), entry.first) ==
            excluded.end()) {
      usable.push_back(&entry);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  // The better of two random nodes: all nodes that lack endpoints would
  // otherwise choose the same one until its next report.
  const auto* first = usable[DrawBelow(random_, usable.size())];
  const auto* second = usable[DrawBelow(random_, usable.size())];
  return CostOf(first->first, first->second) <=
                 CostOf(second->first, second->second)
             ? first->first
             : second->first;
}

bool RelaySelector::TakeQuery(Time now, bool is_suspected) {
  if ((!is_suspected && !last_demand_ && open_relays_.empty()) ||
      now < next_query_) {
    return false;
  }
  next_query_ = now + settings_.query_interval;
  return true;
}

std::vector<Address> RelaySelector::TakeNodesToAsk() {
  std::vector<Address> nodes;
  for (const auto& [node, open] : open_relays_) {
    if (nodes.size() < settings_.max_candidates) {
      nodes.push_back(node);
    }
  }
  for (const Address& node : std::exchange(suggested_, {})) {
    if (!open_relays_.contains(node)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::vector<Address> RelaySelector::Suggestions(Time now) const {
  std::vector<Address> nodes;
  for (const auto& [node, candidate] : candidates_) {
    if (nodes.size() < settings_.max_suggestions && IsUsable(now, candidate)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

bool RelaySelector::IsAlive(Time now, const Address& node) const {
  const auto found = candidates_.find(node);
  return found != candidates_.end() &&
         now - found->second.reported < settings_.report_ttl;
}

}  // namespace gcw
