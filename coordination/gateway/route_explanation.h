#ifndef COORDINATION_GATEWAY_ROUTE_EXPLANATION_H_
#define COORDINATION_GATEWAY_ROUTE_EXPLANATION_H_

#include <optional>
#include <string>
#include <vector>

#include "coordination/gateway/overload/deferral_reason.h"
#include "coordination/gateway/replica_explanation.h"
#include "coordination/gateway/urgency.h"
#include "state/state.h"

namespace gcw {

// A request whose routing operators ask for.
struct RouteQuery {
  std::string host;
  // The path without the query.
  std::string path;
  // Empty for plain services.
  ModelId model;
  // Empty if the caller sends no key.
  CustomerId customer;
  TokenCount prompt_tokens;
  // One of the route's services; empty for the one with the largest weight.
  ServiceId service;
};

// Where a request would go now, and why.
struct RouteExplanation {
  // Zero if no configuration is known.
  ConfigurationVersion version;
  // Empty if no route matches.
  std::string route;
  std::vector<ServiceShare> shares;
  ServiceId service;
  // Empty if the request counts as one without a customer.
  CustomerId customer;
  Rank rank;
  // Absent for plain services, and if the request would be refused before its
  // urgency is known.
  std::optional<Urgency> urgency;
  // Set if the request would be deferred.
  std::optional<DeferralReason> deferral;
  // Set if the request would be refused.
  std::optional<RefusalKind> refusal;
  // Set if the request would be passed on to another node.
  std::optional<Address> relay_node;
  SelectionExplanation selection;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_ROUTE_EXPLANATION_H_
