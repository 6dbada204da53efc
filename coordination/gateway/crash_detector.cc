#include "coordination/gateway/crash_detector.h"

#include <utility>

namespace gcw {
namespace {

constexpr std::string_view kConnectionRefused = "connection_refused";
constexpr std::string_view kAddressReassigned = "address_reassigned";
constexpr std::string_view kRegistrationLost = "registration_lost";
constexpr std::string_view kRestarted = "restarted";

}  // namespace

CrashDetector::CrashDetector(CrashDetectorSettings settings)
    : settings_(settings) {}

void CrashDetector::OnBroken(Time now, const BrokenAttempt& attempt) {
  const auto [it, is_new] = breaks_.try_emplace(attempt.endpoint.vm);
  Break& broken = it->second;
  if (!is_new &&
      broken.crash.endpoint.incarnation != attempt.endpoint.incarnation) {
    broken = Break();
  }
  broken.crash.endpoint = attempt.endpoint;
  broken.address = attempt.address;
  broken.last_broken = now;
  ++broken.crash.broken_attempts;
  for (const CrashSuspect& suspect : attempt.suspects) {
    broken.crash.suspects.try_emplace(suspect.fingerprint, suspect)
        .first->second.is_apart |= suspect.is_apart;
  }
  if (broken.is_crashed) {
    Confirm(broken, broken.crash.evidence);
    return;
  }
  broken.checks = 0;
  broken.must_check = true;
  Check(now, broken);
}

void CrashDetector::Check(Time now, Break& broken) {
  if (broken.is_checking || !broken.must_check ||
      (broken.last_check != Time() &&
       now - broken.last_check < settings_.check_interval)) {
    return;
  }
  broken.is_checking = true;
  broken.must_check = false;
  ++broken.checks;
  broken.last_check = now;
  checks_.push_back({.purpose = CheckPurpose::kCrash,
                     .vm = broken.crash.endpoint.vm,
                     .address = broken.address,
                     .timeout = settings_.check_timeout});
}

void CrashDetector::OnCheckReply(Time now, const VmId& vm, ProbeResult result) {
  const auto found = breaks_.find(vm);
  if (found == breaks_.end() || !found->second.is_checking) {
    return;
  }
  Break& broken = found->second;
  broken.is_checking = false;
  switch (result) {
    case ProbeResult::kRefused:
      if (!broken.refused_at) {
        broken.refused_at = now;
      }
      refusals_.push_back(broken.crash);
      return;
    case ProbeResult::kWrongVm:
      Confirm(broken, kAddressReassigned);
      return;
    case ProbeResult::kConnected:
      broken.must_check |= broken.checks < settings_.max_checks;
      Check(now, broken);
      return;
    case ProbeResult::kAnswered:
      // Attempts that broke after the check was sent need another one.
      broken.refused_at.reset();
      broken.asked_at.reset();
      if (broken.must_check) {
        Check(now, broken);
      } else {
        breaks_.erase(found);
      }
      return;
    case ProbeResult::kUnreachable:
      return;
  }
}

void CrashDetector::OnRegistration(Time /*now*/,
                                   const VmId& vm,
                                   std::optional<Incarnation> run) {
  const auto found = breaks_.find(vm);
  if (found == breaks_.end() || found->second.is_crashed ||
      run == found->second.crash.endpoint.incarnation) {
    return;
  }
  Confirm(found->second, run ? kRestarted : kRegistrationLost);
}

void CrashDetector::Confirm(Break& broken, std::string_view evidence) {
  broken.is_crashed = true;
  broken.crash.evidence = evidence;
  crashes_.push_back(broken.crash);
}

void CrashDetector::OnContactElsewhere(const VmId& vm, Time contact) {
  const auto found = breaks_.find(vm);
  if (found != breaks_.end() && !found->second.is_crashed &&
      contact >= found->second.last_broken + settings_.contact_margin) {
    breaks_.erase(found);
  }
}

bool CrashDetector::IsUndecided(const VmId& vm) const {
  const auto found = breaks_.find(vm);
  return found != breaks_.end() && !found->second.is_crashed &&
         found->second.refused_at.has_value();
}

void CrashDetector::ConfirmRefused(const VmId& vm) {
  const auto found = breaks_.find(vm);
  if (found != breaks_.end() && !found->second.is_crashed) {
    Confirm(found->second, kConnectionRefused);
  }
}

void CrashDetector::DropUnconfirmed() {
  std::erase_if(breaks_,
                [](const auto& entry) { return !entry.second.is_crashed; });
}

void CrashDetector::ReviewRefused(Time now, bool paths_in_doubt) {
  std::size_t asked = 0;
  for (const auto& [vm, broken] : breaks_) {
    asked += broken.asked_at && !broken.is_crashed ? 1 : 0;
  }
  for (auto& [vm, broken] : breaks_) {
    if (broken.is_crashed || !broken.refused_at) {
      continue;
    }
    if (!broken.asked_at) {
      const bool may_ask =
          now - *broken.refused_at >= settings_.witness_delay &&
          asked < settings_.max_witness_queries;
      if (may_ask) {
        ++asked;
        broken.asked_at = now;
        witness_queries_.push_back(vm);
      }
    } else if (now - *broken.asked_at >= settings_.witness_timeout &&
               !paths_in_doubt) {
      Confirm(broken, kConnectionRefused);
    }
  }
}

std::vector<EndpointCrash> CrashDetector::TakeRefusals() {
  return std::exchange(refusals_, {});
}

std::vector<VmId> CrashDetector::TakeWitnessQueries() {
  return std::exchange(witness_queries_, {});
}

void CrashDetector::Tick(Time now, bool paths_in_doubt) {
  std::erase_if(breaks_, [&](const auto& entry) {
    return now - entry.second.last_broken >= settings_.memory;
  });
  for (auto& [vm, broken] : breaks_) {
    if (!broken.is_crashed) {
      Check(now, broken);
    }
  }
  ReviewRefused(now, paths_in_doubt);
}

std::vector<CheckEndpoint> CrashDetector::TakeChecks() {
  return std::exchange(checks_, {});
}

std::vector<EndpointCrash> CrashDetector::TakeCrashes() {
  return std::exchange(crashes_, {});
}

}  // namespace gcw
