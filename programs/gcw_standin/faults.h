#ifndef PROGRAMS_GCW_STANDIN_FAULTS_H_
#define PROGRAMS_GCW_STANDIN_FAULTS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/protocol.h"

namespace gcw {

// The faults that are injected at present; docs/STANDIN.md describes each.
struct Faults {
  bool refuse = false;
  bool outage = false;
  // Delay before a request is handled.
  Duration request_delay;
  // Number of writes still to come that take effect but get no answer.
  std::int64_t lose_answer = 0;
  // No request gets an answer, on open and on new connections.
  bool silent = false;
  // Incremented to silence all exchanges that are open at that time. They never
  // get an answer.
  std::int64_t silenced_epoch = 0;
  // A request whose body contains this text ends the process; off if empty.
  std::string crash_on;
  // Number of tokens after which an answer is aborted; 0 for never.
  std::int64_t cut_stream_after = 0;
  // Age of the load reports, cache events and VM lists that readers get.
  Duration lag;
  // Orders with a stale fencing token are carried out.
  bool ignore_fence = false;
  // Incremented to drop all cache events published so far.
  std::int64_t cache_gaps = 0;
};

// Parses `{"name", "value"}` and returns `faults` with that fault set.
Decoded<Faults> ApplyFault(const Faults& faults, std::string_view text);

// Returns a JSON object with the value of each fault by name.
std::string EncodeFaults(const Faults& faults);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_FAULTS_H_
