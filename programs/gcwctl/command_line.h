#ifndef PROGRAMS_GCWCTL_COMMAND_LINE_H_
#define PROGRAMS_GCWCTL_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <vector>

#include "transport/transport.h"

namespace gcw {

// A request whose routing is to be explained.
struct RouteArguments {
  std::string host;
  std::string path;
  std::string model;
  std::string customer;
  std::string service;
  std::int64_t prompt_tokens = 0;
};

// The parsed command line.
struct CommandLine {
  // Operator addresses of nodes, tried in this order until a node answers.
  std::vector<Address> nodes;
  std::string credential_file;
  bool json = false;
  bool help = false;
  Duration timeout = Duration::Seconds(15);
  std::optional<std::int64_t> expected_revision;
  // Idempotency id of a change. Repeating a command with the same id reports
  // the outcome of the earlier attempt.
  std::string change_id;
  std::string trace_file;
  // Logs to read events from instead of asking nodes; "-" is standard input.
  std::vector<std::string> log_files;
  std::string domain;
  std::int64_t limit = 5000;
  RouteArguments route;
  // Verb and arguments, such as {"contract", "create", "team.toml"}.
  std::vector<std::string> arguments;
};

// A command line that cannot be parsed, with a message for the user.
struct UsageError {
  std::string message;
};

Result<CommandLine, UsageError> ParseCommandLine(int argc, char** argv);

// Returns the help of one verb, with examples, or the general help if `verb` is
// empty or unknown.
std::string HelpFor(const std::string& verb);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_COMMAND_LINE_H_
