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
  bool is_ours = false;
  // The answer carries the endpoint's proof that it produced the answer.
  bool is_signed = false;
  // The endpoint did not execute the request.
  bool is_not_run = false;
  // The address belongs to another VM.
  bool is_other_vm = false;
  // The body is not as the endpoint's application produced it, for example
  // because it has a content coding.
  bool is_altered = false;
  // The VM that the endpoint names as the cause of a failure; may be empty.
  VmId at_fault;
  std::optional<LoadReading> load;
};

// Hooks that encode and decode the platform's formats of requests and answers,
// towards callers, endpoints and the key-value service.
struct GatewayDialect {
  // Messages exchanged with callers.
  std::function<ForwardRequest(const HttpRequest&)> read_request;
  std::function<HttpResponse(const ForwardRefused&)> make_refusal;
  std::function<HttpResponse(const ForwardOutcomeUnknown&)> make_unknown;
  std::function<HttpResponse(const std::vector<Address>&, Duration keep)>
      make_entries;

  // Messages exchanged with endpoints.
  std::function<HttpRequest(const HttpRequest& original, const SendForward&)>
      make_attempt;
  std::function<AnswerHead(const HttpResponse& head, const RequestId&)>
      read_answer;
  std::function<HttpRequest(const VmId&, const GroupOrder&)> make_order;
  std::function<GroupOrderResult(int status)> read_order;
  std::function<HttpRequest(const VmId&)> make_probe;
  std::function<ProbeReport(const HttpResponse&)> read_probe;

  // Messages exchanged with the key-value service.
  std::function<HttpRequest(const StoreCall&)> make_store_call;
  std::function<StoreReply(const StoreCall&, const HttpResponse&)>
      read_store_reply;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_GATEWAY_DIALECT_H_
