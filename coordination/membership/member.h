#ifndef COORDINATION_MEMBERSHIP_MEMBER_H_
#define COORDINATION_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <string_view>
#include <vector>

#include "state/state.h"

namespace gcw {

enum class MemberState {
  kAlive,
  // The member did not answer probes. It can refute the suspicion until it
  // counts as dead.
  kSuspect,
  kDead,
  // The member is alive but in a planned stop.
  kLeaving,
};

std::string_view MemberStateName(MemberState state);

// Orders the statements about a member. A member that is wrongly suspected
// refutes this with a higher `refutation`.
struct MemberVersion {
  Incarnation incarnation;
  std::int64_t refutation = 0;

  // A version that is higher than any other.
  static constexpr MemberVersion Highest() {
    return {Incarnation(std::numeric_limits<std::int64_t>::max()), 0};
  }

  friend auto operator<=>(const MemberVersion&, const MemberVersion&) = default;
};

// What one node knows of another.
struct Member {
  NodeRecord record;
  MemberVersion version;
  MemberState state = MemberState::kAlive;
  // Time of the last change of `state`.
  Time since;
};

// All nodes that one node knows of, including itself. The views of different
// nodes may differ: work is distributed by them, but no safety property depends
// on them.
class View {
 public:
  using Members = std::map<NodeId, Member>;

  const Members& members() const { return members_; }
  // Returns null if the node is not known.
  const Member* Find(const NodeId& node) const;
  bool HasState(const NodeId& node, MemberState state) const;

  // Returns the nodes that may own work, in order of their ids: alive ones, and
  // suspect ones until they count as dead, so that a lost probe does not move
  // work. Leaving nodes are not included.
  std::vector<NodeId> Owners() const;
  std::vector<NodeId> OwnersIn(const ZoneId& zone) const;
  // Returns the nodes that messages are sent to: all except dead ones.
  std::vector<NodeId> Reachable() const;
  std::vector<NodeId> ReachableIn(const ZoneId& zone) const;
  std::vector<ZoneId> Zones() const;

  Member& Upsert(const NodeId& node) { return members_[node]; }
  void Erase(const NodeId& node) { members_.erase(node); }

 private:
  Members members_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_MEMBER_H_
