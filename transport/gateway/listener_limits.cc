#include "transport/gateway/listener_limits.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

constexpr std::size_t kPercent = 100;
// Files, listeners and the like.
constexpr std::size_t kOtherDescriptors = 200;
constexpr std::size_t kMinConnections = 64;
// A listener's memory divided by this is the maximum number of connections, so
// that the connections themselves leave most of it to requests.
constexpr std::size_t kMemoryPerConnection = 16UL * 1024;

struct Share {
  // Maximum number of connections.
  std::size_t connections;
  // Connections of the whole process, in percent, from which on the listener
  // takes no more. The rest is for calls to endpoints, other nodes and the
  // store.
  std::size_t process_connections;
  // Percentage of the process's memory for requests and unsent responses. The
  // rest is for buffered answers of endpoints, for what the node knows, and for
  // bytes in the kernel, which count too.
  std::size_t memory;
  bool responds_immediately;
};

Share ShareOf(GatewayListener listener, std::size_t max_caller_connections) {
  switch (listener) {
    case GatewayListener::kCallers:
      return {max_caller_connections, 80, 35, false};
    case GatewayListener::kPeers:
      // Each open request of another node has a connection of its own.
      return {1024, 85, 15, false};
    case GatewayListener::kEntries:
      return {256, 90, 1, true};
    case GatewayListener::kReadiness:
    case GatewayListener::kMetrics:
      break;
  }
  return {64, 90, 1, true};
}

}  // namespace

std::size_t MaxConnectionsOfProcess(std::size_t descriptor_limit) {
  return std::max(
      kMinConnections,
      descriptor_limit - std::min(descriptor_limit, kOtherDescriptors));
}

HttpServerLimits MakeListenerLimits(
    GatewayListener listener,
    std::size_t max_caller_connections,
    std::size_t memory_limit,
    std::shared_ptr<DescriptorBudget> descriptors) {
  const Share share = ShareOf(listener, max_caller_connections);
  HttpServerLimits limits;
  limits.max_buffered_bytes = memory_limit / kPercent * share.memory;
  limits.max_blocked_bytes = limits.max_buffered_bytes / 3;
  limits.max_connections = std::min(
      share.connections, std::max(kMinConnections, limits.max_buffered_bytes /
                                                       kMemoryPerConnection));
  limits.max_descriptors =
      descriptors->limit() * share.process_connections / kPercent;
  limits.descriptors = std::move(descriptors);
  limits.responds_immediately = share.responds_immediately;
  return limits;
}

}  // namespace gcw
