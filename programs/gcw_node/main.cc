// The daemon on every entry VM.

#include <signal.h>

#include <cstdint>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

#include "programs/gcw_node/node_process.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitListen = 4;
constexpr std::int64_t kSignalWaitNanos = 100'000'000;

constexpr std::string_view kExamples =
    "Examples:\n"
    "  gcw-node --settings node.toml\n"
    "  gcw-node --check-settings node.toml\n"
    "  gcw-node --settings-reference\n\n"
    "SIGTERM and SIGINT begin a planned stop: the node leaves the answers to\n"
    "callers at once, serves until they have moved on, and ends.\n\n"
    "Exit codes: 0 stopped as planned, 2 wrong command line, 3 wrong "
    "settings,\n"
    "4 an address cannot be listened on.\n";

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

// Settings of a running node do not change; faults in the file are known before
// the next start.
void CheckAgain(const std::string& path) {
  const auto read = gcw::ReadNodeSettings(path);
  const auto* errors = std::get_if<1>(&read);
  gcw::LogEvent(
      errors != nullptr ? gcw::LogSeverity::kError : gcw::LogSeverity::kInfo,
      "settings_checked",
      {{"errors",
        static_cast<std::int64_t>(errors != nullptr ? errors->size() : 0)}});
}

int RunNode(const std::string& path, bool only_check) {
  auto read = gcw::ReadNodeSettings(path);
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
  const sigset_t signals = BlockSignals();
  auto started = gcw::NodeProcess::Start(std::move(std::get<0>(read)));
  if (const auto* error = std::get_if<gcw::NodeStartError>(&started)) {
    std::cerr << "cannot listen for " << ListenerName(error->listener)
              << "; is the address taken or not this machine's?\n";
    return kExitListen;
  }
  gcw::NodeProcess& node = *std::get<0>(started);
  // A planned stop may also begin through the operators' port.
  const timespec patience{0, kSignalWaitNanos};
  while (!node.stopped()) {
    const int signal = sigtimedwait(&signals, nullptr, &patience);
    if (signal == SIGHUP) {
      CheckAgain(path);
    } else if (signal > 0) {
      node.BeginStop();
    }
  }
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  options::options_description description("gcw-node");
  description.add_options()("help,h", "show this help")(
      "settings", options::value<std::string>(),
      "settings file; runs the node")("check-settings",
                                      options::value<std::string>(),
                                      "check the settings file and end")(
      "settings-reference", "print all keys as a Markdown table");
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
    gcw::WriteNodeSettingsReference(std::cout);
    return kExitOk;
  }
  if (values.count("check-settings") > 0) {
    return RunNode(values["check-settings"].as<std::string>(), true);
  }
  if (values.count("settings") == 0) {
    std::cerr << "--settings is missing\n\n" << description << kExamples;
    return kExitUsage;
  }
  return RunNode(values["settings"].as<std::string>(), false);
}
