#ifndef PROGRAMS_GCW_LOAD_STREAM_CHECKER_H_
#define PROGRAMS_GCW_LOAD_STREAM_CHECKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "programs/gcw_load/answer_verdict.h"
#include "programs/gcw_load/stream_event.h"

namespace gcw {

// Checks one streamed answer as its pieces arrive.
class StreamChecker {
 public:
  explicit StreamChecker(ExpectedAnswer expected);

  // Takes a piece, which may end anywhere. Returns how many tokens it ended.
  int OnBytes(std::string_view bytes);

  // The answer ended by the rules of HTTP.
  AnswerVerdict OnEnd() const;
  // The connection broke, with this failure.
  AnswerVerdict OnFailure(std::string_view failure) const;

 private:
  int OnLine(std::string_view line);
  int OnEvent(std::string_view data);
  void OnDone();
  void CheckIds(const StreamEvent& event);
  void CheckText(const std::string& text);
  void Accuse(AnswerFault fault);

  ExpectedAnswer expected_;
  // The line that has begun.
  std::string line_;
  // Of the events with text.
  std::int64_t tokens_ = 0;
  std::size_t text_size_ = 0;
  RequestId request_;
  bool done_ = false;
  std::optional<std::string> error_type_;
  // The first one found.
  std::optional<AnswerFault> fault_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_STREAM_CHECKER_H_
