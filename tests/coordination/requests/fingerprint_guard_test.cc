#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordination/coordination.h"
#include "tests/support/fake_network.h"

namespace gcw {

namespace {

constexpr Fingerprint kCrasher(666);

// Simulates nodes with a guard each, endpoints that crash on `kCrasher`, and
// callers.
class GuardWorld {
 public:
  using Message = std::variant<GuardMessage, FingerprintDelta>;

  GuardWorld(int nodes, int endpoints, std::uint64_t seed)
      : random_(SeededRandom(seed)), network_(random_) {
    for (int index = 0; index < nodes; ++index) {
      const NodeId id("n" + std::to_string(index));
      ids_.push_back(id);
      guards_.push_back(FingerprintGuard::Builder().SetSelf(id).Build());
    }
    for (const auto& guard : guards_) {
      guard->OnMembers(now_, ids_);
    }
    for (int index = 0; index < endpoints; ++index) {
      alive_.insert(EndpointId("e" + std::to_string(index)));
    }
    // The permit issuer grants nothing until its predecessor's permits have
    // expired.
    Run(Duration::Seconds(12));
  }

  void Send(std::size_t node, Fingerprint fingerprint) {
    const AttemptId attempt("a" + std::to_string(++last_attempt_));
    owner_[attempt] = {node, fingerprint};
    Dispatch(node, attempt);
  }

  void Run(Duration length) {
    const Time end = now_ + length;
    while (now_ < end) {
      Step();
    }
  }

  // Returns whether the node refuses the fingerprint.
  bool Refuses(std::size_t node, Fingerprint fingerprint) {
    return std::holds_alternative<GuardBlocked>(
        guards_[node]->Classify(now_, fingerprint));
  }

  int lost = 0;
  int crasher_refused = 0;
  int healthy_refused = 0;
  int healthy_done = 0;
  FakeNetwork<Message>& network() { return network_; }

 private:
  struct Attempt {
    std::size_t node = 0;
    Fingerprint fingerprint;
  };

  void Step() {
    now_ = now_ + Duration::Millis(10);
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const auto job = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      job();
    }
    for (const auto& delivery : network_.Deliver(now_)) {
      const auto node =
          static_cast<std::size_t>(std::stoi(delivery.to.value().substr(1)));
      if (const auto* delta =
              std::get_if<FingerprintDelta>(&delivery.message)) {
        guards_[node]->OnDelta(now_, *delta);
      } else {
        ApplyActions(node, guards_[node]->OnMessage(
                               now_, delivery.from,
                               std::get<GuardMessage>(delivery.message)));
      }
    }
    for (std::size_t node = 0; node < guards_.size(); ++node) {
      ApplyActions(node, guards_[node]->Tick(now_));
    }
  }

  void Dispatch(std::size_t node, const AttemptId& attempt) {
    const Fingerprint fingerprint = owner_.at(attempt).fingerprint;
    std::vector<EndpointId> candidates(alive_.begin(), alive_.end());
    if (candidates.empty()) {
      return;
    }
    const GuardVerdict verdict = guards_[node]->Classify(now_, fingerprint);
    if (std::holds_alternative<GuardBlocked>(verdict)) {
      Refuse(attempt);
    } else if (std::holds_alternative<GuardSuspect>(verdict)) {
      ApplyActions(node, guards_[node]->RequestPermit(now_, attempt,
                                                      fingerprint, candidates));
    } else if (const auto* pinned = std::get_if<GuardPinned>(&verdict)) {
      Start(attempt, pinned->endpoint);
    } else {
      Start(attempt, candidates[DrawBelow(random_, candidates.size())]);
    }
  }

  void Start(const AttemptId& attempt, const EndpointId& endpoint) {
    const Attempt& typed = owner_.at(attempt);
    guards_[typed.node]->OnStarted(now_, attempt, typed.fingerprint, endpoint);
    running_[endpoint].insert(attempt);
    const auto length = Duration::Millis(
        static_cast<std::int64_t>(50 + DrawBelow(random_, 400)));
    timers_.emplace(now_ + length, [this, attempt, endpoint] {
      if (!running_[endpoint].contains(attempt)) {
        return;
      }
      owner_.at(attempt).fingerprint == kCrasher ? Crash(endpoint)
                                                 : End(attempt, endpoint);
    });
  }

  void End(const AttemptId& attempt, const EndpointId& endpoint) {
    running_[endpoint].erase(attempt);
    ++healthy_done;
    const std::size_t node = owner_.at(attempt).node;
    ApplyActions(node, guards_[node]->OnFinished(now_, attempt, true));
  }

  void Crash(const EndpointId& endpoint) {
    ++lost;
    alive_.erase(endpoint);
    const std::set<AttemptId> broken = std::exchange(running_[endpoint], {});
    for (std::size_t node = 0; node < guards_.size(); ++node) {
      ApplyActions(node, guards_[node]->OnEndpointLost(now_, endpoint));
    }
    // Callers send each broken request again, the crasher included.
    for (const AttemptId& attempt : broken) {
      const Attempt typed = owner_.at(attempt);
      timers_.emplace(now_ + Duration::Millis(30),
                      [this, typed] { Send(typed.node, typed.fingerprint); });
    }
  }

  void Refuse(const AttemptId& attempt) {
    const bool crasher = owner_.at(attempt).fingerprint == kCrasher;
    healthy_refused += crasher ? 0 : 1;
    crasher_refused += crasher ? 1 : 0;
  }

  void ApplyActions(std::size_t node, const GuardActions& actions) {
    for (const GuardAction& action : actions) {
      std::visit(Overloaded{
                     [&](const GuardPermit& permit) {
                       if (alive_.contains(permit.endpoint)) {
                         Start(permit.attempt, permit.endpoint);
                       } else {
                         ApplyActions(node, guards_[node]->OnFinished(
                                                now_, permit.attempt, false));
                         Dispatch(node, permit.attempt);
                       }
                     },
                     [&](const GuardRefuse& refuse) { Refuse(refuse.attempt); },
                     [&](const GuardBroadcast& spread) {
                       for (const NodeId& to : ids_) {
                         network_.Send(now_, ids_[node], to, spread.delta);
                       }
                     },
                     [&](const GuardPeerSend& send) {
                       network_.Send(now_, ids_[node], send.to, send.message);
                     },
                 },
                 action);
    }
  }

  Random random_;
  FakeNetwork<Message> network_;
  Time now_ = Time::FromMillis(1'800'000'000'000);
  std::vector<NodeId> ids_;
  std::vector<std::unique_ptr<FingerprintGuard>> guards_;
  std::set<EndpointId> alive_;
  std::map<EndpointId, std::set<AttemptId>> running_;
  std::map<AttemptId, Attempt> owner_;
  std::multimap<Time, std::function<void()>> timers_;
  int last_attempt_ = 0;
};

}  // namespace

// Guards against one request that takes down endpoint after endpoint, and
// against healthy requests that are refused in its place, because losses are
// counted on one node only or all requests that ran on the endpoint are blamed.
// The crasher is sent repeatedly through random nodes, one copy at a time,
// among many healthy requests. These are retried after each loss, and some are
// equal. Deltas arrive late and duplicated.
RC_GTEST_PROP(FingerprintGuardTest, CrasherTakesDownTwoEndpoints, ()) {
  GuardWorld world(5, 12, *rc::gen::arbitrary<std::uint64_t>());
  world.network().faults().duplication_rate = *rc::gen::element(0.0, 0.3);
  int sent = 0;
  for (int step = 0; step < 60; ++step) {
    const auto node = *rc::gen::inRange<std::size_t>(0, 5);
    // A lost copy is sent again until it is refused.
    if (step % 10 == 5 && world.crasher_refused == sent) {
      world.Send(node, kCrasher);
      ++sent;
    }
    world.Send(node, Fingerprint(*rc::gen::inRange(1, 60)));
    world.Run(Duration::Millis(*rc::gen::inRange(20, 200)));
    RC_ASSERT(world.lost <= 2);
  }
  world.Run(Duration::Seconds(25));
  RC_ASSERT(world.lost == 2);
  RC_ASSERT(world.healthy_refused == 0);
  for (std::size_t node = 0; node < 5; ++node) {
    RC_ASSERT(world.Refuses(node, kCrasher));
  }
}

// Guards against a caller that takes down the fleet by repeatedly sending
// copies of a crasher through every node at the same moment: each copy starts
// before the first loss is known.
RC_GTEST_PROP(FingerprintGuardTest, SimultaneousCopiesCrashFewEndpoints, ()) {
  constexpr std::size_t kNodes = 5;
  GuardWorld world(kNodes, 20, *rc::gen::arbitrary<std::uint64_t>());
  for (int round = 0; round < 10; ++round) {
    for (std::size_t copy = 0; copy < 3 * kNodes; ++copy) {
      world.Send(copy % kNodes, kCrasher);
    }
    world.Run(Duration::Millis(*rc::gen::inRange(10, 900)));
  }
  world.Run(Duration::Seconds(25));
  RC_ASSERT(world.lost <= static_cast<int>(kNodes) + 1);
}

// A block ends when operators allow the fingerprint, or when it expires.
TEST(FingerprintGuardTest, BlockEndsByOverrideOrExpiry) {
  SuspectTable table(SuspectSettings{});
  const Time start = Time::FromMillis(1000);
  table.AddSharedLoss(start, kCrasher);
  table.AddSharedLoss(start, kCrasher);
  EXPECT_EQ(table.Level(start, kCrasher), SuspectLevel::kSuspect);
  table.AddSoleSuspectLoss(start, kCrasher);
  table.Clear(start, kCrasher);
  EXPECT_EQ(table.Level(start, kCrasher), SuspectLevel::kBlocked);
  table.SetAllowed({kCrasher});
  EXPECT_EQ(table.Level(start, kCrasher), SuspectLevel::kNone);
  table.SetAllowed({});
  const Time later = start + SuspectSettings{}.expiry;
  EXPECT_EQ(table.Level(later, kCrasher), SuspectLevel::kNone);
}

}  // namespace gcw
