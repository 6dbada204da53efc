#ifndef TESTS_SUPPORT_RETRY_WORLD_H_
#define TESTS_SUPPORT_RETRY_WORLD_H_

#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/gateway_world.h"
#include "tests/support/retry_rule.h"

namespace gcw {

// A fleet whose engines fail or reject requests while its nodes come and go.
// Callers send as many requests at any time, to the nodes that run.
class RetryWorld : public GatewayWorld {
 public:
  explicit RetryWorld(std::size_t nodes,
                      std::uint64_t seed = 7,
                      std::int64_t requests_per_second = 200)
      : GatewayWorld(nodes, kDomains, 11, seed),
        random_(SeededRandom(seed + 1)),
        requests_per_second_(requests_per_second) {
    on_arrival = [this](const SimulatedRequest& request, std::size_t,
                        const VmId&) {
      rule_.OnArrival(now(), request.number);
    };
    end_at_once = [this](const SimulatedRequest&,
                         const VmId&) -> std::optional<ForwardEndKind> {
      return DrawUnit(random_) < failing_share_ ? std::optional(failure_)
                                                : std::nullopt;
    };
    EXPECT_TRUE(RunUntil(Duration::Seconds(14), [this] {
      return open_groups("large") >= kDomains &&
             open_groups("small") >= kDomains;
    }));
    // Every node has been in the fleet for longer than a window.
    RunLoaded(Duration::Seconds(14));
  }

  // Engines end this share of the requests so.
  void Fail(ForwardEndKind failure, double share = 1) {
    failure_ = failure;
    failing_share_ = share;
  }

  void RunLoaded(Duration time) {
    const Time end = now() + time;
    while (now() < end) {
      due_requests_ += requests_per_second_ * kStep.millis();
      for (; due_requests_ >= 1000; due_requests_ -= 1000) {
        SendToRandomNode();
      }
      Run(kStep);
    }
  }

  // Kills this share of the nodes, drawn at random, and starts them again after
  // the time. The load goes on.
  void KillNodes(double share, Duration down) {
    for (const std::size_t node : DrawNodes(share)) {
      KillNode(node);
      Schedule(down, [this, node] { StartAgain(node); });
    }
  }
  // Each node is told to stop and starts again, `count` at a time.
  void StopNodesInTurn(std::size_t count, Duration interval) {
    for (std::size_t i = 0; i < node_count(); i += count) {
      for (std::size_t j = i; j < std::min(i + count, node_count()); ++j) {
        if (IsRunning(j)) {
          StopNode(j);
          Schedule(Duration::Millis(8500), [this, j] { StartAgain(j); });
        }
      }
      RunLoaded(interval);
    }
  }
  void AddNodes(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      AddNode();
    }
  }
  // Nodes go for good, and as many new ones come.
  void ReplaceNodes(double share) {
    const std::vector<std::size_t> gone = DrawNodes(share);
    for (const std::size_t node : gone) {
      KillNode(node);
    }
    AddNodes(gone.size());
  }
  void FreezeNodes(double share, Duration time) {
    for (const std::size_t node : DrawNodes(share)) {
      SetFrozen(node, true);
      Schedule(time, [this, node, run = this->node(node).run] {
        if (this->node(node).run == run) {
          SetFrozen(node, false);
        }
      });
    }
  }
  // The nodes do not reach the key-value service, and callers still reach them.
  void CutNodesFromStore(double share, Duration time) {
    for (const std::size_t node : DrawNodes(share)) {
      this->node(node).store_cut = true;
      Schedule(time, [this, node] { this->node(node).store_cut = false; });
    }
  }
  void LoseStore(Duration time) {
    store_down = true;
    Schedule(time, [this] { store_down = false; });
  }

  const RetryRule& rule() const { return rule_; }
  std::string FirstViolation() const { return rule_.FirstViolation(); }

 private:
  static constexpr std::size_t kDomains = 6;

  void StartAgain(std::size_t node) {
    if (!this->node(node).alive) {
      this->node(node).frozen = false;
      StartNode(node);
    }
  }

  std::vector<std::size_t> RunningNodes() const {
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < node_count(); ++i) {
      if (IsRunning(i)) {
        running.push_back(i);
      }
    }
    return running;
  }

  std::vector<std::size_t> DrawNodes(double share) {
    std::vector<std::size_t> nodes = RunningNodes();
    const auto count = static_cast<std::size_t>(
        std::lround(share * static_cast<double>(nodes.size())));
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(nodes[i], nodes[i + DrawBelow(random_, nodes.size() - i)]);
    }
    nodes.resize(count);
    return nodes;
  }

  void SendToRandomNode() {
    const std::vector<std::size_t> running = RunningNodes();
    if (running.empty()) {
      return;
    }
    rule_.OnRequest(now());
    SimulatedRequest request;
    request.model = ++last_content_ % 2 == 0 ? "large" : "small";
    request.content = Fingerprint(kFirstOwnContent + last_content_);
    Send(running[DrawBelow(random_, running.size())], request);
  }

  Random random_;
  RetryRule rule_;
  std::int64_t requests_per_second_;
  // Requests that are due, in thousandths.
  std::int64_t due_requests_ = 0;
  std::int64_t last_content_ = 0;
  ForwardEndKind failure_ = ForwardEndKind::kNotRun;
  double failing_share_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_RETRY_WORLD_H_
