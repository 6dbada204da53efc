#ifndef TESTS_SUPPORT_RETRY_RULE_H_
#define TESTS_SUPPORT_RETRY_RULE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace gcw {

// The platform's limit on repeats: in any window a service gets at most `ratio`
// times its requests plus `slack` arrivals beyond the first of each request,
// over all nodes. Requests are those of the window, of the one before it or of
// the one half a window before it, whichever has most.
class RetryRule {
 public:
  explicit RetryRule(double ratio = 0.2,
                     double slack = 100,
                     Duration window = Duration::Seconds(10))
      : ratio_(ratio), slack_(slack), window_(window) {}

  // A caller sent a request. Times never decrease.
  void OnRequest(Time now) { requests_.push_back(now); }
  // An attempt reached an endpoint.
  void OnArrival(Time now, std::int64_t request) {
    if (++arrivals_[request] > 1) {
      repeats_.push_back(now);
    }
  }

  struct Window {
    Time start;
    std::int64_t repeats = 0;
    double allowed = 0;

    double Excess() const { return static_cast<double>(repeats) - allowed; }
  };

  // Returns the window that is closest to its limit, or furthest beyond it.
  Window WorstWindow() const {
    Window worst;
    for (const Time start : repeats_) {
      Window window;
      window.start = start;
      window.repeats = Count(repeats_, start);
      const std::int64_t requests =
          std::max({Count(requests_, start), Count(requests_, start - window_),
                    Count(requests_, start - window_ / 2)});
      window.allowed = ratio_ * static_cast<double>(requests) + slack_;
      if (window.Excess() > worst.Excess() || worst.repeats == 0) {
        worst = window;
      }
    }
    return worst;
  }

  // Returns nothing if the limit was kept.
  std::string FirstViolation() const {
    const Window worst = WorstWindow();
    if (static_cast<double>(worst.repeats) <= worst.allowed) {
      return {};
    }
    std::ostringstream text;
    text << worst.repeats << " repeats in the window from " << worst.start
         << " ms, allowed " << worst.allowed;
    return text.str();
  }

  std::int64_t repeats() const {
    return static_cast<std::int64_t>(repeats_.size());
  }
  std::int64_t requests() const {
    return static_cast<std::int64_t>(requests_.size());
  }

 private:
  std::int64_t Count(const std::vector<Time>& times, Time start) const {
    return std::lower_bound(times.begin(), times.end(), start + window_) -
           std::lower_bound(times.begin(), times.end(), start);
  }

  double ratio_;
  double slack_;
  Duration window_;
  std::vector<Time> requests_;
  std::vector<Time> repeats_;
  std::map<std::int64_t, int> arrivals_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_RETRY_RULE_H_
