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

// What a domain's keeper tells one member's engine to do.
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

// The engine has seen a higher fencing number; nothing was done.
struct EngineOrderStale {
  FencingToken seen;

  friend bool operator==(EngineOrderStale, EngineOrderStale) = default;
};

// The engine is part of another group; nothing was done.
struct EngineOrderBusy {
  GroupId group;

  friend bool operator==(const EngineOrderBusy&,
                         const EngineOrderBusy&) = default;
};

using EngineOrderReply =
    std::variant<EngineOrderAccepted, EngineOrderStale, EngineOrderBusy>;

}  // namespace gcw

#endif  // STATE_ENGINE_ORDER_H_
