#ifndef PROGRAMS_GCW_STANDIN_COMMANDS_H_
#define PROGRAMS_GCW_STANDIN_COMMANDS_H_

#include <string>
#include <vector>

namespace gcw {

// Runs the subcommand named by the first argument until SIGTERM or SIGINT and
// returns the exit status of the process.
int RunStandin(const std::vector<std::string>& arguments);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_COMMANDS_H_
