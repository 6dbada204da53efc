#include "coordination/gateway/overload/returning_callers.h"

#include <algorithm>
#include <utility>

namespace gcw {

Duration ReturningCallers::TimeSinceFirstSend(
    const RouteId& route,
    std::optional<Duration> limit) const {
  const std::optional<Duration> usual = UsualLimit(route);
  if (!limit || !usual || *limit >= *usual - settings_.tolerance ||
      static_cast<double>(limit->millis()) <
          settings_.min_fraction * static_cast<double>(usual->millis())) {
    return Duration();
  }
  return *usual - *limit;
}

void ReturningCallers::OnRequest(const RouteId& route,
                                 std::optional<Duration> limit) {
  if (!limit) {
    return;
  }
  RouteState& state = routes_[route];
  if (state.limits.size() < settings_.max_limits) {
    state.limits.push_back(*limit);
  } else {
    state.limits[state.next] = *limit;
    state.next = (state.next + 1) % state.limits.size();
  }
  state.usual = FindUsual(state.limits);
}

std::optional<Duration> ReturningCallers::UsualLimit(
    const RouteId& route) const {
  const auto found = routes_.find(route);
  return found == routes_.end() ? std::nullopt : found->second.usual;
}

std::optional<Duration> ReturningCallers::FindUsual(
    std::vector<Duration> limits) const {
  if (limits.size() < settings_.min_limits) {
    return std::nullopt;
  }
  std::sort(limits.begin(), limits.end());
  std::optional<Duration> usual;
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < limits.size(); ++last) {
    while (limits[first] < limits[last] - settings_.tolerance) {
      ++first;
    }
    // Of two equally frequent limits, the longer one is that of new requests.
    if (const std::size_t alike = last - first + 1; alike >= most) {
      most = alike;
      usual = limits[last];
    }
  }
  return static_cast<double>(most) >=
                 settings_.min_usual_share * static_cast<double>(limits.size())
             ? usual
             : std::nullopt;
}

}  // namespace gcw
