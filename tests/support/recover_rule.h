#ifndef TESTS_SUPPORT_RECOVER_RULE_H_
#define TESTS_SUPPORT_RECOVER_RULE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "coordination/coordination.h"

namespace gcw {

// Checks the users' rule for nodes that are partitioned from all endpoints:
// their callers' first attempts are served two thirds as often as those at the
// other nodes.
class RecoverRule {
 public:
  // A node has this long to react.
  static constexpr Duration kReaction = Duration::Seconds(3);

  struct Counts {
    int sent = 0;
    int served = 0;

    double share() const {
      return sent == 0 ? 1.0 : static_cast<double>(served) / sent;
    }
  };

  void OnCut(Time now, std::set<std::size_t> nodes) {
    begins_ = now + kReaction;
    ends_.reset();
    cut_nodes_ = std::move(nodes);
    cut_ = other_ = Counts();
  }
  void OnHealed(Time now) { ends_ = now; }

  // The first attempt of a caller arrived at `sent` and got its final answer.
  void OnFinal(std::size_t node, Time sent, bool is_served) {
    if (!begins_ || sent < *begins_ || (ends_ && sent >= *ends_)) {
      return;
    }
    Counts& counts = cut_nodes_.contains(node) ? cut_ : other_;
    ++counts.sent;
    counts.served += is_served ? 1 : 0;
  }

  // Returns an empty text if the rule holds.
  std::string Violation() const {
    const int failed = cut_.sent - cut_.served;
    const int allowed = 10 + (cut_.sent + other_.sent) / 50;
    const double least = other_.share() * 2 / 3;
    if (cut_.share() >= least || failed <= allowed) {
      return "";
    }
    return "cut nodes served " + Describe(cut_) + ", the others " +
           Describe(other_);
  }

  const Counts& cut() const { return cut_; }
  const Counts& other() const { return other_; }

 private:
  static std::string Describe(const Counts& counts) {
    return std::to_string(counts.served) + " of " + std::to_string(counts.sent);
  }

  std::optional<Time> begins_;
  std::optional<Time> ends_;
  std::set<std::size_t> cut_nodes_;
  Counts cut_;
  Counts other_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_RECOVER_RULE_H_
