#ifndef COORDINATION_GATEWAY_ENDPOINT_HOLDS_H_
#define COORDINATION_GATEWAY_ENDPOINT_HOLDS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "coordination/gateway/endpoint_report.h"
#include "core/core.h"

namespace gcw {

// Endpoints that asked this node for no more requests: for a time, because they
// have too many, or for the rest of their run, because they are about to stop.
class EndpointHolds {
 public:
  explicit EndpointHolds(EventSink events);

  void OnReport(Time now,
                const EndpointRun& endpoint,
                const EndpointReport& report);
  void Tick(Time now);

  bool MaySend(Time now, const VmId& vm, Incarnation incarnation) const;
  // Returns when this node may send to the endpoint again, `now` if it may at
  // once, or absent if it never may.
  std::optional<Time> NextSend(Time now,
                               const VmId& vm,
                               Incarnation incarnation) const;
  // Whether the endpoint said that it is about to stop.
  bool IsLeaving(const EndpointRun& endpoint) const;
  bool IsHeld(const VmId& vm) const { return holds_.contains(vm); }
  // Number of endpoints that get no requests now.
  std::size_t size() const { return holds_.size(); }

 private:
  struct Hold {
    Incarnation incarnation;
    Time cooldown_ends;
    bool is_leaving = false;
    // When the endpoint last asked.
    Time heard;
  };

  // Returns the hold of this run, or null.
  const Hold* Find(const VmId& vm, Incarnation incarnation) const;

  EventSink events_;
  std::map<VmId, Hold> holds_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_ENDPOINT_HOLDS_H_
