#ifndef PROGRAMS_GCW_STANDIN_COMMAND_LINE_H_
#define PROGRAMS_GCW_STANDIN_COMMAND_LINE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include "programs/gcw_standin/faults.h"

namespace gcw {

// Exit statuses of the program.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitListen = 3;

// Options that all subcommands have.
struct CommonOptions {
  std::string ip;
  std::uint16_t port = 0;
  Faults faults;
};

struct ParsedCommand {
  CommonOptions common;
  boost::program_options::variables_map values;
};

// There is nothing to run, because the help or a usage error was printed.
struct CommandEnded {
  int exit_status = kExitOk;
};

// Parses the arguments of a subcommand. Its help ends with `examples`.
std::variant<ParsedCommand, CommandEnded> ParseCommand(
    const std::string& name,
    const std::string& examples,
    const boost::program_options::options_description& own_options,
    const std::vector<std::string>& arguments);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_COMMAND_LINE_H_
