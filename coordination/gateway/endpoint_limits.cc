#include "coordination/gateway/endpoint_limits.h"

#include <utility>

namespace gcw {

EndpointLimits::EndpointLimits(EventSink events) : events_(std::move(events)) {}

void EndpointLimits::OnReport(Time now,
                              const EndpointRun& endpoint,
                              Time sent,
                              const EndpointReport& report) {
  if (report.rate_limit) {
    SetLimit(now, endpoint, *report.rate_limit);
    return;
  }
  if (report.has_unreadable_limit) {
    events_({EventKind::kEndpointLimitNamed,
             endpoint.vm.value(),
             {},
             {{"unreadable", true}}});
    return;
  }
  const auto found = limits_.find(endpoint.vm);
  // The answer to an attempt that was sent before the limit was heard may be
  // older than the limit.
  if (found != limits_.end() && report.is_signed &&
      sent > found->second.heard) {
    LiftLimit(now, endpoint);
  }
}

void EndpointLimits::SetLimit(Time now,
                              const EndpointRun& endpoint,
                              RequestRate rate) {
  const auto [it, is_new] = limits_.try_emplace(endpoint.vm);
  Limit& limit = it->second;
  if (is_new || limit.incarnation != endpoint.incarnation ||
      limit.rate != rate) {
    events_({EventKind::kEndpointLimitNamed,
             endpoint.vm.value(),
             {},
             {{"limit_per_s", rate.per_second()}}});
  }
  limit = {endpoint.incarnation, rate, now};
}

void EndpointLimits::LiftLimit(Time now, const EndpointRun& endpoint) {
  const auto found = limits_.find(endpoint.vm);
  events_({EventKind::kEndpointLimitLifted,
           endpoint.vm.value(),
           {},
           {{"heard_ago_ms", (now - found->second.heard).millis()}}});
  limits_.erase(found);
}

}  // namespace gcw
