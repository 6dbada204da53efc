#ifndef STATE_NODE_RECORD_H_
#define STATE_NODE_RECORD_H_

#include "core/core.h"
#include "state/vm_list.h"

namespace gcw {

// What a node says of itself in the key-value service, under a key that hangs
// on its lease.
struct NodeRecord {
  NodeId node;
  Incarnation incarnation;
  // Where callers, other nodes and operators reach it.
  Address caller_address;
  Address peer_address;
  Address operator_address;
  ZoneId zone;
  RegionId region;
  // A planned stop has begun: it takes no new callers.
  bool leaving = false;

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

}  // namespace gcw

#endif  // STATE_NODE_RECORD_H_
