#ifndef TESTS_SUPPORT_LIMIT_RULE_H_
#define TESTS_SUPPORT_LIMIT_RULE_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

// Checks the users' rule for an endpoint that names a limit, from what the
// endpoint sees: in any four seconds, the nodes that it told send it at most
// one and a half times what the limit allows, and five requests.
class LimitRule {
 public:
  static constexpr Duration kWindow = Duration::Seconds(4);
  // The rule holds this long after the endpoint first named a limit.
  static constexpr Duration kFirstNotice = Duration::Seconds(3);
  // A node has this long to act on what it was told.
  static constexpr Duration kReaction = Duration::Millis(500);
  static constexpr double kOvershoot = 1.5;
  static constexpr double kSlack = 5;

  // The endpoint names a limit from now on, or none.
  void OnNamed(Time now, const VmId& vm, std::optional<double> limit) {
    Endpoint& endpoint = endpoints_[vm];
    if (limit && !endpoint.limited_since) {
      endpoint.limited_since = now;
      endpoint.arrivals.clear();
    } else if (!limit) {
      endpoint.limited_since.reset();
    }
    endpoint.limits.emplace_back(now, limit.value_or(0));
  }

  // A node got an answer that names a limit.
  void OnTold(Time now, const VmId& vm, std::size_t node) {
    endpoints_[vm].told.try_emplace(node, now);
  }

  // A restart or a freeze excuses the node until it is told again.
  void Excuse(std::size_t node) {
    for (auto& [vm, endpoint] : endpoints_) {
      endpoint.told.erase(node);
    }
  }

  void OnArrival(Time now, const VmId& vm, std::size_t node) {
    const auto found = endpoints_.find(vm);
    if (found == endpoints_.end() || !found->second.limited_since) {
      return;
    }
    Endpoint& endpoint = found->second;
    const auto told = endpoint.told.find(node);
    if (told == endpoint.told.end() || now - told->second < kReaction) {
      return;
    }
    ++counted_;
    endpoint.arrivals.push_back(now);
    while (now - endpoint.arrivals.front() >= kWindow) {
      endpoint.arrivals.pop_front();
    }
    if (now - *endpoint.limited_since < kFirstNotice) {
      return;
    }
    const double allowed = kOvershoot * Allowance(endpoint, now) + kSlack;
    const auto got = static_cast<double>(endpoint.arrivals.size());
    worst_ratio_ = std::max(worst_ratio_, got / allowed);
    if (got > allowed) {
      violations_.push_back(vm.value() + " got " + std::to_string(got) +
                            " requests, allowed " + std::to_string(allowed));
    }
  }

  const std::vector<std::string>& violations() const { return violations_; }
  // The largest part of what is allowed that any endpoint got.
  double worst_ratio() const { return worst_ratio_; }
  // Requests of told nodes at endpoints while these named a limit.
  int counted() const { return counted_; }

 private:
  struct Endpoint {
    std::optional<Time> limited_since;
    // Limits with the times from which they are named.
    std::vector<std::pair<Time, double>> limits;
    std::map<std::size_t, Time> told;
    std::deque<Time> arrivals;
  };

  // Returns how many requests the limits of the last window allow. A lower
  // limit counts once the nodes had time to act on it.
  static double Allowance(const Endpoint& endpoint, Time now) {
    constexpr Duration kStep = Duration::Millis(50);
    double allowance = 0;
    for (Time at = now - kWindow; at < now; at = at + kStep) {
      allowance +=
          std::max(LimitAt(endpoint, at), LimitAt(endpoint, at - kReaction)) *
          static_cast<double>(kStep.millis()) / 1000;
    }
    return allowance;
  }

  static double LimitAt(const Endpoint& endpoint, Time at) {
    double limit = endpoint.limits.front().second;
    for (const auto& [since, named] : endpoint.limits) {
      limit = since <= at ? named : limit;
    }
    return limit;
  }

  std::map<VmId, Endpoint> endpoints_;
  std::vector<std::string> violations_;
  double worst_ratio_ = 0;
  int counted_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_LIMIT_RULE_H_
