#ifndef PROGRAMS_GCWCTL_EVENT_LOG_READER_H_
#define PROGRAMS_GCWCTL_EVENT_LOG_READER_H_

#include <cstdint>
#include <istream>
#include <vector>

#include "transport/transport.h"

namespace gcw {

// Reads events from the logs of nodes. After a node has ended, its log is the
// only source of its events.
class EventLogReader {
 public:
  // `decoder` must outlive the events.
  explicit EventLogReader(TimelineDecoder* decoder) : decoder_(decoder) {}

  // Returns the event of every line that holds one. Any prefix before the JSON
  // of a line, such as log collectors add, is ignored.
  std::vector<TimelineEvent> Read(std::istream& in);

  // Number of lines without an event, such as start, stop and omitted lines.
  std::int64_t other_lines() const { return other_lines_; }
  // Number of lines without JSON, or with an event that cannot be decoded.
  std::int64_t malformed_lines() const { return malformed_lines_; }

 private:
  void ReadLine(std::string_view line, std::vector<TimelineEvent>& events);

  TimelineDecoder* decoder_;
  std::int64_t other_lines_ = 0;
  std::int64_t malformed_lines_ = 0;
};

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_EVENT_LOG_READER_H_
