#ifndef COORDINATION_GATEWAY_WARMUP_WARM_UP_LIMITS_H_
#define COORDINATION_GATEWAY_WARMUP_WARM_UP_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "coordination/gateway/warmup/recent_nodes.h"
#include "coordination/gateway/warmup/warm_up_limit_settings.h"
#include "core/core.h"

namespace gcw {

// What is configured and registered of an endpoint's warm-up.
struct WarmUpState {
  // Zero if the service does not limit cold endpoints.
  RequestRate rate;
  // How long an endpoint is cold after a start.
  Duration time;
  // How much longer the endpoint says that it stays cold.
  Duration left;

  friend bool operator==(const WarmUpState&, const WarmUpState&) = default;
};

// Keeps the requests of all nodes together within what cold endpoints tolerate.
//
// An endpoint that gets requests much faster crashes, and each node sees only
// its own. So a cold endpoint has a limited number of senders, the first nodes
// by rendezvous hashing of the endpoint, each of which sends so few requests in
// any second that all of them together keep to the limit. Other nodes send it
// nothing. No messages are needed. Endpoints turn cold at any moment, alone or
// with their data centre, so a node counts its latest requests to all endpoints
// of such a service, and treats an endpoint as cold whenever it may be.
class WarmUpLimits {
 public:
  WarmUpLimits(WarmUpLimitSettings settings, EventSink events);

  // Sets the nodes that the view lists.
  void SetNodes(Time now, NodeId self, const std::set<NodeId>& listed);
  // Sets the latest time at which the copy of the registrations is known to
  // have been complete.
  void SetViewTime(std::optional<Time> complete_at) {
    view_time_ = complete_at;
  }
  // The endpoint's registration or its service's configuration changed.
  void SetEndpoint(Time now,
                   const VmId& vm,
                   const ZoneId& zone,
                   const WarmUpState& state);
  void RemoveEndpoint(const VmId& vm) { endpoints_.erase(vm); }
  // The endpoint sends again after it was silent or out of reach.
  void OnReturned(Time now, const VmId& vm);
  // Requests may be sent to the data centre again.
  void OnZoneRestored(Time now, const ZoneId& zone);
  // A request was sent to the endpoint.
  void OnSent(Time now, const VmId& vm);
  void Tick(Time now);

  // Whether the endpoint is, or may be, cold.
  bool IsCold(Time now, const VmId& vm) const;
  // Whether this node may send the endpoint one more request.
  bool MaySend(Time now, const VmId& vm) const;
  std::size_t CountCold(Time now) const;
  // Number of cold endpoints that this node may send to.
  std::size_t CountOwn(Time now) const;

 private:
  struct Endpoint {
    ZoneId zone;
    WarmUpState state;
    Time cold_until;
    // Times of this node's requests in the last window.
    std::deque<Time> sent;
    // Whether this node is a sender, as of a change of the fleet.
    mutable bool is_sender = false;
    mutable std::optional<std::uint64_t> derived_at;
    bool is_reported_cold = false;
  };

  // Number of requests per second that all nodes together send.
  double UsableLimit(const Endpoint& endpoint) const;
  std::size_t SenderCount(const Endpoint& endpoint) const;
  // Number of requests that each sender may send in a window.
  std::size_t SenderQuota(const Endpoint& endpoint) const;
  bool IsSender(const VmId& vm, const Endpoint& endpoint) const;
  bool IsCold(Time now, const Endpoint& endpoint) const;
  bool IsViewOld(Time now) const;
  void MarkCold(Time now,
                const VmId& vm,
                Endpoint& endpoint,
                Time until,
                std::string_view reason);

  WarmUpLimitSettings settings_;
  EventSink events_;
  RecentNodes nodes_;
  std::optional<Time> started_;
  std::optional<Time> view_time_;
  std::map<VmId, Endpoint> endpoints_;
  // When data centres were restored.
  std::map<ZoneId, Time> restored_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_WARMUP_WARM_UP_LIMITS_H_
