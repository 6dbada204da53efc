#ifndef COORDINATION_GATEWAY_OVERLOAD_RETURNING_CALLERS_H_
#define COORDINATION_GATEWAY_OVERLOAD_RETURNING_CALLERS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace gcw {

// A route of the configuration: its host followed by its prefix.
using RouteId = StrongId<struct RouteIdTag>;

struct ReturningCallersSettings {
  // Number of recent time limits that are kept for each route.
  std::size_t max_limits = 64;
  // Nothing is known of a route before this many callers stated a limit. A node
  // of a large fleet sees a few requests of a route in ten seconds.
  std::size_t min_limits = 4;
  // Share of the recent callers that has to start with the same limit. Callers
  // retry once, so at most half of all requests are retries.
  double min_usual_share = 0.5;
  // Limits that differ by no more than this count as the same. It is shorter
  // than any retry delay.
  Duration tolerance = Duration::Millis(20);
  // A caller whose limit is below this fraction of the usual one has a limit of
  // its own and is not returning.
  double min_fraction = 0.5;
};

// Recognizes the retries of callers that were refused, by the time that the
// callers have left.
//
// Load pattern: after a peak, the refused callers retry half a second later.
// They are late by then, and take the places of requests that could still start
// in time. Callers state how long they wait, and a retry has less time left
// than callers have at first.
class ReturningCallers {
 public:
  explicit ReturningCallers(ReturningCallersSettings settings)
      : settings_(settings) {}

  // Returns how long ago the request was first sent; zero if it is new, or if
  // that is not known. `limit` is absent if the caller stated none.
  Duration TimeSinceFirstSend(const RouteId& route,
                              std::optional<Duration> limit) const;
  // Learns from a request of a caller.
  void OnRequest(const RouteId& route, std::optional<Duration> limit);

  // The limit that most callers of the route start with; absent if not known.
  std::optional<Duration> UsualLimit(const RouteId& route) const;

 private:
  struct RouteState {
    // The last limits, in a ring.
    std::vector<Duration> limits;
    std::size_t next = 0;
    std::optional<Duration> usual;
  };

  std::optional<Duration> FindUsual(std::vector<Duration> limits) const;

  ReturningCallersSettings settings_;
  std::map<RouteId, RouteState> routes_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_OVERLOAD_RETURNING_CALLERS_H_
