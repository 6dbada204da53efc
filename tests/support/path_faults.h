#ifndef TESTS_SUPPORT_PATH_FAULTS_H_
#define TESTS_SUPPORT_PATH_FAULTS_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

#include "coordination/coordination.h"

namespace gcw {

// How a path between a node and an endpoint fails.
enum class PathFault {
  kNone,
  // Nothing passes, and no side is told.
  kSilent,
  // Open connections are reset and new ones refused.
  kReset,
  // Open connections live on, and new ones are refused.
  kNewRefused,
};

// The paths between nodes and endpoints, and the idle connections on them.
class PathFaults {
 public:
  using Path = std::pair<std::size_t, VmId>;

  void Set(std::size_t node, const VmId& vm, PathFault fault) {
    if (fault == PathFault::kNone) {
      faults_.erase({node, vm});
      return;
    }
    faults_[{node, vm}] = fault;
    if (fault == PathFault::kReset) {
      idle_.erase({node, vm});
    }
  }

  PathFault Of(std::size_t node, const VmId& vm) const {
    const auto found = faults_.find({node, vm});
    return found == faults_.end() ? PathFault::kNone : found->second;
  }

  // Whether bytes pass on a connection that is open.
  bool PassesBytes(std::size_t node, const VmId& vm) const {
    const PathFault fault = Of(node, vm);
    return fault == PathFault::kNone || fault == PathFault::kNewRefused;
  }

  // An exchange ended in full, so its connection is idle.
  void AddIdle(std::size_t node, const VmId& vm) {
    int& idle = idle_[{node, vm}];
    idle = std::min(idle + 1, kMaxIdle);
  }

  void DropIdle(std::size_t node, const VmId& vm) { idle_.erase({node, vm}); }

  // Takes an idle connection if there is one.
  bool TakeIdle(std::size_t node, const VmId& vm) {
    const auto found = idle_.find({node, vm});
    if (found == idle_.end()) {
      return false;
    }
    if (--found->second == 0) {
      idle_.erase(found);
    }
    return true;
  }

 private:
  static constexpr int kMaxIdle = 4;

  std::map<Path, PathFault> faults_;
  std::map<Path, int> idle_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_PATH_FAULTS_H_
