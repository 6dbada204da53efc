#ifndef COORDINATION_GATEWAY_FORWARD_REQUEST_H_
#define COORDINATION_GATEWAY_FORWARD_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "coordination/gateway/urgency.h"
#include "coordination/requests/request.h"
#include "state/state.h"

namespace gcw {

// Names an open request within one run of a node.
using ForwardId = StrongNumber<struct ForwardIdTag>;

// What the decisions need of a request that is passed on as it is.
struct ForwardRequest {
  // As the caller named this try; endpoints echo it.
  RequestId id;
  std::string host;
  // Without the query.
  std::string path;
  // Empty where the caller sent none.
  std::string key;
  // How long the caller waits; absent where it did not say.
  std::optional<Duration> patience;
  // Empty for plain services.
  ModelId model;
  TokenCount prompt_tokens;
  TokenCount max_generated_tokens;
  // The caller has the stream's events up to this one.
  std::optional<std::int64_t> resume_after;
};

// Send the request to this endpoint.
struct SendForward {
  VmId vm;
  Address address;
  CustomerId customer;
  // What is left of the caller's time and the route's.
  Duration time_left;
  // The stream goes on after this event; absent at its beginning.
  std::optional<std::int64_t> resume_after;
  // A connection that may have died unseen must not carry it.
  bool fresh_connection = false;
  bool streams = false;
  // Whose waiting requests the endpoint should begin first: by rank, within one
  // rank by urgency. Absent for endpoints that take requests as they come.
  std::optional<Precedence> precedence;
};

// The caller gets the endpoint's answer as it is.
struct PassAnswer {};

// Final: not run, and never will be.
struct ForwardRefused {
  RefusalKind kind = RefusalKind::kNoEndpoint;
  // Zero where coming back does not help.
  Duration retry_after;
};

// Final: it may have run.
struct ForwardUnknown {
  // The time ran out, rather than the endpoint.
  bool timed_out = false;
};

// Final: a stream whose beginning the caller has cannot be finished.
struct ForwardCut {};

using ForwardStep = std::variant<SendForward,
                                 PassAnswer,
                                 ForwardRefused,
                                 ForwardUnknown,
                                 ForwardCut>;

enum class ForwardEndKind {
  // The whole answer was a success.
  kSucceeded,
  // The endpoint's own whole answer is a failure.
  kFailedThere,
  // The endpoint said that it did not run it.
  kNotRun,
  // The endpoint's address belongs to another VM now; it was not run.
  kOtherVm,
  // No byte of it was given to the kernel.
  kNothingSent,
  // The connection broke or the answer was no proper one.
  kBroke,
  // Nothing came for too long.
  kSilent,
  // The time given to the attempt is over.
  kOutOfTime,
};

std::string_view ForwardEndKindName(ForwardEndKind kind);

// How an attempt ended.
struct ForwardEnd {
  ForwardEndKind kind = ForwardEndKind::kBroke;
  // The VM that the endpoint says is at fault; empty where it names none.
  VmId at_fault;
  // The caller has bytes of the answer.
  bool delivered = false;
  // The last whole event that the caller has.
  std::optional<std::int64_t> last_event;
  // The endpoint's failure asks to be passed on rather than tried again.
  bool is_callers_fault = false;
};

// What an endpoint says of its load in an answer.
struct LoadReading {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t places = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FORWARD_REQUEST_H_
