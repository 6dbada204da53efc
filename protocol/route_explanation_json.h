#ifndef PROTOCOL_ROUTE_EXPLANATION_JSON_H_
#define PROTOCOL_ROUTE_EXPLANATION_JSON_H_

#include <string>

#include "coordination/coordination.h"

namespace gcw {

// Where a request would go and why, for operators.
std::string EncodeRouteExplanation(const RouteExplanation& explanation);

}  // namespace gcw

#endif  // PROTOCOL_ROUTE_EXPLANATION_JSON_H_
