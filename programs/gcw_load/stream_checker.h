#ifndef PROGRAMS_GCW_LOAD_STREAM_CHECKER_H_
#define PROGRAMS_GCW_LOAD_STREAM_CHECKER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "programs/gcw_load/answer_verdict.h"
#include "programs/gcw_load/stream_event.h"

namespace gcw {

// Checks one streamed answer while it arrives.
class StreamChecker {
 public:
  explicit StreamChecker(ExpectedAnswer expected);

  // Processes a chunk, which may end anywhere. Returns the number of tokens
  // that it completed.
  int OnBytes(std::string_view bytes);

  // Returns the verdict if the HTTP response ended properly.
  AnswerVerdict OnEnd() const;
  // Returns the verdict if the connection failed with `failure`.
  AnswerVerdict OnFailure(std::string_view failure) const;

 private:
  int OnLine(std::string_view line);
  int OnEvent(std::string_view data);
  void OnDone();
  void CheckIds(const StreamEvent& event);
  void CheckText(const std::string& text);
  void ReportFault(AnswerFault fault);

  ExpectedAnswer expected_;
  // The incomplete last line.
  std::string line_;
  // Number of events with text, each of which is one token.
  std::int64_t tokens_ = 0;
  std::size_t text_size_ = 0;
  RequestId request_;
  bool done_ = false;
  std::optional<std::string> error_type_;
  // The first fault found.
  std::optional<AnswerFault> fault_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_STREAM_CHECKER_H_
