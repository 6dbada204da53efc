#ifndef TRANSPORT_GATEWAY_GATEWAY_DIALECT_H_
#define TRANSPORT_GATEWAY_GATEWAY_DIALECT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/coordination.h"
#include "transport/http_types.h"

namespace gcw {

// The information in the head of an endpoint's answer.
struct AnswerHead {
  // The answer echoes the request id, so it does not belong to another request.
  // Always true if the request has no id.
  bool matches_request = false;
  // The answer carries the endpoint's proof that it produced the answer.
  bool has_proof = false;
  // The endpoint did not execute the request.
  bool is_not_executed = false;
  // The address belongs to another VM.
  bool is_misdirected = false;
  // The body is not as the endpoint's application produced it, for example
  // because it has a content coding.
  bool has_content_coding = false;
  // The VM that the endpoint names as the cause of a failure; may be empty.
  VmId at_fault;
  // What the endpoint says of itself.
  EndpointReport report;
};

// Hooks that encode and decode the platform's formats of requests and answers,
// towards callers, endpoints and the key-value service.
struct GatewayDialect {
  // Messages exchanged with callers.
  std::function<ForwardRequest(const HttpRequest&)> read_request;
  std::function<HttpResponse(const ForwardRefused&)> make_refused_response;
  std::function<HttpResponse(const ForwardOutcomeUnknown&)>
      make_unknown_outcome_response;
  std::function<HttpResponse(const std::vector<Address>&, Duration keep)>
      make_address_list;

  // Messages exchanged with endpoints.
  std::function<HttpRequest(const HttpRequest& original, const SendForward&)>
      make_attempt_request;
  // Makes the request that another node gets in the caller's place.
  std::function<HttpRequest(const HttpRequest& original, const RelayForward&)>
      make_relay_request;
  std::function<AnswerHead(const HttpResponse& head, const RequestId&)>
      read_answer;
  std::function<HttpRequest(const VmId&, const GroupOrder&)> make_order_request;
  std::function<GroupOrderResult(int status)> read_order_verdict;
  std::function<HttpRequest(const VmId&)> make_probe_request;
  std::function<ProbeReport(const HttpResponse&)> read_probe_report;

  // Messages exchanged with the key-value service.
  std::function<HttpRequest(const StoreCall&)> make_store_request;
  std::function<StoreReply(const StoreCall&, const HttpResponse&)>
      read_store_reply;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_GATEWAY_DIALECT_H_
