#ifndef PROGRAMS_DAEMON_DAEMON_COMMAND_LINE_H_
#define PROGRAMS_DAEMON_DAEMON_COMMAND_LINE_H_

#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "transport/transport.h"

namespace gcw {

enum class DaemonExit {
  kStoppedAsPlanned = 0,
  kWrongCommandLine = 2,
  kWrongSettings = 3,
  kCannotListen = 4,
};

// What a daemon's program does of its own.
struct DaemonProgram {
  std::string name;
  // For its help, with what its signals do.
  std::string_view examples;
  // Runs with that settings file until its stop.
  std::function<DaemonExit(const std::string& settings_file)> run;
  // The faults of a settings file.
  std::function<std::vector<SettingError>(const std::string& settings_file)>
      check;
  std::function<void(std::ostream& out)> write_reference;
};

// Prints the faults, one a line.
void PrintSettingErrors(const std::vector<SettingError>& errors);

// Follows the command line of a daemon: --settings FILE, --settings-from
// VARIABLE, --check-settings FILE, --settings-reference or --help.
DaemonExit RunDaemonProgram(const DaemonProgram& program,
                            int argc,
                            char** argv);

}  // namespace gcw

#endif  // PROGRAMS_DAEMON_DAEMON_COMMAND_LINE_H_
