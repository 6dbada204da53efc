// gcw-gateway, the daemon on each entry VM of a platform whose key-value
// service holds the operators' configuration document and the endpoints.

#include <csignal>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "programs/daemon/daemon_command_line.h"
#include "programs/gcw_gateway/gateway_process.h"

namespace {

constexpr std::string_view kExamples =
    "Examples:\n"
    "  gcw-gateway --settings gateway.toml\n"
    "  gcw-gateway --settings-from GOLDCRESTWEIR_BOOT\n"
    "  gcw-gateway --check-settings gateway.toml\n"
    "  gcw-gateway --settings-reference\n\n"
    "SIGTERM and SIGINT begin a planned stop. SIGHUP checks the settings "
    "file\nand logs the number of errors; changes apply only after a "
    "restart.\n";

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

std::vector<gcw::SettingError> CheckGatewaySettings(const std::string& file) {
  const auto read = gcw::ReadGatewaySettings(file);
  const auto* errors = std::get_if<1>(&read);
  return errors == nullptr ? std::vector<gcw::SettingError>() : *errors;
}

gcw::DaemonExitCode RunGateway(const std::string& file) {
  auto read = gcw::ReadGatewaySettings(file);
  if (const auto* errors = std::get_if<1>(&read)) {
    gcw::PrintSettingErrors(*errors);
    return gcw::DaemonExitCode::kInvalidSettings;
  }
  // Without this, a write to a broken connection would end the process instead
  // of failing.
  std::signal(SIGPIPE, SIG_IGN);
  auto started = gcw::GatewayProcess::Start(std::move(std::get<0>(read)));
  if (const auto* error = std::get_if<gcw::GatewayListenError>(&started)) {
    std::cerr << "cannot listen on the address of the setting listen."
              << ListenerName(error->listener)
              << ": it is already in use, is not an address of this machine or "
                 "may not be used by this user\n";
    return gcw::DaemonExitCode::kListenFailed;
  }
  std::get<0>(started)->Run(file);
  return gcw::DaemonExitCode::kRequestProgress;
}

}  // namespace

int main(int argc, char** argv) {
  return static_cast<int>(gcw::RunDaemonProgram(
      {"gcw-gateway", kExamples, RunGateway, CheckGatewaySettings,
       gcw::WriteGatewaySettingsReference},
      argc, argv));
}
