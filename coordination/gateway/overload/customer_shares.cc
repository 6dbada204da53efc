#include "coordination/gateway/overload/customer_shares.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace gcw {

bool CustomerShares::HasHadShare(Time now,
                                 const ServiceId& service,
                                 const ModelId& model,
                                 Rank rank,
                                 const CustomerId& customer) const {
  const auto found = models_.find({service, model});
  if (found == models_.end() || !found->second.last_full ||
      now - *found->second.last_full >= settings_.overload_time) {
    return false;
  }
  const auto rank_found = found->second.ranks.find(rank);
  if (rank_found == found->second.ranks.end()) {
    return false;
  }
  const RankState& state = rank_found->second;
  if (state.steps.empty() ||
      now - state.steps.back().begin >= settings_.window) {
    return false;
  }
  const auto own = state.customers.find(customer);
  if (own == state.customers.end() || own->second.prioritized == 0) {
    return false;
  }
  const auto capacity = static_cast<double>(state.started);
  const double proportional_share =
      capacity * own->second.requests / std::max(1, state.requests);
  return own->second.prioritized >=
         std::max(FairShare(state.customers, capacity),
                  settings_.min_fraction * proportional_share);
}

double CustomerShares::FairShare(const Customers& customers, double capacity) {
  std::vector<int> demands;
  demands.reserve(customers.size());
  for (const auto& [customer, counts] : customers) {
    demands.push_back(counts.requests);
  }
  std::sort(demands.begin(), demands.end());
  double left = capacity;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double share = left / static_cast<double>(demands.size() - i);
    if (demands[i] > share) {
      return share;
    }
    left -= demands[i];
  }
  return std::numeric_limits<double>::infinity();
}

void CustomerShares::OnRequest(Time now,
                               const ServiceId& service,
                               const ModelId& model,
                               Rank rank,
                               const CustomerId& customer,
                               bool is_prioritized) {
  // Callers can name any model, so state is kept only for models of which a
  // request started.
  const auto found = models_.find({service, model});
  if (found == models_.end()) {
    return;
  }
  RankState& state = found->second.ranks[rank];
  Step& step = CurrentStep(now, state);
  ++state.requests;
  for (Customers* const customers : {&state.customers, &step.customers}) {
    CustomerCounts& counts = (*customers)[customer];
    ++counts.requests;
    counts.prioritized += is_prioritized ? 1 : 0;
  }
}

void CustomerShares::OnWindowFull(Time now,
                                  const ServiceId& service,
                                  const ModelId& model) {
  const auto found = models_.find({service, model});
  if (found != models_.end()) {
    found->second.last_full = now;
  }
}

void CustomerShares::OnStartedInTime(Time now,
                                     const ServiceId& service,
                                     const ModelId& model,
                                     Rank rank) {
  RankState& state = models_[{service, model}].ranks[rank];
  ++CurrentStep(now, state).started;
  ++state.started;
}

CustomerShares::Step& CustomerShares::CurrentStep(Time now,
                                                  RankState& state) const {
  if (state.steps.empty() || now - state.steps.back().begin >= settings_.step) {
    state.steps.emplace_back().begin = now;
  }
  while (now - state.steps.front().begin >= settings_.window) {
    const Step& oldest = state.steps.front();
    state.started -= oldest.started;
    for (const auto& [customer, counts] : oldest.customers) {
      const auto sum = state.customers.find(customer);
      state.requests -= counts.requests;
      sum->second.requests -= counts.requests;
      sum->second.prioritized -= counts.prioritized;
      if (sum->second.requests == 0) {
        state.customers.erase(sum);
      }
    }
    state.steps.pop_front();
  }
  return state.steps.back();
}

}  // namespace gcw
