#include "coordination/gateway/crash_guard.h"

#include <cstddef>
#include <string>
#include <utility>

namespace gcw {
namespace {

// Maximum number of fingerprints that one event lists.
constexpr std::size_t kMaxListedSuspects = 8;

std::string ListSuspects(const std::set<Fingerprint>& suspects) {
  std::string list;
  std::size_t listed = 0;
  for (const Fingerprint suspect : suspects) {
    if (++listed > kMaxListedSuspects) {
      return list + ",...";
    }
    list += (list.empty() ? "" : ",") + std::to_string(suspect.value());
  }
  return list;
}

}  // namespace

CrashGuard::CrashGuard(CrashGuardSettings settings,
                       IsExpectedToRun is_expected_to_run,
                       EventSink events)
    : settings_(settings),
      is_expected_to_run_(std::move(is_expected_to_run)),
      events_(std::move(events)),
      detector_(settings.detector) {}

void CrashGuard::OnBroken(Time now, const BrokenAttempt& attempt) {
  if (is_expected_to_run_(attempt.endpoint)) {
    detector_.OnBroken(now, attempt);
    HandleCrashes();
  }
}

void CrashGuard::OnCheckReply(Time now, const VmId& vm, ProbeResult result) {
  detector_.OnCheckReply(now, vm, result);
  HandleCrashes();
}

void CrashGuard::OnRegistration(Time now,
                                const VmId& vm,
                                std::optional<Incarnation> run) {
  detector_.OnRegistration(now, vm, run);
  HandleCrashes();
}

void CrashGuard::Tick(Time now) {
  detector_.Tick(now);
}

void CrashGuard::HandleCrashes() {
  for (const EndpointCrash& crash : detector_.TakeCrashes()) {
    events_({EventKind::kEndpointCrashed,
             crash.endpoint.vm.value(),
             {},
             {{"evidence", std::string(crash.evidence)},
              {"incarnation", crash.endpoint.incarnation.value()},
              {"broken_requests", crash.broken_attempts},
              {"suspects", static_cast<std::int64_t>(crash.suspects.size())},
              {"fingerprints", ListSuspects(crash.suspects)}}});
  }
}

}  // namespace gcw
