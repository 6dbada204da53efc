#ifndef PROGRAMS_GCW_LOAD_LOAD_COMMAND_LINE_H_
#define PROGRAMS_GCW_LOAD_LOAD_COMMAND_LINE_H_

#include <string>
#include <variant>
#include <vector>

#include "programs/gcw_load/load_settings.h"

namespace gcw {

// Exit statuses of the program.
enum class LoadExit {
  // Done without a violation.
  kDone = 0,
  kUsage = 2,
  // None of the addresses told which ones to use.
  kNoEntry = 3,
  // The run is done, but a file could not be written.
  kFile = 4,
  // An answer was not whole or not its own.
  kViolation = 5,
};

// Reads the command line and the key files. There is nothing to run, and the
// reason was printed, where an exit status is returned.
std::variant<LoadSettings, LoadExit> ReadLoadCommandLine(
    const std::vector<std::string>& arguments);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_COMMAND_LINE_H_
