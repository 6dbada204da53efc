#ifndef PROGRAMS_GCWCTL_EVENT_LOG_READER_H_
#define PROGRAMS_GCWCTL_EVENT_LOG_READER_H_

#include <cstdint>
#include <istream>
#include <vector>

#include "transport/transport.h"

namespace gcw {

// Reads events from the logs of nodes: all that is left of one that ended.
class EventLogReader {
 public:
  // The decoder outlives the events.
  explicit EventLogReader(TimelineDecoder* decoder) : decoder_(decoder) {}

  // Takes every line that holds an event. What stands before a line's JSON, as
  // collectors of logs write it, is ignored.
  std::vector<TimelineEvent> Read(std::istream& in);

  // Lines of other kinds: start, stop, lines left out.
  std::int64_t other_lines() const { return other_lines_; }
  // Lines that hold an event that cannot be read, or no JSON.
  std::int64_t malformed_lines() const { return malformed_lines_; }

 private:
  void ReadLine(std::string_view line, std::vector<TimelineEvent>& events);

  TimelineDecoder* decoder_;
  std::int64_t other_lines_ = 0;
  std::int64_t malformed_lines_ = 0;
};

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_EVENT_LOG_READER_H_
