#ifndef PROGRAMS_GCW_GATEWAY_GATEWAY_SETTINGS_H_
#define PROGRAMS_GCW_GATEWAY_GATEWAY_SETTINGS_H_

#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "transport/transport.h"

namespace gcw {

// The settings that `gcw-gateway` reads from its settings file;
// docs/SETTINGS.md lists the keys.
struct GatewayProcessSettings {
  GatewaySettings core;
  GatewayRuntimeSettings runtime;
  std::int64_t events_kept = 2000;
  LogSeverity log_severity = LogSeverity::kInfo;
  LogRateLimiterSettings log_rate_limiter;
};

// Reads and checks the settings file. On failure, returns all errors.
std::variant<GatewayProcessSettings, std::vector<SettingError>>
ReadGatewaySettings(const std::string& path);

// Writes all keys as a Markdown table.
void WriteGatewaySettingsReference(std::ostream& out);

}  // namespace gcw

#endif  // PROGRAMS_GCW_GATEWAY_GATEWAY_SETTINGS_H_
