#include "programs/daemon/daemon_command_line.h"

#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

namespace gcw {
namespace {

namespace options = boost::program_options;

constexpr std::string_view kExitCodes =
    "\nExit codes: 0 success or planned stop, 2 invalid command line,\n"
    "3 invalid settings, "
    "4 cannot listen on an address.\n";

options::options_description DescribeOptions(const std::string& name) {
  options::options_description description(name);
  description.add_options()("help,h", "print this help and exit")(
      "settings", options::value<std::string>(),
      "run the daemon with this settings file")(
      "settings-from", options::value<std::string>(),
      "run the daemon with the settings file whose path is in this "
      "environment variable")(
      "check-settings", options::value<std::string>(),
      "check this settings file, print all errors and exit")(
      "settings-reference", "print all settings as a Markdown table and exit");
  return description;
}

DaemonExitCode CheckSettings(const DaemonProgram& program,
                             const std::string& file) {
  const std::vector<SettingError> errors = program.check(file);
  if (!errors.empty()) {
    PrintSettingErrors(errors);
    return DaemonExitCode::kInvalidSettings;
  }
  std::cout << file << ": all settings are valid\n";
  return DaemonExitCode::kRequestProgress;
}

}  // namespace

void PrintSettingErrors(const std::vector<SettingError>& errors) {
  for (const SettingError& error : errors) {
    std::cerr << error << '\n';
  }
}

DaemonExitCode RunDaemonProgram(const DaemonProgram& program,
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
    return DaemonExitCode::kInvalidCommandLine;
  }
  if (values.count("help") > 0) {
    std::cout << description << '\n' << program.examples << kExitCodes;
    return DaemonExitCode::kRequestProgress;
  }
  if (values.count("settings-reference") > 0) {
    program.write_reference(std::cout);
    return DaemonExitCode::kRequestProgress;
  }
  if (values.count("check-settings") > 0) {
    return CheckSettings(program, values["check-settings"].as<std::string>());
  }
  if (values.count("settings-from") > 0) {
    const auto& variable = values["settings-from"].as<std::string>();
    const char* const path = std::getenv(variable.c_str());
    if (path == nullptr) {
      std::cerr << "environment variable " << variable
                << " is not set; --settings-from needs a variable that holds "
                   "the path of a settings file\n";
      return DaemonExitCode::kInvalidCommandLine;
    }
    return program.run(path);
  }
  if (values.count("settings") == 0) {
    std::cerr << "no settings file given; use --settings or --settings-from\n\n"
              << description << program.examples << kExitCodes;
    return DaemonExitCode::kInvalidCommandLine;
  }
  return program.run(values["settings"].as<std::string>());
}

}  // namespace gcw
