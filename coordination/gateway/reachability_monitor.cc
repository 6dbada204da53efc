#include "coordination/gateway/reachability_monitor.h"

#include <algorithm>
#include <utility>

namespace gcw {

ReachabilityMonitor::ReachabilityMonitor(ReachabilityMonitorSettings settings,
                                         EventSink events)
    : settings_(settings), events_(std::move(events)) {}

void ReachabilityMonitor::OnContact(Time now) {
  last_contact_ = now;
  failed_checks_.clear();
  EndCut(now);
}

void ReachabilityMonitor::OnFailure(Time now, const VmId& vm) {
  failures_[vm] = now;
}

void ReachabilityMonitor::OnCheckReply(Time now,
                                       const VmId& vm,
                                       ProbeResult result) {
  if (pending_checks_.erase(vm) == 0) {
    return;
  }
  const bool is_reached =
      result != ProbeResult::kRefused && result != ProbeResult::kUnreachable;
  if (is_reached) {
    failures_.clear();
    OnContact(now);
    return;
  }
  failed_checks_.insert(vm);
  Review(now);
}

void ReachabilityMonitor::OnPeerContact(Time contact) {
  last_peer_contact_ = std::max(last_peer_contact_, contact);
}

void ReachabilityMonitor::Tick(Time now,
                               bool is_silent,
                               std::size_t endpoints) {
  std::erase_if(failures_, [&](const auto& failure) {
    return now - failure.second >= settings_.failure_ttl;
  });
  const std::size_t suspicious =
      std::min(settings_.suspicious_failures, endpoints);
  is_suspected_ =
      endpoints > 0 && (is_silent || failures_.size() >= suspicious);
  if (!is_suspected()) {
    next_round_ = Time();
  }
}

std::size_t ReachabilityMonitor::TakeChecks(Time now) {
  if (!is_suspected() || now < next_round_) {
    return 0;
  }
  next_round_ = now + settings_.check_interval;
  return settings_.checks_per_round;
}

void ReachabilityMonitor::OnChecksSent(std::set<VmId> vms) {
  round_size_ = vms.size();
  failed_checks_.clear();
  peer_contact_before_round_ = last_peer_contact_;
  pending_checks_ = std::move(vms);
}

// The checks must fail after another node has heard from an endpoint: while all
// endpoints restart, some nodes hear from them sooner than others.
void ReachabilityMonitor::Review(Time now) {
  if (is_cut() || round_size_ == 0 || !pending_checks_.empty() ||
      failed_checks_.size() < round_size_ ||
      peer_contact_before_round_ < last_contact_ + settings_.min_contact_lead) {
    return;
  }
  cut_since_ = now;
  events_({EventKind::kEndpointsUnreachable,
           {},
           {},
           {{"failed_checks", static_cast<std::int64_t>(failed_checks_.size())},
            {"silent_ms", (now - last_contact_).millis()}}});
}

void ReachabilityMonitor::EndCut(Time now) {
  if (!is_cut()) {
    return;
  }
  events_({EventKind::kEndpointsReachable,
           {},
           {},
           {{"after_ms", (now - *cut_since_).millis()}}});
  cut_since_.reset();
}

}  // namespace gcw
