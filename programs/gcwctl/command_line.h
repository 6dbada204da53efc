#ifndef PROGRAMS_GCWCTL_COMMAND_LINE_H_
#define PROGRAMS_GCWCTL_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <vector>

#include "transport/transport.h"

namespace gcw {

// What the operator typed.
struct CommandLine {
  // Tried in order until one answers.
  std::vector<Address> nodes;
  std::string credential_file;
  bool json = false;
  bool help = false;
  Duration timeout = Duration::Seconds(15);
  std::optional<std::int64_t> expected;
  // Given again to learn the outcome of an earlier try.
  std::string change;
  std::string trace_file;
  // Logs to read events from instead of asking nodes; "-" is standard input.
  std::vector<std::string> log_files;
  std::string domain;
  std::int64_t limit = 5000;
  // The verb and what it is about: {"contract", "create", "team.toml"}.
  std::vector<std::string> words;
};

// Why the command line cannot be followed, for people.
struct UsageError {
  std::string message;
};

Result<CommandLine, UsageError> ParseCommandLine(int argc, char** argv);

// The help of one verb, with examples; of all of them where `verb` is empty or
// unknown.
std::string HelpFor(const std::string& verb);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_COMMAND_LINE_H_
