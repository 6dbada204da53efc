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

// What the head of an endpoint's answer says.
struct AnswerHead {
  // It answers this attempt and no other.
  bool is_ours = false;
  // It bears the endpoint's proof that it made the answer.
  bool is_signed = false;
  // The endpoint did not run the request.
  bool is_not_run = false;
  // The address belongs to another VM.
  bool is_other_vm = false;
  // The body is not what the endpoint's application made, such as a coded one.
  bool is_altered = false;
  // The VM that is named as the cause; may be empty.
  VmId at_fault;
  std::optional<LoadReading> load;
};

// How requests and answers are spelled on both sides of a node. Everything that
// a platform spells in its own way is behind these hooks.
struct GatewayDialect {
  // Callers.
  std::function<ForwardRequest(const HttpRequest&)> read_request;
  std::function<HttpResponse(const ForwardRefused&)> make_refusal;
  std::function<HttpResponse(const ForwardUnknown&)> make_unknown;
  std::function<HttpResponse(const std::vector<Address>&, Duration keep)>
      make_entries;

  // Endpoints.
  std::function<HttpRequest(const HttpRequest& original, const SendForward&)>
      make_attempt;
  std::function<AnswerHead(const HttpResponse& head, const RequestId&)>
      read_answer;
  std::function<HttpRequest(const VmId&, const GroupOrder&)> make_order;
  std::function<GroupOrderVerdict(int status)> read_order;
  std::function<HttpRequest(const VmId&)> make_probe;
  std::function<ProbeReport(const HttpResponse&)> read_probe;

  // The key-value service.
  std::function<HttpRequest(const StoreCall&)> make_store_call;
  std::function<StoreReply(const StoreCall&, const HttpResponse&)>
      read_store_reply;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_GATEWAY_DIALECT_H_
