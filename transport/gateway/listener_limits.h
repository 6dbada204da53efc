#ifndef TRANSPORT_GATEWAY_LISTENER_LIMITS_H_
#define TRANSPORT_GATEWAY_LISTENER_LIMITS_H_

#include <cstddef>
#include <memory>

#include "transport/descriptor_budget.h"
#include "transport/http_types.h"

namespace gcw {

enum class GatewayListener { kCallers, kReadiness, kEntries, kPeers, kMetrics };

// Returns how many connections a process with this many descriptors may have,
// servers and clients together.
std::size_t MaxConnectionsOfProcess(std::size_t descriptor_limit);

// Divides the memory and the connections of the process, so that clients of one
// listener take nothing from the others.
HttpServerLimits MakeListenerLimits(
    GatewayListener listener,
    std::size_t max_caller_connections,
    std::size_t memory_limit,
    std::shared_ptr<DescriptorBudget> descriptors);

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_LISTENER_LIMITS_H_
