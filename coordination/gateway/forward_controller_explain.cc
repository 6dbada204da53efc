// Explains to operators where a request would go.

#include <algorithm>
#include <utility>

#include "coordination/gateway/forward_controller.h"
#include "coordination/gateway/placement/capacity_demand.h"

namespace gcw {
namespace {

// Returns the service that gets most requests of the route.
const ServiceId& MainService(const RouteRule& route) {
  return std::max_element(
             route.shares.begin(), route.shares.end(),
             [](const ServiceShare& left, const ServiceShare& right) {
               return left.weight < right.weight;
             })
      ->service;
}

}  // namespace

bool ForwardController::ExplainCustomer(const RouteQuery& query,
                                        const RouteTable& routes,
                                        const RouteRule& route,
                                        RouteExplanation& explanation) {
  explanation.rank = route.rank;
  const auto& customers = routes.configuration().customers;
  const auto customer = std::find_if(
      customers.begin(), customers.end(), [&](const CustomerKeys& keys) {
        return keys.customer == query.customer && !query.customer.empty();
      });
  if (customer == customers.end()) {
    return !routes.needs_keys() || route.allows_anonymous;
  }
  explanation.customer = customer->customer;
  explanation.rank = customer->rank.value_or(route.rank);
  return true;
}

std::optional<Address> ForwardController::ExplainRelay(
    Time now,
    const ReplicaDemand& demand) const {
  std::optional<Time> failing_since = selector_->FailingSince(now, demand);
  if (!failing_since && reachability_->is_cut()) {
    failing_since = reachability_->last_contact();
  }
  if (!failing_since) {
    return std::nullopt;
  }
  // Choose draws from the random source, of which the copy has its own state.
  const RelaySelector copy = *relays_;
  return copy.Choose(now, demand.service, demand.model, *failing_since, {});
}

RouteExplanation ForwardController::Explain(
    Time now,
    const RouteQuery& query,
    std::shared_ptr<const RouteTable> routes) const {
  RouteExplanation explanation;
  if (!routes) {
    explanation.refusal = RefusalKind::kNotReady;
    return explanation;
  }
  explanation.version = routes->configuration().version;
  const RouteRule* route = routes->Find(query.host, query.path);
  if (route == nullptr) {
    explanation.refusal = RefusalKind::kUnknownService;
    return explanation;
  }
  explanation.route = route->name;
  explanation.shares = route->shares;
  explanation.service =
      query.service.empty() ? MainService(*route) : query.service;
  const bool has_service =
      std::any_of(route->shares.begin(), route->shares.end(),
                  [&](const ServiceShare& share) {
                    return share.service == explanation.service;
                  });
  if (!has_service) {
    explanation.refusal = RefusalKind::kUnknownService;
    return explanation;
  }
  if (!ExplainCustomer(query, *routes, *route, explanation)) {
    explanation.refusal = RefusalKind::kUnknownKey;
    return explanation;
  }
  OpenRequest open_request;
  open_request.request.model = query.model;
  open_request.request.prompt_tokens = query.prompt_tokens;
  open_request.routes = std::move(routes);
  open_request.route = route;
  open_request.service = explanation.service;
  open_request.customer = explanation.customer;
  open_request.rank = explanation.rank;
  if (HasModels(open_request)) {
    const OverloadSettings& overload = settings_.overload;
    open_request.is_ranked =
        overload.is_enabled && overload.admits_by_rank &&
        FindRankedServices(open_request.routes->configuration())
            .contains(open_request.service);
    explanation.deferral = PredictDeferral(now, open_request);
    open_request.urgency =
        explanation.deferral ? Urgency::kDeferred : Urgency::kOnTime;
    explanation.urgency = open_request.urgency;
  }
  const ReplicaDemand demand = MakeDemand(open_request);
  explanation.selection = selector_->Explain(now, demand);
  explanation.refusal = explanation.selection.refusal;
  if (reachability_->is_cut() ||
      explanation.refusal == RefusalKind::kNoEndpoint) {
    explanation.relay_node = ExplainRelay(now, demand);
  }
  if (explanation.relay_node) {
    explanation.refusal.reset();
  }
  return explanation;
}

}  // namespace gcw
