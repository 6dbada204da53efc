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
  // Did not answer probes; has time to refute before it counts as dead.
  kSuspect,
  kDead,
  // Alive, but on its way to a planned stop.
  kLeaving,
};

std::string_view MemberStateName(MemberState state);

// Orders what is said of a member. A member that is wrongly suspected answers
// with a higher `refutation`.
struct MemberVersion {
  Incarnation incarnation;
  std::int64_t refutation = 0;

  // Above every other version.
  static constexpr MemberVersion Highest() {
    return {Incarnation(std::numeric_limits<std::int64_t>::max()), 0};
  }

  friend auto operator<=>(const MemberVersion&, const MemberVersion&) = default;
};

// A node as another one sees it.
struct Member {
  NodeRecord record;
  MemberVersion version;
  MemberState state = MemberState::kAlive;
  // Of the last change of `state`.
  Time since;
};

// All nodes that one node knows of, itself included. Views of different nodes
// may differ: they steer work, and no safety property rests on them.
class View {
 public:
  using Members = std::map<NodeId, Member>;

  const Members& members() const { return members_; }
  // Null where the node is not known.
  const Member* Find(const NodeId& node) const;
  bool IsIn(const NodeId& node, MemberState state) const;

  // Nodes that take part in owning work: alive ones, and suspect ones until
  // they count as dead, so that one lost probe moves nothing. In order of id.
  std::vector<NodeId> Owners() const;
  std::vector<NodeId> OwnersIn(const ZoneId& zone) const;
  // Nodes that messages can be sent to: all but dead ones.
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
