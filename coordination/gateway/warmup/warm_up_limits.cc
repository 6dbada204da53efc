#include "coordination/gateway/warmup/warm_up_limits.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace gcw {
namespace {

// Registrations and the platform may name any limit.
constexpr double kMaxLimit = 1e9;

}  // namespace

WarmUpLimits::WarmUpLimits(WarmUpLimitSettings settings, EventSink events)
    : settings_(settings),
      events_(std::move(events)),
      nodes_(settings.takeover_delay) {}

void WarmUpLimits::SetNodes(Time now,
                            NodeId self,
                            const std::set<NodeId>& listed) {
  nodes_.Update(now, std::move(self), listed);
}

void WarmUpLimits::SetEndpoint(Time now,
                               const VmId& vm,
                               const ZoneId& zone,
                               const WarmUpState& state) {
  if (state.rate <= RequestRate() || state.time <= Duration()) {
    endpoints_.erase(vm);
    return;
  }
  Endpoint& endpoint = endpoints_[vm];
  endpoint.zone = zone;
  endpoint.state = state;
  if (state.left > Duration()) {
    MarkCold(now, vm, endpoint, now + state.left, "registration");
  }
  // The endpoint may have registered before its data centre was restored.
  const auto restored = restored_.find(zone);
  if (restored != restored_.end()) {
    MarkCold(now, vm, endpoint, restored->second + state.time, "zone_restored");
  }
}

void WarmUpLimits::OnReturned(Time now, const VmId& vm) {
  const auto found = endpoints_.find(vm);
  if (found != endpoints_.end()) {
    MarkCold(now, vm, found->second, now + found->second.state.time,
             "returned");
  }
}

void WarmUpLimits::OnZoneRestored(Time now, const ZoneId& zone) {
  restored_[zone] = now;
  for (auto& [vm, endpoint] : endpoints_) {
    if (endpoint.zone == zone) {
      MarkCold(now, vm, endpoint, now + endpoint.state.time, "zone_restored");
    }
  }
}

void WarmUpLimits::MarkCold(Time now,
                            const VmId& vm,
                            Endpoint& endpoint,
                            Time until,
                            std::string_view reason) {
  if (until <= now || until <= endpoint.cold_until) {
    return;
  }
  endpoint.cold_until = until;
  if (!std::exchange(endpoint.is_reported_cold, true)) {
    events_({EventKind::kEndpointCold,
             vm.value(),
             {},
             {{"reason", std::string(reason)},
              {"for_ms", (until - now).millis()},
              {"sender", IsSender(vm, endpoint)},
              {"senders", static_cast<std::int64_t>(SenderCount(endpoint))}}});
  }
}

void WarmUpLimits::OnSent(Time now, const VmId& vm) {
  const auto found = endpoints_.find(vm);
  if (found == endpoints_.end()) {
    return;
  }
  std::deque<Time>& sent = found->second.sent;
  sent.push_back(now);
  while (sent.size() > SenderQuota(found->second) ||
         now - sent.front() >= settings_.window) {
    sent.pop_front();
  }
}

void WarmUpLimits::Tick(Time now) {
  started_ = started_.value_or(now);
  nodes_.Tick(now);
  for (auto& [vm, endpoint] : endpoints_) {
    if (endpoint.is_reported_cold && now >= endpoint.cold_until) {
      endpoint.is_reported_cold = false;
      events_({EventKind::kEndpointWarm, vm.value(), {}, {}});
    }
  }
}

double WarmUpLimits::UsableLimit(const Endpoint& endpoint) const {
  const double limit =
      endpoint.state.rate.per_second() * settings_.overshoot + settings_.slack;
  return std::clamp(std::floor(limit * settings_.usable_fraction), 1.0,
                    kMaxLimit);
}

std::size_t WarmUpLimits::SenderCount(const Endpoint& endpoint) const {
  const auto limit = static_cast<std::size_t>(UsableLimit(endpoint));
  return std::max<std::size_t>(1, std::min(nodes_.size(), limit));
}

std::size_t WarmUpLimits::SenderQuota(const Endpoint& endpoint) const {
  return static_cast<std::size_t>(UsableLimit(endpoint)) /
         SenderCount(endpoint);
}

bool WarmUpLimits::IsSender(const VmId& vm, const Endpoint& endpoint) const {
  if (endpoint.derived_at != nodes_.changes()) {
    endpoint.derived_at = nodes_.changes();
    endpoint.is_sender = nodes_.IsAmongFirst(vm.value(), SenderCount(endpoint));
  }
  return endpoint.is_sender;
}

bool WarmUpLimits::IsViewOld(Time now) const {
  // A process that has just started reads the registrations first.
  const std::optional<Time> known_at = view_time_ ? view_time_ : started_;
  return known_at && now - *known_at > settings_.max_view_age;
}

bool WarmUpLimits::IsCold(Time now, const Endpoint& endpoint) const {
  return now < endpoint.cold_until || IsViewOld(now);
}

bool WarmUpLimits::IsCold(Time now, const VmId& vm) const {
  const auto found = endpoints_.find(vm);
  return found != endpoints_.end() && IsCold(now, found->second);
}

bool WarmUpLimits::MaySend(Time now, const VmId& vm) const {
  const auto found = endpoints_.find(vm);
  if (found == endpoints_.end() || !IsCold(now, found->second)) {
    return true;
  }
  const Endpoint& endpoint = found->second;
  const std::size_t quota = SenderQuota(endpoint);
  const bool has_quota = endpoint.sent.size() < quota ||
                         now - endpoint.sent.front() >= settings_.window;
  return has_quota && nodes_.IsEstablished(now) && IsSender(vm, endpoint);
}

std::size_t WarmUpLimits::CountCold(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(),
      [&](const auto& entry) { return IsCold(now, entry.second); }));
}

std::size_t WarmUpLimits::CountOwn(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        return IsCold(now, entry.second) && nodes_.IsEstablished(now) &&
               IsSender(entry.first, entry.second);
      }));
}

}  // namespace gcw
