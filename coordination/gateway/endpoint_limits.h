#ifndef COORDINATION_GATEWAY_ENDPOINT_LIMITS_H_
#define COORDINATION_GATEWAY_ENDPOINT_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "coordination/gateway/endpoint_report.h"
#include "core/core.h"

namespace gcw {

struct EndpointLimitSettings {
  // Fraction of a named limit that all nodes use together. The rest covers
  // requests that arrive closer together than they were sent.
  double usable_fraction = 0.8;
  // The same for a node that cannot reach the key-value service and so does not
  // see when another node has taken its place.
  double stale_view_fraction = 0.25;
  // A limit has one sender, and one more for each this many requests per
  // second.
  double rate_per_sender = 8;
  // Lower limits are treated as this one, so that their end is noticed.
  RequestRate min_rate = RequestRate::PerSecond(0.1);
  // Higher limits are treated as this one, which binds nobody.
  RequestRate max_rate = RequestRate::PerSecond(1e6);
  // A node that becomes a sender waits this long, until the senders before it
  // have seen the change too.
  Duration takeover_delay = Duration::Seconds(3);
  // Fraction of a limit that the nodes that are not senders use together to
  // find out whether it still holds, in case they missed a notice.
  double trial_fraction = 0.1;
  // A limit is not tried out until it was last heard of this long ago.
  Duration trial_delay = Duration::Seconds(5);
  // A trial that is not used within this time is lost. If nodes kept unused
  // trials, a burst of callers would use all of them at once.
  Duration trial_window = Duration::Seconds(1);
  // Other nodes are told of a limit that differs by this fraction from the last
  // one they were told of, at most once per interval.
  double min_notice_change = 0.1;
  Duration notice_interval = Duration::Seconds(1);
  // A lifted limit is remembered this long, to recognize older notices of it.
  Duration lifted_ttl = Duration::Seconds(10);
  // The limit of an endpoint that takes no requests is remembered this long. It
  // belongs to the process and outlasts a lapsed registration or a new group.
  Duration absent_ttl = Duration::Seconds(600);
};

// Message between nodes: what an endpoint said of its limit.
struct LimitNotice {
  EndpointRun endpoint;
  // Absent if the endpoint no longer names a limit.
  std::optional<RequestRate> rate;
  // Time since the endpoint said so.
  Duration age;
};

// Keeps the requests of all nodes together within the limits that endpoints
// name in their answers.
//
// Nodes that share out a limit evenly would exceed a low one as soon as each of
// them has one request, so each limit has a few senders, which every node
// derives from its view of the fleet, and the other nodes send nothing. A
// sender spaces its requests and never saves up more than one. Nodes tell each
// other what they hear, because a node that sends nothing hears nothing.
class EndpointLimits {
 public:
  EndpointLimits(EndpointLimitSettings settings,
                 Random random,
                 EventSink events);

  // Sets the nodes that accept requests, with their data centres. A node that
  // is not among them is no sender.
  void SetNodes(Time now, NodeId self, std::map<NodeId, ZoneId> nodes);
  // Sets whether this node's view of the fleet is up to date.
  void SetViewCurrent(bool current) { view_is_current_ = current; }

  // Handles what an endpoint says in the answer to an attempt that was sent at
  // `sent`.
  void OnReport(Time now,
                const EndpointRun& endpoint,
                Time sent,
                const EndpointReport& report);
  void OnNotice(Time now, const LimitNotice& notice);
  // A request was sent to the endpoint.
  void OnSent(Time now, const VmId& vm);
  // `is_present` tells whether the endpoint takes requests.
  void Tick(Time now, const std::function<bool(const VmId&)>& is_present);

  // Whether this node may send the endpoint one more request.
  bool MaySend(Time now, const VmId& vm, Incarnation incarnation) const;
  // Returns how many requests all nodes together send the endpoint, or zero if
  // it names no limit.
  RequestRate UsableRate(const VmId& vm, Incarnation incarnation) const;
  bool IsLimited(const VmId& vm) const;
  // Number of endpoints whose limit is in force.
  std::size_t size() const;
  // Returns what other nodes should be told.
  std::vector<LimitNotice> TakeNotices(Time now);

 private:
  struct Limit {
    EndpointRun endpoint;
    // Absent if the limit was lifted.
    std::optional<RequestRate> rate;
    // When the endpoint last said so, to this node or another one.
    Time heard;
    std::size_t senders = 1;
    bool is_sender = false;
    // A sender sends nothing before this time.
    Time not_before;
    Time last_sent;
    // When a node that is no sender may try out whether the limit still holds.
    Time trial_at;
    // What other nodes were last told, and when.
    std::optional<RequestRate> notified_rate;
    Time notified;
    bool must_notify = false;
  };

  // Returns the known limit of this run, or null.
  const Limit* Find(const VmId& vm, Incarnation incarnation) const;
  // `source` names who said so, for the event.
  void Set(Time now,
           const EndpointRun& endpoint,
           std::optional<RequestRate> rate,
           Time heard,
           std::string_view source);
  void ScheduleNotice(Limit& limit) const;
  // Derives the senders from the fleet.
  void ChooseSenders(Limit& limit) const;
  // Chooses the senders again after a change of the fleet or of the limit.
  void UpdateSenders(Time now, Limit& limit) const;
  double LimitPerSecond(const Limit& limit) const;
  double UsablePerSecond(const Limit& limit) const;
  Duration SendInterval(const Limit& limit) const;
  void ScheduleTrial(Time now, Limit& limit);
  void EmitEvent(Time now, const Limit& limit, std::string_view source);

  EndpointLimitSettings settings_;
  Random random_;
  EventSink events_;
  NodeId self_;
  std::map<NodeId, ZoneId> nodes_;
  Time nodes_changed_;
  bool view_is_current_ = true;
  std::map<VmId, Limit> limits_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_ENDPOINT_LIMITS_H_
