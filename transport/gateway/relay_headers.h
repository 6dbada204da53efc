#ifndef TRANSPORT_GATEWAY_RELAY_HEADERS_H_
#define TRANSPORT_GATEWAY_RELAY_HEADERS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "coordination/coordination.h"
#include "transport/http_types.h"

namespace gcw {

// Headers of requests that nodes pass on to each other, and of their answers.

// The terms of a request that another node passes on.
inline constexpr std::string_view kRelayHeader = "Gcw-Relay";
// Why the node refused the request, which it did not run.
inline constexpr std::string_view kRelayRefusalHeader = "Gcw-Refusal";
// No endpoint has received the request that the node refused.
inline constexpr std::string_view kRelayUnsentHeader = "Gcw-Unsent";
// The endpoint that answered.
inline constexpr std::string_view kRelayEndpointHeader = "Gcw-Endpoint";

// What the head of an answer says that came through another node.
struct RelayAnswer {
  std::optional<RefusalKind> refusal;
  bool is_unsent = false;
  // Empty if the other node answers itself.
  VmId endpoint;
};

// Removes the headers above, which callers may not set and do not receive.
void RemoveRelayHeaders(std::vector<HttpHeader>& headers);

RelayAnswer ReadRelayAnswer(const HttpResponse& head);

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_RELAY_HEADERS_H_
