#ifndef COORDINATION_GATEWAY_CRASH_DETECTOR_H_
#define COORDINATION_GATEWAY_CRASH_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "coordination/gateway/endpoint_report.h"
#include "state/state.h"

namespace gcw {

struct CrashDetectorSettings {
  // The timeout for a new connection to the endpoint.
  Duration check_timeout = Duration::Millis(500);
  // Minimum interval between two checks of an endpoint, because an endpoint may
  // break off many answers and live.
  Duration check_interval = Duration::Millis(500);
  // Maximum number of checks after an attempt broke. A process that is ending
  // may still accept a connection, and one that is overloaded may reset it.
  int max_checks = 3;
  // A broken attempt is remembered this long. A crashed endpoint that did not
  // answer the check is known by its registration, which lapses in this time.
  Duration memory = Duration::Seconds(10);
};

// Asks whether the endpoint's process accepts a new connection.
struct CheckEndpoint {
  VmId vm;
  Address address;
  Duration timeout;
};

// An attempt whose connection the endpoint closed before the end of its answer.
struct BrokenAttempt {
  EndpointRun endpoint;
  Address address;
  // Absent if the request was shown to be harmless.
  std::optional<Fingerprint> suspect;
};

// A run of an endpoint that ended without notice, and the requests that may
// have ended it.
struct EndpointCrash {
  EndpointRun endpoint;
  std::set<Fingerprint> suspects;
  // Number of this node's attempts that broke.
  std::int64_t broken_attempts = 0;
  // How the crash was noticed.
  std::string_view evidence;
};

// Tells crashes of endpoints from connections that were only reset. A process
// that is gone refuses new connections, or registers again as another run.
class CrashDetector {
 public:
  explicit CrashDetector(CrashDetectorSettings settings);

  void OnBroken(Time now, const BrokenAttempt& attempt);
  void OnCheckReply(Time now, const VmId& vm, ProbeResult result);
  // The VM's registration changed. `run` is absent if it was removed.
  void OnRegistration(Time now, const VmId& vm, std::optional<Incarnation> run);
  void Tick(Time now);

  std::vector<CheckEndpoint> TakeChecks();
  // Returns the crashes noticed since the last call. A crash is returned again
  // if further attempts turn out to have broken with it.
  std::vector<EndpointCrash> TakeCrashes();

 private:
  struct Break {
    EndpointCrash crash;
    Address address;
    Time last_broken;
    Time last_check;
    // The last check is not answered yet.
    bool is_checking = false;
    // Number of checks since the last attempt broke.
    int checks = 0;
    // Attempts broke after the last check was sent, or it decided nothing.
    bool must_check = false;
    bool is_crashed = false;
  };

  void Check(Time now, Break& broken);
  void Confirm(Break& broken, std::string_view evidence);

  CrashDetectorSettings settings_;
  std::map<VmId, Break> breaks_;
  std::vector<CheckEndpoint> checks_;
  std::vector<EndpointCrash> crashes_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CRASH_DETECTOR_H_
