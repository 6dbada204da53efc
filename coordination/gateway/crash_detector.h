#ifndef COORDINATION_GATEWAY_CRASH_DETECTOR_H_
#define COORDINATION_GATEWAY_CRASH_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "coordination/gateway/crash_suspect.h"
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
  // An endpoint that refuses a connection has crashed unless another node hears
  // from it afterwards. Other nodes are asked this long after the refusal, by
  // when a running group has sent its next events, and answer within the second
  // time.
  Duration witness_delay = Duration::Millis(100);
  Duration witness_timeout = Duration::Millis(100);
  // What other nodes received within this time of the break may have been sent
  // before it.
  Duration contact_margin = Duration::Millis(40);
  // Maximum number of endpoints about which other nodes are asked at once.
  std::size_t max_witness_queries = 4;
  // A broken attempt is remembered this long. A crashed endpoint that did not
  // answer the check is known by its registration, which lapses in this time.
  Duration memory = Duration::Seconds(10);
};

enum class CheckPurpose {
  // An attempt broke, and the endpoint may have crashed.
  kCrash,
  // The node may have lost its paths to all endpoints.
  kReach,
  // The node may have lost its path to this endpoint.
  kPath,
};

// Asks whether the endpoint's process accepts a new connection.
struct CheckEndpoint {
  CheckPurpose purpose = CheckPurpose::kCrash;
  VmId vm;
  Address address;
  Duration timeout;
};

// An attempt whose connection the endpoint closed before the end of its answer.
struct BrokenAttempt {
  EndpointRun endpoint;
  Address address;
  // The whole request and the shared parts of its prompt; empty if the request
  // was shown to be harmless.
  std::vector<CrashSuspect> suspects;
};

// A run of an endpoint that ended without notice, and the requests that may
// have ended it.
struct EndpointCrash {
  EndpointRun endpoint;
  std::map<Fingerprint, CrashSuspect> suspects;
  // Number of this node's attempts that broke.
  std::int64_t broken_attempts = 0;
  // How the crash was noticed.
  std::string_view evidence;
};

// Tells crashes of endpoints from connections that were only reset, and from
// paths that only this node has lost. A process that is gone refuses new
// connections of all nodes, or registers again as another run.
class CrashDetector {
 public:
  explicit CrashDetector(CrashDetectorSettings settings);

  void OnBroken(Time now, const BrokenAttempt& attempt);
  void OnCheckReply(Time now, const VmId& vm, ProbeResult result);
  // Another node heard from the endpoint at this time.
  void OnContactElsewhere(const VmId& vm, Time contact);
  // The VM's registration changed. `run` is absent if it was removed.
  void OnRegistration(Time now, const VmId& vm, std::optional<Incarnation> run);
  // `paths_in_doubt` is true while this node may have lost its paths to
  // endpoints, so that a refusal shows nothing.
  void Tick(Time now, bool paths_in_doubt);
  // Whether the endpoint refused a check and may have crashed.
  bool IsUndecided(const VmId& vm) const;
  // A refusal of this endpoint is known to be a crash.
  void ConfirmRefused(const VmId& vm);
  // This node has lost its paths to endpoints: what broke and was refused says
  // nothing about the endpoints.
  void DropUnconfirmed();

  std::vector<CheckEndpoint> TakeChecks();
  // Returns the endpoints that refused a check since the last call. They have
  // crashed, or only this node has lost its path to them.
  std::vector<EndpointCrash> TakeRefusals();
  // Returns the endpoints about which other nodes are to be asked.
  std::vector<VmId> TakeWitnessQueries();
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
    // When a check was refused, and when other nodes were asked after that.
    std::optional<Time> refused_at;
    std::optional<Time> asked_at;
  };

  void Check(Time now, Break& broken);
  // Asks other nodes about endpoints that refused a check, and decides on those
  // about which they had time to answer.
  void ReviewRefused(Time now, bool paths_in_doubt);
  void Confirm(Break& broken, std::string_view evidence);

  CrashDetectorSettings settings_;
  std::map<VmId, Break> breaks_;
  std::vector<CheckEndpoint> checks_;
  std::vector<EndpointCrash> crashes_;
  std::vector<EndpointCrash> refusals_;
  std::vector<VmId> witness_queries_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CRASH_DETECTOR_H_
