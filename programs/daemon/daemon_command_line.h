#ifndef PROGRAMS_DAEMON_DAEMON_COMMAND_LINE_H_
#define PROGRAMS_DAEMON_DAEMON_COMMAND_LINE_H_

#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "transport/transport.h"

namespace gcw {

enum class DaemonExitCode {
  kRequestProgress = 0,
  kInvalidCommandLine = 2,
  kInvalidSettings = 3,
  kListenFailed = 4,
};

// The parts of the command line that differ between daemons.
struct DaemonProgram {
  std::string name;
  // Examples and a description of the signals, for --help.
  std::string_view examples;
  // Runs the daemon with the settings file until it stops.
  std::function<DaemonExitCode(const std::string& settings_file)> run;
  // Returns the errors of a settings file.
  std::function<std::vector<SettingError>(const std::string& settings_file)>
      check;
  std::function<void(std::ostream& out)> write_reference;
};

// Prints one error per line to standard error.
void PrintSettingErrors(const std::vector<SettingError>& errors);

// Parses and executes the command line of a daemon: --settings FILE,
// --settings-from VARIABLE, --check-settings FILE, --settings-reference or
// --help.
DaemonExitCode RunDaemonProgram(const DaemonProgram& program,
                                int argc,
                                char** argv);

}  // namespace gcw

#endif  // PROGRAMS_DAEMON_DAEMON_COMMAND_LINE_H_
