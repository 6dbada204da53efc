#ifndef STATE_NODE_RECORD_H_
#define STATE_NODE_RECORD_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "state/vm_list.h"

namespace gcw {

// What a node tells of itself, under `node/<id>` and to its peers.
struct NodeRecord {
  NodeId id;
  // Of the run that wrote the record, higher than those of earlier runs; zero
  // where the revision of `node/<id>` serves as such.
  Incarnation incarnation;
  ZoneId zone;
  RegionId region;
  // Where other nodes, callers and operators reach it.
  Address peer_address;
  Address caller_address;
  Address operator_address;
  // How much it can carry relative to other nodes.
  std::int64_t weight = 1;
  // A planned stop has begun: callers are sent elsewhere.
  bool leaving = false;

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

// How records stand in the key-value service.
struct NodeRecordCodec {
  std::function<std::string(const NodeRecord&)> encode;
  // Absent where the text is no record.
  std::function<std::optional<NodeRecord>(std::string_view)> decode;
};

}  // namespace gcw

#endif  // STATE_NODE_RECORD_H_
