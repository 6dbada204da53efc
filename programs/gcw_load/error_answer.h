#ifndef PROGRAMS_GCW_LOAD_ERROR_ANSWER_H_
#define PROGRAMS_GCW_LOAD_ERROR_ANSWER_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "transport/transport.h"

namespace gcw {

// `{"error":{"type","retry_after_ms"}}` as nodes and engines tell it.
struct ErrorAnswer {
  std::string type;
  std::optional<Duration> retry_after;
};

// Absent unless the text is an object with an `error` that has a type.
std::optional<ErrorAnswer> ReadErrorAnswer(std::string_view text);

// What an answer without success says about the request.
enum class FailedAnswerKind {
  // It was not run and will not be.
  kNotRun,
  // It ran, may have run, or ran in part.
  kUnknown,
};

struct FailedAnswer {
  FailedAnswerKind kind = FailedAnswerKind::kUnknown;
  // The error's type, or "status_NNN" where it names none.
  std::string type;
  // From the body, else from `Retry-After`.
  std::optional<Duration> retry_after;
  // The same request will be refused again.
  bool permanent = false;
};

// Reads an answer whose status is not 2xx. Only an answer that names a type, or
// a status that speaks of the request itself, is believed not to have run.
FailedAnswer ReadFailedAnswer(const HttpResponse& response);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ERROR_ANSWER_H_
