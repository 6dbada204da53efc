#ifndef TESTS_SUPPORT_HOLD_RULE_H_
#define TESTS_SUPPORT_HOLD_RULE_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

// Checks the users' rules for endpoints that ask a node for no more requests,
// from what the endpoints see.
class HoldRule {
 public:
  // A node has this long to act on a cooldown.
  static constexpr Duration kReaction = Duration::Millis(500);
  // Requests that still may arrive from a node within a cooldown.
  static constexpr int kSlack = 2;
  // After this time a node sends nothing more to an endpoint that leaves.
  static constexpr Duration kDrain = Duration::Seconds(2);

  // The endpoint refused the node's request and asked for a cooldown.
  void OnCooldown(Time now,
                  const VmId& vm,
                  std::size_t node,
                  Duration cooldown) {
    cooldowns_[{vm, node}].push_back({now + kReaction, now + cooldown, 0});
  }

  // A node got an answer of an endpoint that leaves.
  void OnLeaving(Time now, const VmId& vm, std::size_t node) {
    leaving_.try_emplace({vm, node}, now);
  }

  void Excuse(std::size_t node) {
    std::erase_if(cooldowns_, [&](const auto& entry) {
      return entry.first.second == node;
    });
    std::erase_if(leaving_, [&](const auto& entry) {
      return entry.first.second == node;
    });
  }

  void OnArrival(Time now, const VmId& vm, std::size_t node) {
    const auto leaving = leaving_.find({vm, node});
    if (leaving != leaving_.end() && now - leaving->second > kDrain) {
      violations_.push_back(vm.value() + " leaves and got a request");
    }
    const auto cooldowns = cooldowns_.find({vm, node});
    if (cooldowns == cooldowns_.end()) {
      return;
    }
    std::erase_if(cooldowns->second,
                  [&](const Cooldown& each) { return now >= each.ends; });
    for (Cooldown& cooldown : cooldowns->second) {
      if (now >= cooldown.begins && ++cooldown.arrivals > kSlack) {
        violations_.push_back(vm.value() + " got " +
                              std::to_string(cooldown.arrivals) +
                              " requests in a cooldown");
      }
    }
  }

  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Cooldown {
    Time begins;
    Time ends;
    int arrivals = 0;
  };
  using Pair = std::pair<VmId, std::size_t>;

  std::map<Pair, std::vector<Cooldown>> cooldowns_;
  std::map<Pair, Time> leaving_;
  std::vector<std::string> violations_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_HOLD_RULE_H_
