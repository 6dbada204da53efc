#ifndef PROGRAMS_GCW_LOAD_ANSWER_VERDICT_H_
#define PROGRAMS_GCW_LOAD_ANSWER_VERDICT_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/protocol.h"

namespace gcw {

// How an answer with status 200 breaks the promise to callers.
enum class AnswerFault {
  // An event or body that cannot be read.
  kMalformed,
  // A piece of its own text in the wrong place: lost, twice or out of order.
  kOutOfOrder,
  // Text that no whole answer to this prompt has: another's, or mixed.
  kForeignText,
  // The id of another attempt, or of two requests in one stream.
  kForeignId,
  // It claims to be whole and has less text than asked for.
  kShort,
  // It ended properly without `data: [DONE]`.
  kDoneMissing,
  // Something follows `data: [DONE]`, also a second one.
  kAfterDone,
  // It told an error and then ended as if it were whole.
  kEndAfterError,
};

std::string_view AnswerFaultName(AnswerFault fault);

// What an answer must be.
struct ExpectedAnswer {
  // Absent where no reference is known; then only the form is checked.
  std::optional<std::string> text;
  // Empty where the attempt's id is not the caller's choice.
  AttemptId attempt;
};

// It is whole and its own.
struct WholeVerdict {};
// It ended in a way that no caller can take for whole; `type` is the error that
// it told, or the failure of its connection.
struct BrokenVerdict {
  std::string type;
};
// It looks whole and is not, or holds what is not its own.
struct ViolationVerdict {
  AnswerFault fault = AnswerFault::kMalformed;
};

using AnswerVerdict =
    std::variant<WholeVerdict, BrokenVerdict, ViolationVerdict>;

// Checks the body of an answer that was asked for whole and ended properly.
AnswerVerdict CheckWholeAnswer(std::string_view body,
                               const ExpectedAnswer& expected);

// Checks the stand-in service's answer to a call with this key and body. An
// answer of another service, which echoes nothing, passes without `reference`.
AnswerVerdict CheckServiceAnswer(std::string_view body,
                                 const std::string& key,
                                 bool reference);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_ANSWER_VERDICT_H_
