#ifndef COORDINATION_GATEWAY_FORWARD_REQUEST_H_
#define COORDINATION_GATEWAY_FORWARD_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/gateway/urgency.h"
#include "coordination/requests/request.h"
#include "state/state.h"

namespace gcw {

// Identifies an open request within one run of a node.
using ForwardId = StrongNumber<struct ForwardIdTag>;

// What a node says about a request that it passes on to another node.
struct RelayTerms {
  // Number of endpoints that may run the request.
  std::int64_t max_runs = 1;
  // Time since the request arrived at the first node.
  Duration age;
  // Urgency of a request that has been sent before; absent if it has not.
  std::optional<Urgency> urgency;
  // Endpoints that the first node has tried.
  std::vector<VmId> excluded;

  friend bool operator==(const RelayTerms&, const RelayTerms&) = default;
};

// The fields of an unchanged forwarded request that the forwarding decisions
// depend on.
struct ForwardRequest {
  // The caller's id for this attempt; endpoints echo it.
  RequestId id;
  std::string host;
  // The path without the query.
  std::string path;
  // Empty if the caller sent no key.
  std::string key;
  // How long the caller waits; absent if it named no limit.
  std::optional<Duration> caller_timeout;
  // Empty for plain services.
  ModelId model;
  TokenCount prompt_tokens;
  TokenCount max_generated_tokens;
  // The parts of the prompt that other requests may share, in order.
  std::vector<PromptPartId> shared_parts;
  // Last event of the stream that the caller already has.
  std::optional<std::int64_t> resume_after;
  // Hash of host, method, target and body. A caller's next attempt and a
  // resumed stream have the same.
  Fingerprint content;
  // Set if another node passed the request on.
  std::optional<RelayTerms> relay;
};

// Step: the request is sent to this endpoint.
struct SendForward {
  VmId vm;
  Address address;
  CustomerId customer;
  // Remaining time within the caller's limit and the route's.
  Duration time_left;
  // The stream resumes after this event; absent if it starts from the
  // beginning.
  std::optional<std::int64_t> resume_after;
  // The request must not use a pooled connection, which may have been closed
  // without notice.
  bool fresh_connection = false;
  bool streams = false;
  // The request may run again at another endpoint.
  bool is_repeatable = false;
  // Position in the endpoint's queue: by rank, and within a rank by urgency.
  // Absent for endpoints that start requests in order of arrival.
  std::optional<Precedence> precedence;
};

// Step: the request is passed on to another node, which sends it to an
// endpoint.
struct RelayForward {
  Address node;
  Duration time_left;
  // As in SendForward.
  std::optional<std::int64_t> resume_after;
  bool fresh_connection = false;
  bool streams = false;
  bool is_repeatable = false;
  RelayTerms terms;
};

// Step: the request waits, and the next step follows without an event of the
// request.
struct AwaitDecision {};

// Step: the first attempt has failed, and the second one, which runs already,
// takes its place.
struct KeepSecondAttempt {};

// Step: the caller gets the endpoint's answer unchanged.
struct PassAnswer {};

// Final step: the request was not run and never will be.
struct ForwardRefused {
  RefusalKind kind = RefusalKind::kNoEndpoint;
  // Zero if a retry by the caller cannot succeed.
  Duration retry_after;
  // No endpoint has received the request.
  bool is_unsent = false;
};

// Final step: the request may have run.
struct ForwardOutcomeUnknown {
  // True if the deadline passed, false if the endpoint failed.
  bool timed_out = false;
};

// Final step: the caller has part of a stream that cannot be completed.
struct ForwardTruncated {};

using ForwardStep = std::variant<SendForward,
                                 RelayForward,
                                 AwaitDecision,
                                 KeepSecondAttempt,
                                 PassAnswer,
                                 ForwardRefused,
                                 ForwardOutcomeUnknown,
                                 ForwardTruncated>;

enum class ForwardEndKind {
  // The endpoint answered in full and with success.
  kSucceeded,
  // The endpoint answered in full with a failure of its own.
  kEndpointFailed,
  // The endpoint stated that it did not run the request.
  kNotRun,
  // The endpoint's address now belongs to another VM; the request was not run.
  kOtherVm,
  // No byte of the request was handed to the kernel.
  kNothingSent,
  // The connection broke or the answer was malformed.
  kConnectionBroken,
  // The endpoint sent nothing for too long.
  kSilent,
  // The attempt's deadline passed.
  kDeadlineExceeded,
};

std::string_view ForwardEndKindName(ForwardEndKind kind);

// How an attempt ended.
struct ForwardEnd {
  ForwardEndKind kind = ForwardEndKind::kConnectionBroken;
  // The VM that the endpoint says is at fault; empty if it names none.
  VmId at_fault;
  // The endpoint closed the connection before the end of its answer.
  bool closed_by_endpoint = false;
  // The caller has received bytes of the answer.
  bool delivered = false;
  // Last complete event that the caller has received.
  std::optional<std::int64_t> last_event;
  // The failure was caused by the request, so it is passed on and not retried.
  bool is_client_error = false;
  // Why the node refused that the request was passed on to.
  std::optional<RefusalKind> refusal;
  // That node says that no endpoint has received the request.
  bool is_unsent = false;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FORWARD_REQUEST_H_
