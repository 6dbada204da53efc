#include "programs/gcw_load/stream_checker.h"

#include <algorithm>
#include <utility>

#include "programs/gcw_load/error_answer.h"

namespace gcw {
namespace {

constexpr std::string_view kData = "data:";
constexpr std::string_view kDone = "[DONE]";

}  // namespace

StreamChecker::StreamChecker(ExpectedAnswer expected)
    : expected_(std::move(expected)) {}

int StreamChecker::OnBytes(std::string_view bytes) {
  int tokens = 0;
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    line_ += bytes.substr(0, end);
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    tokens += OnLine(line_);
    line_.clear();
  }
  return tokens;
}

AnswerVerdict StreamChecker::OnEnd() const {
  if (fault_) {
    return ViolationVerdict{*fault_};
  }
  if (error_type_) {
    return ViolationVerdict{AnswerFault::kEndAfterError};
  }
  if (!done_) {
    return ViolationVerdict{AnswerFault::kDoneMissing};
  }
  if (!line_.empty()) {
    return ViolationVerdict{AnswerFault::kAfterDone};
  }
  return CompleteVerdict{};
}

AnswerVerdict StreamChecker::OnFailure(std::string_view failure) const {
  if (fault_) {
    return ViolationVerdict{*fault_};
  }
  return BrokenVerdict{error_type_.value_or(std::string(failure))};
}

int StreamChecker::OnLine(std::string_view line) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  // Empty lines end events; lines that start with a colon are comments.
  if (line.empty() || line.starts_with(':')) {
    return 0;
  }
  if (!line.starts_with(kData)) {
    ReportFault(AnswerFault::kMalformed);
    return 0;
  }
  line.remove_prefix(kData.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return OnEvent(line);
}

int StreamChecker::OnEvent(std::string_view data) {
  if (done_) {
    ReportFault(AnswerFault::kAfterDone);
    return 0;
  }
  if (error_type_) {
    ReportFault(AnswerFault::kEndAfterError);
    return 0;
  }
  if (data == kDone) {
    OnDone();
    return 0;
  }
  if (const auto error = ReadErrorAnswer(data)) {
    error_type_ = error->type;
    return 0;
  }
  const auto event = DecodeStreamEvent(data);
  if (!IsOk(event)) {
    ReportFault(AnswerFault::kMalformed);
    return 0;
  }
  CheckIds(ValueOf(event));
  if (ValueOf(event).text.empty()) {
    return 0;
  }
  if (ValueOf(event).index.value_or(tokens_) != tokens_) {
    ReportFault(AnswerFault::kOutOfOrder);
  }
  CheckText(ValueOf(event).text);
  ++tokens_;
  return 1;
}

void StreamChecker::OnDone() {
  done_ = true;
  if (expected_.text && text_size_ < expected_.text->size()) {
    ReportFault(AnswerFault::kShort);
  }
}

void StreamChecker::CheckIds(const StreamEvent& event) {
  if (!expected_.attempt.empty() && event.attempt != expected_.attempt) {
    ReportFault(AnswerFault::kForeignId);
  }
  if (request_.empty()) {
    request_ = event.request;
  }
  if (event.request != request_) {
    ReportFault(AnswerFault::kForeignId);
  }
}

void StreamChecker::CheckText(const std::string& text) {
  if (expected_.text &&
      expected_.text->compare(std::min(text_size_, expected_.text->size()),
                              text.size(), text) != 0) {
    ReportFault(expected_.text->find(text) == std::string::npos
                    ? AnswerFault::kForeignText
                    : AnswerFault::kOutOfOrder);
  }
  text_size_ += text.size();
}

void StreamChecker::ReportFault(AnswerFault fault) {
  if (!fault_) {
    fault_ = fault;
  }
}

}  // namespace gcw
