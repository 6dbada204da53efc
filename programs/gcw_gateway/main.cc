// The daemon on every entry VM of a platform whose store holds the operators'
// document and the endpoints.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

#include "programs/gcw_gateway/gateway_process.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitListen = 4;

constexpr std::string_view kExamples =
    "Examples:\n"
    "  gcw-gateway --settings gateway.toml\n"
    "  gcw-gateway --settings-from GOLDCRESTWEIR_BOOT\n"
    "  gcw-gateway --check-settings gateway.toml\n"
    "  gcw-gateway --settings-reference\n\n"
    "SIGTERM and SIGINT begin a planned stop; SIGHUP checks the settings "
    "file.\n\n"
    "Exit codes: 0 stopped as planned, 2 wrong command line, 3 wrong "
    "settings,\n"
    "4 an address cannot be listened on.\n";

std::string_view ListenerName(gcw::GatewayListener listener) {
  switch (listener) {
    case gcw::GatewayListener::kCallers:
      return "callers";
    case gcw::GatewayListener::kReadiness:
      return "readiness";
    case gcw::GatewayListener::kEntries:
      return "entries";
    case gcw::GatewayListener::kPeers:
      return "peers";
    case gcw::GatewayListener::kMetrics:
      return "metrics";
  }
  return "unknown";
}

int RunGateway(const std::string& path, bool only_check) {
  auto read = gcw::ReadGatewaySettings(path);
  if (const auto* errors = std::get_if<1>(&read)) {
    for (const gcw::SettingError& error : *errors) {
      std::cerr << error << '\n';
    }
    return kExitSettings;
  }
  if (only_check) {
    std::cout << path << ": all settings are sound\n";
    return kExitOk;
  }
  // A connection that breaks while it is written to is a failed write, not an
  // end of the process.
  std::signal(SIGPIPE, SIG_IGN);
  auto started = gcw::GatewayProcess::Start(std::move(std::get<0>(read)));
  if (const auto* error = std::get_if<gcw::GatewayListenError>(&started)) {
    std::cerr << "cannot listen for " << ListenerName(error->listener)
              << "; is the address taken or not this machine's?\n";
    return kExitListen;
  }
  std::get<0>(started)->Run(path);
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description("gcw-gateway");
  description.add_options()("help,h", "show this help")(
      "settings", options::value<std::string>(),
      "settings file; runs the gateway")(
      "settings-from", options::value<std::string>(),
      "the same, with its path in this environment variable")(
      "check-settings", options::value<std::string>(),
      "check the settings file and end")("settings-reference",
                                         "print all keys as a Markdown table");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n\n" << description << kExamples;
    return kExitUsage;
  }
  if (values.count("help") > 0) {
    std::cout << description << '\n' << kExamples;
    return kExitOk;
  }
  if (values.count("settings-reference") > 0) {
    gcw::WriteGatewaySettingsReference(std::cout);
    return kExitOk;
  }
  if (values.count("check-settings") > 0) {
    return RunGateway(values["check-settings"].as<std::string>(), true);
  }
  if (values.count("settings-from") > 0) {
    const auto& variable = values["settings-from"].as<std::string>();
    const char* const path = std::getenv(variable.c_str());
    if (path == nullptr) {
      std::cerr << "the environment variable " << variable << " is not set\n";
      return kExitUsage;
    }
    return RunGateway(path, false);
  }
  if (values.count("settings") == 0) {
    std::cerr << "--settings is missing\n\n" << description << kExamples;
    return kExitUsage;
  }
  return RunGateway(values["settings"].as<std::string>(), false);
}
