#ifndef TESTS_SUPPORT_CRASH_RULE_H_
#define TESTS_SUPPORT_CRASH_RULE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

// Checks the users' rule for requests that crash endpoints, from what the
// endpoints see.
class CrashRule {
 public:
  // Number of crashes after which a request is known.
  static constexpr std::size_t kKnownAfter = 3;
  // Nodes have this long to act on the last of these crashes, and a node that
  // was disturbed has this long afterwards.
  static constexpr Duration kReaction = Duration::Seconds(3);
  // Number of times that a known request may still reach an endpoint.
  static constexpr int kMaxLaterSends = 3;

  void OnCrash(Time now, Fingerprint content) {
    Request& request = requests_[content];
    if (++request.crashes == kKnownAfter) {
      request.known_since = now;
    }
  }

  // A node that was in touch with all others sent the request to an endpoint.
  void OnArrival(Time now, Fingerprint content) {
    const auto found = requests_.find(content);
    if (found == requests_.end() || found->second.crashes < kKnownAfter ||
        now <= found->second.known_since + kReaction) {
      return;
    }
    ++found->second.later_sends;
  }

  std::size_t crashes(Fingerprint content) const {
    const auto found = requests_.find(content);
    return found == requests_.end() ? 0 : found->second.crashes;
  }
  int later_sends(Fingerprint content) const {
    const auto found = requests_.find(content);
    return found == requests_.end() ? 0 : found->second.later_sends;
  }

  // Describes the first request that breaks the rule; empty if none does.
  std::string FirstViolation() const {
    for (const auto& [content, request] : requests_) {
      if (request.later_sends > kMaxLaterSends) {
        return "request " + std::to_string(content.value()) + " was sent " +
               std::to_string(request.later_sends) + " times more, " +
               std::to_string(request.crashes) + " endpoints crashed";
      }
    }
    return "";
  }

 private:
  struct Request {
    std::size_t crashes = 0;
    Time known_since;
    int later_sends = 0;
  };

  std::map<Fingerprint, Request> requests_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_CRASH_RULE_H_
