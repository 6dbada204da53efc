#include "programs/daemon/daemon_command_line.h"

#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

namespace gcw {
namespace {

namespace options = boost::program_options;

constexpr std::string_view kExitCodes =
    "\nExit codes: 0 stopped as planned, 2 wrong command line, 3 wrong "
    "settings,\n"
    "4 an address cannot be listened on.\n";

options::options_description DescribeOptions(const std::string& name) {
  options::options_description description(name);
  description.add_options()("help,h", "show this help")(
      "settings", options::value<std::string>(),
      "settings file; runs the daemon")(
      "settings-from", options::value<std::string>(),
      "the same, with its path in this environment variable")(
      "check-settings", options::value<std::string>(),
      "check the settings file and end")("settings-reference",
                                         "print all keys as a Markdown table");
  return description;
}

DaemonExit CheckSettings(const DaemonProgram& program,
                         const std::string& file) {
  const std::vector<SettingError> errors = program.check(file);
  if (!errors.empty()) {
    PrintSettingErrors(errors);
    return DaemonExit::kWrongSettings;
  }
  std::cout << file << ": all settings are sound\n";
  return DaemonExit::kStoppedAsPlanned;
}

}  // namespace

void PrintSettingErrors(const std::vector<SettingError>& errors) {
  for (const SettingError& error : errors) {
    std::cerr << error << '\n';
  }
}

DaemonExit RunDaemonProgram(const DaemonProgram& program,
                            int argc,
                            char** argv) {
  const options::options_description description =
      DescribeOptions(program.name);
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n\n"
              << description << program.examples << kExitCodes;
    return DaemonExit::kWrongCommandLine;
  }
  if (values.count("help") > 0) {
    std::cout << description << '\n' << program.examples << kExitCodes;
    return DaemonExit::kStoppedAsPlanned;
  }
  if (values.count("settings-reference") > 0) {
    program.write_reference(std::cout);
    return DaemonExit::kStoppedAsPlanned;
  }
  if (values.count("check-settings") > 0) {
    return CheckSettings(program, values["check-settings"].as<std::string>());
  }
  if (values.count("settings-from") > 0) {
    const auto& variable = values["settings-from"].as<std::string>();
    const char* const path = std::getenv(variable.c_str());
    if (path == nullptr) {
      std::cerr << "the environment variable " << variable << " is not set\n";
      return DaemonExit::kWrongCommandLine;
    }
    return program.run(path);
  }
  if (values.count("settings") == 0) {
    std::cerr << "--settings is missing\n\n"
              << description << program.examples << kExitCodes;
    return DaemonExit::kWrongCommandLine;
  }
  return program.run(values["settings"].as<std::string>());
}

}  // namespace gcw
