#ifndef COORDINATION_LIMITS_CESSION_BOOK_H_
#define COORDINATION_LIMITS_CESSION_BOOK_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace gcw {

// Which nodes have given up their floor, and until when on this node's clock.
// A node that is not covered may be using limit / nodes unasked: it may be cut
// off, so its silence says nothing.
class CessionBook {
 public:
  // A cession binds until its end; a later, shorter one does not undo it.
  void Cede(const NodeId& node, Time until);
  bool Covers(const NodeId& node, Time until) const;
  std::int64_t CoveredUntil(Time until) const;
  std::vector<NodeId> NodesCoveredUntil(Time until) const;
  void Expire(Time now);

 private:
  std::unordered_map<NodeId, Time> ends_;
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_CESSION_BOOK_H_
