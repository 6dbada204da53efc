#ifndef COORDINATION_GATEWAY_REACHABILITY_MONITOR_H_
#define COORDINATION_GATEWAY_REACHABILITY_MONITOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/gateway/crash_detector.h"
#include "state/state.h"

namespace gcw {

struct ReachabilityMonitorSettings {
  // Timeout of a check, which is a new connection to an endpoint.
  Duration check_timeout = Duration::Millis(250);
  // Interval between two rounds of checks while the node is suspected or cut.
  // Longer than the timeout, so that a round ends before the next begins.
  Duration check_interval = Duration::Millis(300);
  // Number of endpoints, drawn at random, in one round. All of them must fail
  // before the node counts as cut.
  std::size_t checks_per_round = 4;
  // Number of distinct endpoints that must fail before the node is suspected:
  // one endpoint fails for reasons of its own.
  std::size_t suspicious_failures = 2;
  // A failure is remembered for this long.
  Duration failure_ttl = Duration::Seconds(2);
  // Another node must have heard from an endpoint this much later than this
  // node. If all endpoints fail at once, nobody hears from them any more.
  Duration min_contact_lead = Duration::Millis(200);
};

// Decides whether this node has lost its paths to the endpoints while other
// nodes still reach them. Endpoints that nobody reaches are down, and this node
// is as good as any other.
class ReachabilityMonitor {
 public:
  ReachabilityMonitor(ReachabilityMonitorSettings settings, EventSink events);

  // Bytes of an endpoint arrived.
  void OnContact(Time now);
  // An attempt at the endpoint could not connect, broke or went silent.
  void OnFailure(Time now, const VmId& vm);
  void OnCheckReply(Time now, const VmId& vm, ProbeResult result);
  // Another node heard from an endpoint at this time.
  void OnPeerContact(Time contact);
  // `is_silent` is true if streams run and no endpoint sends anything.
  // `endpoints` is the number of endpoints that take requests.
  void Tick(Time now, bool is_silent, std::size_t endpoints);

  // Returns the number of endpoints to check now, or 0.
  std::size_t TakeChecks(Time now);
  // These endpoints are checked.
  void OnChecksSent(std::set<VmId> vms);

  // Whether the node has lost its paths to all endpoints.
  bool is_cut() const { return cut_since_.has_value(); }
  // Whether the node may have lost its paths to endpoints.
  bool is_suspected() const { return is_suspected_ || is_cut(); }
  Time last_contact() const { return last_contact_; }
  Duration check_timeout() const { return settings_.check_timeout; }

 private:
  // Decides at the end of a round of checks.
  void Review(Time now);
  void EndCut(Time now);

  ReachabilityMonitorSettings settings_;
  EventSink events_;
  Time last_contact_;
  Time last_peer_contact_;
  // Failed attempts since the last check that succeeded, by endpoint.
  std::map<VmId, Time> failures_;
  std::set<VmId> pending_checks_;
  // Endpoints whose checks failed since the last contact.
  std::set<VmId> failed_checks_;
  // Number of checks in the last round, and the last contact of another node
  // that was known when it began.
  std::size_t round_size_ = 0;
  Time peer_contact_before_round_;
  Time next_round_;
  bool is_suspected_ = false;
  std::optional<Time> cut_since_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_REACHABILITY_MONITOR_H_
