#ifndef COORDINATION_GATEWAY_CRASH_GUARD_H_
#define COORDINATION_GATEWAY_CRASH_GUARD_H_

#include <functional>
#include <optional>
#include <vector>

#include "coordination/gateway/crash_detector.h"
#include "state/state.h"

namespace gcw {

struct CrashGuardSettings {
  // A request that has streamed events for this long does not crash the
  // endpoint that runs it.
  Duration proof_time = Duration::Millis(500);
  CrashDetectorSettings detector;
};

// Recognizes requests that crash endpoints.
class CrashGuard {
 public:
  // Whether the run is registered and has not announced its end. What breaks
  // off at a planned end says nothing about requests.
  using IsExpectedToRun = std::function<bool(const EndpointRun&)>;

  CrashGuard(CrashGuardSettings settings,
             IsExpectedToRun is_expected_to_run,
             EventSink events);

  void OnBroken(Time now, const BrokenAttempt& attempt);
  void OnCheckReply(Time now, const VmId& vm, ProbeResult result);
  // The VM's registration changed. `run` is absent if it was removed.
  void OnRegistration(Time now, const VmId& vm, std::optional<Incarnation> run);
  void Tick(Time now);

  Duration proof_time() const { return settings_.proof_time; }
  std::vector<CheckEndpoint> TakeChecks() { return detector_.TakeChecks(); }

 private:
  void HandleCrashes();

  CrashGuardSettings settings_;
  IsExpectedToRun is_expected_to_run_;
  EventSink events_;
  CrashDetector detector_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_CRASH_GUARD_H_
