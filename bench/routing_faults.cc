// Injects the faults of a routing scenario.

#include "bench/routing_world.h"

namespace gcw::bench {
namespace {

constexpr double kStragglerSlowdown = 4;
constexpr std::size_t kStragglerStride = 20;
constexpr Micros kFaultAt = kWarmUp + 4 * kSecond;
constexpr Micros kFaultEnd = kWarmUp + 18 * kSecond;
// Delay until the serving gate closes or opens.
constexpr Micros kGateDelay = 2 * kSecond;

}  // namespace

void RoutingWorld::InjectFault() {
  if (scenario_.fault == RoutingFault::kStragglers) {
    events_.ScheduleAt(kFaultAt, [this] {
      for (std::size_t i = 0; i < kReplicas; i += kStragglerStride) {
        replicas_[i].engine->set_slowdown(kStragglerSlowdown);
      }
    });
  }
  if (scenario_.fault == RoutingFault::kZoneLost) {
    events_.ScheduleAt(kFaultAt, [this] { LoseZone(); });
    events_.ScheduleAt(kFaultEnd, [this] { RestoreZone(); });
  }
}

// Takes down zone 0 with its engines. Callers of its nodes move to other nodes.
void RoutingWorld::LoseZone() {
  for (Node& node : nodes_) {
    node.is_down = node.zone == 0;
  }
  for (Replica& replica : replicas_) {
    if (replica.zone == 0) {
      replica.engine->GoDown();
    }
  }
  events_.ScheduleAfter(kGateDelay, [this] {
    for (Node& node : nodes_) {
      for (const Replica& replica : replicas_) {
        if (replica.zone == 0) {
          node.policy->OnEndpointDown(events_.time(), replica.endpoint.id);
        }
      }
    }
  });
}

void RoutingWorld::RestoreZone() {
  for (Node& node : nodes_) {
    node.is_down = false;
  }
  for (Replica& replica : replicas_) {
    if (replica.zone == 0) {
      replica.engine->RestartAsNextGeneration();
      replica.events.clear();
      replica.next_event = 1;
      replica.endpoint.generation = replica.engine->settings().generation;
    }
  }
  events_.ScheduleAfter(kGateDelay, [this] {
    for (Node& node : nodes_) {
      for (std::size_t i = 0; i < kReplicas; ++i) {
        if (replicas_[i].zone == 0) {
          node.last_event[i] = 0;
          node.policy->OnEndpointUp(events_.time(), replicas_[i].endpoint);
        }
      }
    }
  });
}

}  // namespace gcw::bench
