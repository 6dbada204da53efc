#ifndef COORDINATION_GATEWAY_FLEET_SHARE_H_
#define COORDINATION_GATEWAY_FLEET_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "core/core.h"

namespace gcw {

struct FleetShareSettings {
  // A node has a share once its own view has listed it for this long. It should
  // be longer than other nodes that are in touch take to see a new node.
  Duration settle_time = Duration::Seconds(3);
  // A node whose view is older than this has no share, because the fleet may
  // have given it up.
  Duration max_view_age = Duration::Seconds(9);
  // How long a node that is no longer listed still counts. It should be longer
  // than `max_view_age`, for which a node that the fleet has given up may use
  // its share.
  Duration count_memory = Duration::Seconds(20);
};

// Decides into how many parts the nodes divide a limit of the whole fleet, and
// whether this node has one, so that at no moment the parts add up to more than
// the limit: a node counts before it has a share and after it has lost it.
class FleetShare {
 public:
  explicit FleetShare(const FleetShareSettings& settings);

  // Takes in the node's view of the fleet. `nodes` is the number of nodes that
  // it lists, `is_listed` whether this node is one of them, and `complete_at`
  // the latest time at which the view is known to be complete.
  void Update(Time now,
              std::size_t nodes,
              bool is_listed,
              std::optional<Time> complete_at);

  // Number of parts; absent while this node has no share.
  std::optional<std::size_t> Parts(Time now) const;
  // Number of nodes that count; at least 1.
  std::size_t counted_nodes() const;

 private:
  FleetShareSettings settings_;
  std::optional<Time> listed_since_;
  std::optional<Time> complete_at_;
  // The largest count of each second, the latest one last.
  std::deque<std::pair<std::int64_t, std::size_t>> counts_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FLEET_SHARE_H_
