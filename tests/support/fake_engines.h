#ifndef TESTS_SUPPORT_FAKE_ENGINES_H_
#define TESTS_SUPPORT_FAKE_ENGINES_H_

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

// One VM's model engine.
struct FakeEngine {
  VmEntry entry;
  Incarnation incarnation{1};
  bool is_up = true;
  bool is_paused = false;
  // Whether the engine refuses orders with an outdated fencing token.
  bool checks_fences = true;
  EngineOrder order;
  EngineState state = EngineState::kIdle;
  Time ready_at;
  // Time at which the engine last stopped or left a group.
  Time lost_at;
  FencingToken highest_fence;
  std::int64_t active = 0;
  // Orders that the kernel received while the engine was paused.
  std::vector<EngineOrder> queued_orders;

  const GroupId& group() const { return order.group; }
};

// The model engines of a fleet, which behave as described in docs/PLATFORM.md.
class FakeEngines {
 public:
  explicit FakeEngines(Duration load_time) : load_time_(load_time) {}

  void Add(VmEntry entry, bool checks_fences) {
    FakeEngine engine;
    engine.checks_fences = checks_fences;
    engine.entry = std::move(entry);
    engines_[engine.entry.id] = std::move(engine);
  }

  FakeEngine& at(const VmId& vm) { return engines_.at(vm); }
  std::map<VmId, FakeEngine>& all() { return engines_; }

  void Tick(Time now) {
    for (auto& [vm, engine] : engines_) {
      if (engine.state == EngineState::kLoading && engine.is_up &&
          !engine.is_paused && now >= engine.ready_at) {
        engine.state = EngineState::kReady;
      }
    }
  }

  void Kill(Time now, const VmId& vm) {
    FakeEngine& engine = at(vm);
    ResetGroup(now, engine);
    engine.is_up = false;
    engine.queued_orders.clear();
  }

  void Restart(Time now, const VmId& vm) {
    Kill(now, vm);
    ++at(vm).incarnation;
    at(vm).is_up = true;
    at(vm).is_paused = false;
  }

  void Pause(Time now, const VmId& vm) {
    RecordLoss(now, at(vm));
    at(vm).is_paused = true;
  }

  // When it resumes, a paused engine executes the orders that the kernel
  // received meanwhile.
  void Resume(Time now, const VmId& vm) {
    FakeEngine& engine = at(vm);
    engine.is_paused = false;
    for (const EngineOrder& order : std::exchange(engine.queued_orders, {})) {
      Execute(now, vm, order);
    }
  }

  // Returns nothing if the engine is down or paused.
  std::optional<OrderReply> Execute(Time now,
                                    const VmId& vm,
                                    const EngineOrder& order) {
    FakeEngine& engine = at(vm);
    if (engine.is_up && engine.is_paused) {
      engine.queued_orders.push_back(order);
    }
    if (!engine.is_up || engine.is_paused) {
      return std::nullopt;
    }
    if (engine.checks_fences && order.fence < engine.highest_fence) {
      return EngineOrderStale{engine.highest_fence};
    }
    engine.highest_fence = std::max(engine.highest_fence, order.fence);
    const bool is_elsewhere =
        !engine.group().empty() && engine.group() != order.group;
    if (order.kind == EngineOrderKind::kLoad) {
      if (is_elsewhere) {
        return EngineOrderBusy{engine.group()};
      }
      engine.order = order;
      engine.state = EngineState::kLoading;
      engine.ready_at = now + load_time_;
    } else if (!is_elsewhere && order.kind == EngineOrderKind::kLeave) {
      ResetGroup(now, engine);
    } else if (!is_elsewhere && engine.state == EngineState::kReady) {
      engine.state = EngineState::kDraining;
    }
    return EngineOrderAccepted{};
  }

  // Returns nothing if the engine is down or paused.
  std::optional<EngineStatus> Status(Time now, const VmId& vm) {
    const FakeEngine& engine = at(vm);
    if (!engine.is_up || engine.is_paused) {
      return std::nullopt;
    }
    EngineStatus status;
    status.vm = vm;
    status.incarnation = engine.incarnation;
    status.group = engine.order.group;
    status.model = engine.order.model;
    status.generation = engine.order.generation;
    status.state = engine.state;
    status.fence = engine.highest_fence;
    status.active = engine.active;
    if (IsFirst(engine)) {
      for (const GroupMember& member : engine.order.members) {
        if (ReportsMember(now, engine, member.vm)) {
          status.members_seen.push_back(member.vm);
        }
      }
    } else {
      status.rank = 1;
    }
    return status;
  }

  // Returns true if the VM's engine serves in this generation.
  bool IsPresent(const VmId& vm, const GroupId& group, Generation generation) {
    const FakeEngine& engine = at(vm);
    return engine.is_up && !engine.is_paused && engine.group() == group &&
           engine.order.generation == generation &&
           engine.state == EngineState::kReady;
  }

 private:
  static bool IsFirst(const FakeEngine& engine) {
    return !engine.order.members.empty() &&
           engine.order.members.front().vm == engine.entry.id;
  }

  // The first VM notices the loss of a member only after a delay.
  bool ReportsMember(Time now, const FakeEngine& first, const VmId& vm) {
    const Duration detection_delay = Duration::Millis(400);
    const FakeEngine& engine = at(vm);
    return IsPresent(vm, first.group(), first.order.generation) ||
           (engine.lost_at != Time() && now - engine.lost_at < detection_delay);
  }

  // Records when the engine was lost. The first VM still reports it for a
  // while, but not again when a VM that is already down is killed once more.
  static void RecordLoss(Time now, FakeEngine& engine) {
    if (engine.is_up && !engine.is_paused && !engine.group().empty()) {
      engine.lost_at = now;
    }
  }

  static void ResetGroup(Time now, FakeEngine& engine) {
    RecordLoss(now, engine);
    engine.order = EngineOrder();
    engine.state = EngineState::kIdle;
    engine.active = 0;
  }

  Duration load_time_;
  std::map<VmId, FakeEngine> engines_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_FAKE_ENGINES_H_
