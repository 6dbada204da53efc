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

// State that a node publishes about itself, under `node/<id>` and to its peers.
struct NodeRecord {
  NodeId id;
  // Incarnation of the run that wrote the record, higher than those of earlier
  // runs. Zero if the revision of `node/<id>` serves as the incarnation.
  Incarnation incarnation;
  ZoneId zone;
  RegionId region;
  // Addresses at which other nodes, callers and operators reach the node.
  Address peer_address;
  Address caller_address;
  Address operator_address;
  // Capacity relative to other nodes.
  std::int64_t weight = 1;
  // A planned shutdown has begun: callers are directed to other nodes.
  bool leaving = false;

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

// Serialization of node records in the key-value service.
struct NodeRecordCodec {
  std::function<std::string(const NodeRecord&)> encode;
  // Returns nothing if the text is not a valid record.
  std::function<std::optional<NodeRecord>(std::string_view)> decode;
};

}  // namespace gcw

#endif  // STATE_NODE_RECORD_H_
