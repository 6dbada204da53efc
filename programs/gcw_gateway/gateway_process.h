#ifndef PROGRAMS_GCW_GATEWAY_GATEWAY_PROCESS_H_
#define PROGRAMS_GCW_GATEWAY_GATEWAY_PROCESS_H_

#include <memory>
#include <string>
#include <variant>

#include "programs/gcw_gateway/gateway_settings.h"

namespace gcw {

// Owns a running gateway: its core, runtime, log and metrics.
class GatewayProcess {
 public:
  static std::variant<std::unique_ptr<GatewayProcess>, GatewayListenError>
  Start(GatewayProcessSettings settings);

  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Runs until a planned stop is complete. SIGTERM and SIGINT begin a planned
  // stop; SIGHUP checks the settings file again without applying it.
  void Run(const std::string& settings_path);

 private:
  struct Parts;
  explicit GatewayProcess(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_GATEWAY_GATEWAY_PROCESS_H_
