// The daemon on every entry VM.

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
    "SIGTERM and SIGINT begin a planned stop: the node leaves the answers to\n"
    "callers at once, serves until they have moved on, and ends.\n";

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

// Blocks the signals of a planned stop and of a reload in all threads that
// start later; they are taken by `sigtimedwait`. One that nobody takes would
// end the process.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A connection that breaks while it is written to is a failed write, not an
  // end of the process.
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

std::vector<gcw::SettingError> CheckNode(const std::string& file) {
  const auto read = gcw::ReadNodeSettings(file);
  const auto* errors = std::get_if<1>(&read);
  return errors == nullptr ? std::vector<gcw::SettingError>() : *errors;
}

// Settings of a running node do not change; faults in the file are known before
// the next start.
void CheckAgain(const std::string& file) {
  const std::vector<gcw::SettingError> errors = CheckNode(file);
  gcw::LogEvent(
      errors.empty() ? gcw::LogSeverity::kInfo : gcw::LogSeverity::kError,
      "settings_checked",
      {{"errors", static_cast<std::int64_t>(errors.size())}});
}

gcw::DaemonExit RunNode(const std::string& file) {
  auto read = gcw::ReadNodeSettings(file);
  if (const auto* errors = std::get_if<1>(&read)) {
    gcw::PrintSettingErrors(*errors);
    return gcw::DaemonExit::kWrongSettings;
  }
  const sigset_t signals = BlockSignals();
  auto started = gcw::NodeProcess::Start(std::move(std::get<0>(read)));
  if (const auto* error = std::get_if<gcw::NodeStartError>(&started)) {
    std::cerr << "cannot listen for " << ListenerName(error->listener)
              << "; is the address taken or not this machine's?\n";
    return gcw::DaemonExit::kCannotListen;
  }
  gcw::NodeProcess& node = *std::get<0>(started);
  // A planned stop may also begin through the operators' port.
  const timespec patience{0, kSignalWaitNanos};
  while (!node.stopped()) {
    const int signal = sigtimedwait(&signals, nullptr, &patience);
    if (signal == SIGHUP) {
      CheckAgain(file);
    } else if (signal > 0) {
      node.BeginStop();
    }
  }
  return gcw::DaemonExit::kStoppedAsPlanned;
}

}  // namespace

int main(int argc, char** argv) {
  return static_cast<int>(
      gcw::RunDaemonProgram({"gcw-node", kExamples, RunNode, CheckNode,
                             gcw::WriteNodeSettingsReference},
                            argc, argv));
}
