#include "coordination/gateway/placement/capacity_demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gcw {

double EngineLoad(const EngineProfile& profile,
                  double prompt_tokens,
                  double requests) {
  const double prompt_ms =
      prompt_tokens / std::max(1e-9, profile.prompt_tokens_per_ms);
  // A request occupies its slot for its own steps, stretched by the prompts
  // that are read meanwhile: slots = rate * steps / (1 - rate * prompt).
  const auto rate_with = [&](double slots) {
    const double steps_ms =
        profile.typical_output_tokens *
        (profile.step_ms + profile.step_ms_per_request * slots);
    return slots / (steps_ms + slots * prompt_ms);
  };
  const auto slots = static_cast<double>(profile.batch_limit);
  const double running = std::clamp(requests, 0.0, slots);
  return running <= 0 ? 0
                      : rate_with(running) / rate_with(slots) *
                            std::max(1.0, requests / slots);
}

std::set<ServiceId> FindRankedServices(
    const FleetConfiguration& configuration) {
  std::map<ServiceId, Rank> first_ranks;
  for (const ServiceRule& service : configuration.services) {
    if (service.engine) {
      first_ranks.emplace(service.id, Rank());
    }
  }
  std::set<ServiceId> seen;
  std::set<ServiceId> ranked;
  for (const RouteRule& route : configuration.routes) {
    for (const ServiceShare& share : route.shares) {
      const auto first = first_ranks.find(share.service);
      if (first == first_ranks.end()) {
        continue;
      }
      if (seen.insert(share.service).second) {
        first->second = route.rank;
      } else if (first->second != route.rank) {
        ranked.insert(share.service);
      }
    }
  }
  return ranked;
}

void CapacityDemand::OnRequest(const ModelId& model,
                               Rank rank,
                               TokenCount prompt_tokens) {
  const auto found = estimates_.find(model);
  if (found == estimates_.end()) {
    return;
  }
  // Weight of one request in the averages.
  constexpr double kWeight = 0.05;
  Estimate& estimate = found->second;
  const auto rank_value = static_cast<double>(rank.value());
  const auto tokens = static_cast<double>(prompt_tokens.value());
  if (!estimate.rank) {
    estimate.rank = rank_value;
    estimate.prompt_tokens = tokens;
    return;
  }
  *estimate.rank += kWeight * (rank_value - *estimate.rank);
  estimate.prompt_tokens += kWeight * (tokens - estimate.prompt_tokens);
}

void CapacityDemand::OnGroupLoad(Time now,
                                 const EngineProfile& profile,
                                 const ModelId& model,
                                 double requests,
                                 std::size_t groups) {
  const auto [it, is_new] = estimates_.try_emplace(model);
  Estimate& estimate = it->second;
  const double prompt_tokens =
      estimate.rank ? estimate.prompt_tokens : profile.typical_prompt_tokens;
  const double load = std::min(settings_.max_load,
                               EngineLoad(profile, prompt_tokens, requests));
  const double needed = load * static_cast<double>(groups);
  if (is_new) {
    estimate = {needed, now, now};
    return;
  }
  const double elapsed =
      static_cast<double>((now - estimate.updated).millis()) /
      static_cast<double>(settings_.averaging_time.millis());
  estimate.needed_groups += (1 - std::exp(-std::max(0.0, elapsed))) *
                            (needed - estimate.needed_groups);
  estimate.updated = now;
}

double CapacityDemand::NeededVms(const ModelProfile& model,
                                 const Estimate& estimate) const {
  return (estimate.needed_groups + settings_.spare_groups) *
         static_cast<double>(model.group_size);
}

EngineProfile CapacityDemand::ApplyTo(Time now,
                                      const EngineProfile& profile) const {
  double total_vms = 0;
  std::optional<double> most_urgent;
  for (const ModelProfile& model : profile.models) {
    const auto found = estimates_.find(model.model);
    if (found == estimates_.end() ||
        now - found->second.first_report < settings_.averaging_time) {
      return profile;
    }
    const Estimate& estimate = found->second;
    total_vms += NeededVms(model, estimate);
    if (estimate.rank) {
      most_urgent =
          std::min(most_urgent.value_or(*estimate.rank), *estimate.rank);
    }
  }
  if (total_vms <= 0) {
    return profile;
  }
  EngineProfile corrected = profile;
  for (ModelProfile& model : corrected.models) {
    const Estimate& estimate = estimates_.at(model.model);
    model.work_share = NeededVms(model, estimate) / total_vms;
    if (estimate.rank) {
      model.importance =
          std::pow(settings_.rank_discount, *estimate.rank - *most_urgent);
    }
  }
  return corrected;
}

double CapacityDemand::NeededGroups(const ModelId& model) const {
  const auto found = estimates_.find(model);
  return found == estimates_.end() ? 0 : found->second.needed_groups;
}

}  // namespace gcw
