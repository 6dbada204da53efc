#ifndef PROGRAMS_GCW_NODE_NODE_SETTINGS_H_
#define PROGRAMS_GCW_NODE_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "transport/transport.h"

namespace gcw {

// The address of a listener.
struct ListenSettings {
  std::string ip = "127.0.0.1";
  // 0 lets the kernel choose.
  int port = 0;
};

// The settings that `gcw-node` reads from its settings file; docs/SETTINGS.md
// lists the keys.
struct NodeSettings {
  NodeCoreSettings core;
  CallerServiceSettings callers;
  ListenSettings caller_listen;
  ListenSettings peer_listen;
  ListenSettings operator_listen;
  Address store;
  Address vm_list;
  Address weights;
  Secret peer_secret;
  Secret operator_credential;
  int traffic_threads = 2;
  std::int64_t events_kept = 16384;
  Duration store_timeout = Duration::Millis(1500);
  LogSeverity log_severity = LogSeverity::kInfo;
  // Whether events of the timeline are also written to the log.
  bool log_events = true;
};

// Reads and checks the settings file. On failure, returns all errors.
std::variant<NodeSettings, std::vector<SettingError>> ReadNodeSettings(
    const std::string& path);

// Writes all keys as a Markdown table.
void WriteNodeSettingsReference(std::ostream& out);

}  // namespace gcw

#endif  // PROGRAMS_GCW_NODE_NODE_SETTINGS_H_
