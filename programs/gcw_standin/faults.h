#ifndef PROGRAMS_GCW_STANDIN_FAULTS_H_
#define PROGRAMS_GCW_STANDIN_FAULTS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/protocol.h"

namespace gcw {

// Faults that are switched on now; docs/STANDIN.md tells what each does.
struct Faults {
  bool refuse = false;
  bool outage = false;
  // Before a request is looked at.
  Duration slow;
  // The next so many writes take effect without an answer.
  std::int64_t lose_answer = 0;
  // Nothing is answered, on old and new connections.
  bool silent = false;
  // Grows each time the exchanges that are open then go silent for good.
  std::int64_t silenced_epoch = 0;
  // A request whose body has this text ends the process; off where empty.
  std::string crash_on;
  // Tokens after which an answer breaks; 0 for never.
  std::int64_t cut_stream_after = 0;
  // How old load reports, cache events and VM lists are.
  Duration lag;
  // Orders with an old fencing number are carried out.
  bool ignore_fence = false;
  // Grows each time the cache events so far are lost.
  std::int64_t cache_gaps = 0;
};

// Reads `{"name", "value"}` and sets the fault of that name.
Decoded<Faults> ApplyFault(const Faults& faults, std::string_view text);

// The faults by name.
std::string EncodeFaults(const Faults& faults);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_FAULTS_H_
