#ifndef TESTS_SUPPORT_PARTITION_WORLD_H_
#define TESTS_SUPPORT_PARTITION_WORLD_H_

#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <string>
#include <variant>

#include "coordination/coordination.h"
#include "tests/support/gateway_world.h"
#include "tests/support/recover_rule.h"

namespace gcw {

// A fleet whose nodes lose their paths to the engines while callers, the store
// and the other nodes still reach them.
class PartitionWorld : public GatewayWorld {
 public:
  explicit PartitionWorld(std::size_t nodes,
                          std::uint64_t seed = 7,
                          std::size_t domains = 4)
      : GatewayWorld(nodes, domains, 11, seed) {
    on_final = [this](const SimulatedRequest& request, std::size_t node,
                      const ForwardStep& step) {
      Count(request, node, std::holds_alternative<PassAnswer>(step));
    };
    on_left = [this](const SimulatedRequest& request, std::size_t node) {
      Count(request, node, false);
      ++callers_left_;
    };
    EXPECT_TRUE(RunUntil(Duration::Seconds(14), [this, domains] {
      return open_groups("large") >= domains && open_groups("small") >= domains;
    }));
    // The fleet gets as many requests at any size.
    request_interval = Duration::Millis(
        std::max<std::int64_t>(50, static_cast<std::int64_t>(nodes) * 10));
    caller_patience = Duration::Seconds(2);
    traffic = true;
    Run(Duration::Seconds(3));
  }

  // The nodes lose all paths to engines for the time.
  void CutFor(Duration time,
              const std::set<std::size_t>& nodes,
              PathFault fault) {
    rule_.OnCut(now(), nodes);
    for (const std::size_t node : nodes) {
      SetPaths(node, fault);
    }
    Run(time);
    for (const std::size_t node : nodes) {
      SetPaths(node, PathFault::kNone);
    }
    rule_.OnHealed(now());
  }

  // Each node loses its paths to every other engine for the time.
  void CutSomePathsFor(Duration time, PathFault fault) {
    const auto set_all = [this](PathFault to) {
      for (std::size_t node = 0; node < node_count(); ++node) {
        std::size_t turn = node;
        for (const auto& [vm, engine] : engines()) {
          if (++turn % 2 == 0) {
            SetPath(node, vm, to);
          }
        }
      }
    };
    set_all(fault);
    Run(time);
    set_all(PathFault::kNone);
  }

  // Number of requests that some node suspects of crashing endpoints.
  std::size_t suspected_requests() {
    std::size_t suspected = 0;
    for (std::size_t i = 0; i < node_count(); ++i) {
      suspected = std::max(suspected, node(i).core->suspected_requests(now()));
    }
    return suspected;
  }

  // The groups that some engine is in.
  std::set<GroupId> Groups() {
    std::set<GroupId> groups;
    for (const auto& [vm, engine] : engines()) {
      if (engine.self.membership) {
        groups.insert(engine.self.membership->group);
      }
    }
    return groups;
  }

  // Returns how often a node was found to count as cut within the time.
  int CountCuts(Duration time) {
    int cuts = 0;
    const Time end = now() + time;
    while (now() < end) {
      Run(Duration::Millis(40));
      for (std::size_t i = 0; i < node_count(); ++i) {
        cuts += IsRunning(i) && node(i).core->is_cut() ? 1 : 0;
      }
    }
    return cuts;
  }

  // Number of callers that left because their streams were silent.
  int callers_left() const { return callers_left_; }

  // Lets all requests end that were sent so far.
  void Settle() { Run(Duration::Seconds(6)); }

  RecoverRule& rule() { return rule_; }

  static std::set<std::size_t> FirstNodes(std::size_t count) {
    std::set<std::size_t> nodes;
    for (std::size_t i = 0; i < count; ++i) {
      nodes.insert(i);
    }
    return nodes;
  }

 private:
  void Count(const SimulatedRequest& request,
             std::size_t node,
             bool is_served) {
    if (request.earlier_attempts == 0) {
      rule_.OnFinal(node, request.arrived, is_served);
    }
  }

  RecoverRule rule_;
  int callers_left_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_PARTITION_WORLD_H_
