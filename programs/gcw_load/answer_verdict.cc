#include "programs/gcw_load/answer_verdict.h"

namespace gcw {
namespace {

// Engines give the attempt; nodes omit it.
struct WholeAnswer {
  AttemptId attempt;
  std::string text;
};

std::string ReadChoice(JsonReader& reader) {
  return reader.Object(
      "message", [](JsonReader& message) { return message.String("content"); });
}

WholeAnswer ReadWholeAnswer(JsonReader& reader) {
  WholeAnswer answer;
  if (reader.IsPresent("attempt")) {
    answer.attempt = reader.TextId<AttemptId>("attempt");
  }
  const auto texts = reader.List("choices", ReadChoice);
  if (texts.size() == 1) {
    answer.text = texts.front();
  } else {
    reader.Fail(CodecErrorKind::kOutOfRange, "choices");
  }
  return answer;
}

}  // namespace

std::string_view AnswerFaultName(AnswerFault fault) {
  switch (fault) {
    case AnswerFault::kMalformed:
      return "malformed";
    case AnswerFault::kOutOfOrder:
      return "out_of_order";
    case AnswerFault::kForeignText:
      return "foreign_text";
    case AnswerFault::kForeignId:
      return "foreign_id";
    case AnswerFault::kShort:
      return "short";
    case AnswerFault::kDoneMissing:
      return "done_missing";
    case AnswerFault::kAfterDone:
      return "after_done";
    case AnswerFault::kEndAfterError:
      return "end_after_error";
  }
  return "unknown";
}

AnswerVerdict CheckWholeAnswer(std::string_view body,
                               const ExpectedAnswer& expected) {
  const auto decoded = DecodeJson(body, ReadWholeAnswer);
  if (!IsOk(decoded)) {
    return ViolationVerdict{AnswerFault::kMalformed};
  }
  const WholeAnswer& answer = ValueOf(decoded);
  if (!expected.attempt.empty() && answer.attempt != expected.attempt) {
    return ViolationVerdict{AnswerFault::kForeignId};
  }
  if (!expected.text || answer.text == *expected.text) {
    return CompleteVerdict{};
  }
  return ViolationVerdict{expected.text->starts_with(answer.text)
                              ? AnswerFault::kShort
                              : AnswerFault::kForeignText};
}

AnswerVerdict CheckServiceAnswer(std::string_view body,
                                 const std::string& key,
                                 bool reference) {
  if (!reference) {
    return CompleteVerdict{};
  }
  const auto echoed =
      DecodeJson(body, [](JsonReader& reader) { return reader.String("key"); });
  if (!IsOk(echoed)) {
    return ViolationVerdict{AnswerFault::kMalformed};
  }
  if (ValueOf(echoed) != key) {
    return ViolationVerdict{AnswerFault::kForeignText};
  }
  return CompleteVerdict{};
}

}  // namespace gcw
