#ifndef COORDINATION_GATEWAY_BALANCING_LOAD_ESTIMATOR_H_
#define COORDINATION_GATEWAY_BALANCING_LOAD_ESTIMATOR_H_

#include <optional>

#include "core/core.h"

namespace gcw {

// A load that a group reported to this node.
struct KnownLoad {
  // Reported requests, and those that this node sent since.
  double requests = 0;
  // Time since the report.
  Duration age;
};

// What a node knows about one group.
struct GroupLoad {
  double slots = 1;
  // How long a request occupies its slot.
  double service_ms = 0;
  // Requests of this node in the group.
  double local_requests = 0;
  // Absent without a recent report.
  std::optional<KnownLoad> known;
};

// Estimates how many requests the groups of a model hold.
//
// A report loses weight with its age: the requests that it counted end within
// the time in which the group's slots turn over, and what other nodes have sent
// since is as much as at the mean of all groups. A group without a report
// counts as the mean, so that a group that is new or unused does not draw the
// requests of all nodes at once. It is not taken to have a queue, so that a
// node whose groups are all overrun finds those that are not.
class LoadEstimator {
 public:
  // Takes the group's load into the mean.
  void Add(const GroupLoad& load);
  // Returns the expected number of requests in the group; absent if no load is
  // known of any group.
  std::optional<double> Estimate(const GroupLoad& load) const;
  // Returns the known requests per slot.
  std::optional<double> mean_fill() const;

 private:
  double requests_ = 0;
  double slots_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_BALANCING_LOAD_ESTIMATOR_H_
