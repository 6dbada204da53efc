#include "coordination/gateway/endpoint_holds.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// A process that announced its end is gone well before this.
constexpr Duration kLeavingTtl = Duration::Seconds(600);
constexpr std::string_view kOwnAnswer = "answer";

}  // namespace

EndpointHolds::EndpointHolds(EventSink events) : events_(std::move(events)) {}

void EndpointHolds::OnReport(Time now,
                             const EndpointRun& endpoint,
                             const EndpointReport& report) {
  if (!report.cooldown && !report.is_leaving) {
    return;
  }
  Hold& hold = holds_[endpoint.vm];
  if (endpoint.incarnation < hold.incarnation) {
    return;
  }
  if (hold.incarnation != endpoint.incarnation) {
    hold = Hold();
    hold.incarnation = endpoint.incarnation;
  }
  hold.heard = now;
  if (report.is_leaving && !std::exchange(hold.is_leaving, true)) {
    events_({EventKind::kEndpointLeaving,
             endpoint.vm.value(),
             {},
             {{"source", std::string(kOwnAnswer)}}});
  }
  if (!report.cooldown) {
    return;
  }
  if (now >= hold.cooldown_ends) {
    events_({EventKind::kEndpointCooldown,
             endpoint.vm.value(),
             {},
             {{"source", std::string(kOwnAnswer)},
              {"cooldown_ms", report.cooldown->millis()}}});
  }
  hold.cooldown_ends = std::max(hold.cooldown_ends, now + *report.cooldown);
}

void EndpointHolds::Tick(Time now) {
  std::erase_if(holds_, [&](const auto& entry) {
    const Hold& hold = entry.second;
    return hold.is_leaving ? now - hold.heard >= kLeavingTtl
                           : now >= hold.cooldown_ends;
  });
}

const EndpointHolds::Hold* EndpointHolds::Find(const VmId& vm,
                                               Incarnation incarnation) const {
  const auto found = holds_.find(vm);
  return found != holds_.end() && found->second.incarnation == incarnation
             ? &found->second
             : nullptr;
}

bool EndpointHolds::MaySend(Time now,
                            const VmId& vm,
                            Incarnation incarnation) const {
  const Hold* hold = Find(vm, incarnation);
  return hold == nullptr || (!hold->is_leaving && now >= hold->cooldown_ends);
}

bool EndpointHolds::IsLeaving(const EndpointRun& endpoint) const {
  const Hold* hold = Find(endpoint.vm, endpoint.incarnation);
  return hold != nullptr && hold->is_leaving;
}

std::optional<Time> EndpointHolds::NextSend(Time now,
                                            const VmId& vm,
                                            Incarnation incarnation) const {
  const Hold* hold = Find(vm, incarnation);
  if (hold == nullptr) {
    return now;
  }
  if (hold->is_leaving) {
    return std::nullopt;
  }
  return std::max(now, hold->cooldown_ends);
}

}  // namespace gcw
