#ifndef PROGRAMS_GCW_LOAD_ANSWER_VERDICT_H_
#define PROGRAMS_GCW_LOAD_ANSWER_VERDICT_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/protocol.h"

namespace gcw {

// How an answer with status 200 violates what callers are promised.
enum class AnswerFault {
  // An event or the body cannot be decoded.
  kMalformed,
  // Part of the expected text is lost, repeated or out of order.
  kOutOfOrder,
  // Text that is not in the expected answer: another request's, or a mixture.
  kForeignText,
  // The id of another attempt, or ids of two requests in one stream.
  kForeignId,
  // The answer is marked complete and has less text than expected.
  kShort,
  // The HTTP response ended properly without `data: [DONE]`.
  kDoneMissing,
  // Anything follows `data: [DONE]`, including a second one.
  kAfterDone,
  // The stream reported an error and then went on or ended properly.
  kEndAfterError,
};

std::string_view AnswerFaultName(AnswerFault fault);

// What an answer is compared with.
struct ExpectedAnswer {
  // Absent if no reference answer is known; then only the form is checked.
  std::optional<std::string> text;
  // Empty if the caller does not choose the attempt's id.
  AttemptId attempt;
};

// The answer is complete and belongs to the request.
struct CompleteVerdict {};
// The answer ended in a way that no caller can mistake for a complete one.
// `type` is the error that it reported, or the failure of its connection.
struct BrokenVerdict {
  std::string type;
};
// The answer looks complete and is not, or contains another request's content.
struct ViolationVerdict {
  AnswerFault fault = AnswerFault::kMalformed;
};

using AnswerVerdict =
    std::variant<CompleteVerdict, BrokenVerdict, ViolationVerdict>;

// Checks the body of a non-streamed answer that ended properly.
AnswerVerdict CheckWholeAnswer(std::string_view body,
                               const ExpectedAnswer& expected);

// Checks that the stand-in service echoes `key`. Without `reference` every
// answer passes, because other services echo nothing.
AnswerVerdict CheckServiceAnswer(std::string_view body,
                                 const std::string& key,
                                 bool reference);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ANSWER_VERDICT_H_
