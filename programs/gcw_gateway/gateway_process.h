#ifndef PROGRAMS_GCW_GATEWAY_GATEWAY_PROCESS_H_
#define PROGRAMS_GCW_GATEWAY_GATEWAY_PROCESS_H_

#include <memory>
#include <string>
#include <variant>

#include "programs/gcw_gateway/gateway_settings.h"

namespace gcw {

// A running gateway: builds the core and everything around it.
class GatewayProcess {
 public:
  static std::variant<std::unique_ptr<GatewayProcess>, GatewayListenError>
  Start(GatewayProcessSettings settings);

  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Runs until a planned stop is over. SIGTERM and SIGINT begin one; SIGHUP
  // reads the settings file again.
  void Run(const std::string& settings_path);

 private:
  struct Parts;
  explicit GatewayProcess(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_GATEWAY_GATEWAY_PROCESS_H_
