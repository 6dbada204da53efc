#ifndef STATE_ENGINE_ORDER_H_
#define STATE_ENGINE_ORDER_H_

#include <variant>
#include <vector>

#include "core/core.h"
#include "state/vm_list.h"

namespace gcw {

enum class EngineOrderKind { kLoad, kLeave, kDrain };

// A VM of a replica group, with the address of its engine.
struct GroupMember {
  VmId vm;
  Address address;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

// Order from the controller of a fabric domain to one member's engine.
struct EngineOrder {
  EngineOrderKind kind = EngineOrderKind::kLoad;
  GroupId group;
  ModelId model;
  Generation generation;
  // In rank order.
  std::vector<GroupMember> members;
  FencingToken fence;
  ChangeId change;

  friend bool operator==(const EngineOrder&, const EngineOrder&) = default;
};

struct EngineOrderAccepted {
  friend bool operator==(EngineOrderAccepted, EngineOrderAccepted) = default;
};

// The engine has seen a higher fencing token and ignored the order.
struct EngineOrderStale {
  FencingToken seen;

  friend bool operator==(EngineOrderStale, EngineOrderStale) = default;
};

// The engine belongs to another group and ignored the order.
struct EngineOrderBusy {
  GroupId group;

  friend bool operator==(const EngineOrderBusy&,
                         const EngineOrderBusy&) = default;
};

using EngineOrderReply =
    std::variant<EngineOrderAccepted, EngineOrderStale, EngineOrderBusy>;

}  // namespace gcw

#endif  // STATE_ENGINE_ORDER_H_
