#ifndef PROGRAMS_GCW_LOAD_LOAD_COMMAND_LINE_H_
#define PROGRAMS_GCW_LOAD_LOAD_COMMAND_LINE_H_

#include <string>
#include <variant>
#include <vector>

#include "programs/gcw_load/load_settings.h"

namespace gcw {

// Exit codes of gcw-load.
enum class LoadExitCode {
  // The run ended without a violation.
  kDone = 0,
  kUsage = 2,
  // None of the --entries addresses returned an entry list.
  kNoEntry = 3,
  // The run ended, and a file could not be written.
  kFile = 4,
  // An answer was not complete or contained another request's content.
  kViolation = 5,
};

// Parses the command line and reads the key files. If there is nothing to run,
// prints the help or an error and returns the exit code.
std::variant<LoadSettings, LoadExitCode> ReadLoadCommandLine(
    const std::vector<std::string>& arguments);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_COMMAND_LINE_H_
