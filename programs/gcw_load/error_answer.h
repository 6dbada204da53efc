#ifndef PROGRAMS_GCW_LOAD_ERROR_ANSWER_H_
#define PROGRAMS_GCW_LOAD_ERROR_ANSWER_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "transport/transport.h"

namespace gcw {

// An error object `{"error":{"type","retry_after_ms"}}` of a node or engine.
struct ErrorAnswer {
  std::string type;
  std::optional<Duration> retry_after;
};

// Decodes an error object; absent unless it has an `error` with a type.
std::optional<ErrorAnswer> ReadErrorAnswer(std::string_view text);

// What an error response says about the execution of the request.
enum class FailedAnswerKind {
  // The request did not run and will not.
  kNotRun,
  // The request ran, may have run, or ran in part.
  kUnknown,
};

struct FailedAnswer {
  FailedAnswerKind kind = FailedAnswerKind::kUnknown;
  // The error's type, or "status_NNN" if the response has none.
  std::string type;
  // Taken from the body, otherwise from the `Retry-After` header.
  std::optional<Duration> retry_after;
  // True if the same request would be refused again.
  bool permanent = false;
};

// Classifies a response whose status is not 2xx. The request counts as not run
// only if the response has an error type or a status below 500, and its status
// is neither 500 nor 502, which report an unknown outcome.
FailedAnswer ReadFailedAnswer(const HttpResponse& response);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ERROR_ANSWER_H_
