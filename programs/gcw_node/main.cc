// gcw-node, the daemon on each entry VM.

#include <signal.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "programs/daemon/daemon_command_line.h"
#include "programs/gcw_node/node_process.h"

namespace {

constexpr std::int64_t kSignalWaitNanos = 100'000'000;

constexpr std::string_view kExamples =
    "Examples:\n"
    "  gcw-node --settings node.toml\n"
    "  gcw-node --check-settings node.toml\n"
    "  gcw-node --settings-reference\n\n"
    "SIGTERM and SIGINT begin a planned stop: the node is no longer announced "
    "to\ncallers, serves requests until callers have moved to other nodes, and "
    "exits.\nSIGHUP checks the settings file and logs the number of errors; "
    "changes apply\nonly after a restart.\n";

std::string_view ListenerName(gcw::NodeListener listener) {
  switch (listener) {
    case gcw::NodeListener::kCallers:
      return "callers";
    case gcw::NodeListener::kPeers:
      return "peers";
    case gcw::NodeListener::kOperators:
      return "operators";
  }
  return "unknown";
}

// Blocks the signals for a planned stop and for a reload in this thread and in
// all threads that it starts, so that `sigtimedwait` receives them. Unblocked,
// their default action would end the process.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Without this, a write to a broken connection would end the process instead
  // of failing.
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

std::vector<gcw::SettingError> CheckNodeSettings(const std::string& file) {
  const auto read = gcw::ReadNodeSettings(file);
  const auto* errors = std::get_if<1>(&read);
  return errors == nullptr ? std::vector<gcw::SettingError>() : *errors;
}

// Checks the settings file without applying it, because settings do not change
// while a node runs. Errors in the file are thus known before the next start.
void LogSettingsCheck(const std::string& file) {
  const std::vector<gcw::SettingError> errors = CheckNodeSettings(file);
  gcw::LogEvent(
      errors.empty() ? gcw::LogSeverity::kInfo : gcw::LogSeverity::kError,
      "settings_checked",
      {{"errors", static_cast<std::int64_t>(errors.size())}});
}

gcw::DaemonExitCode RunNode(const std::string& file) {
  auto read = gcw::ReadNodeSettings(file);
  if (const auto* errors = std::get_if<1>(&read)) {
    gcw::PrintSettingErrors(*errors);
    return gcw::DaemonExitCode::kInvalidSettings;
  }
  const sigset_t signals = BlockSignals();
  auto started = gcw::NodeProcess::Start(std::move(std::get<0>(read)));
  if (const auto* error = std::get_if<gcw::NodeStartError>(&started)) {
    std::cerr
        << "cannot listen on the IP address and port of the settings table "
        << ListenerName(error->listener)
        << ": they are already in use, the IP address is not one of this "
           "machine or the port may not be used by this user\n";
    return gcw::DaemonExitCode::kListenFailed;
  }
  gcw::NodeProcess& node = *std::get<0>(started);
  // The wait is short because a planned stop may also begin through the
  // operators' port, without a signal.
  const timespec signal_wait{0, kSignalWaitNanos};
  while (!node.stopped()) {
    const int signal = sigtimedwait(&signals, nullptr, &signal_wait);
    if (signal == SIGHUP) {
      LogSettingsCheck(file);
    } else if (signal > 0) {
      node.BeginStop();
    }
  }
  return gcw::DaemonExitCode::kRequestProgress;
}

}  // namespace

int main(int argc, char** argv) {
  return static_cast<int>(
      gcw::RunDaemonProgram({"gcw-node", kExamples, RunNode, CheckNodeSettings,
                             gcw::WriteNodeSettingsReference},
                            argc, argv));
}
