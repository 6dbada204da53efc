#ifndef COORDINATION_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
#define COORDINATION_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "coordination/membership/member.h"
#include "coordination/roles/role_assignment.h"
#include "state/state.h"

namespace gcw {

// A statement about one member that nodes pass on to each other.
struct MemberRumor {
  NodeId node;
  MemberVersion version;
  // Never `kLeaving`, which is a part of the record.
  MemberState state = MemberState::kAlive;
  // Present if `state` is `kAlive`.
  std::optional<NodeRecord> record;
};

// Says whether requests with this fingerprint are blocked because they crashed
// endpoints, or may be dispatched again.
struct FingerprintDelta {
  Fingerprint fingerprint;
  bool blocked = true;
  // Number of endpoints that these requests have crashed.
  std::int64_t losses = 0;
  // Counted from the receipt of the delta, because the clocks of nodes may
  // differ.
  Duration time_to_live;

  friend bool operator==(const FingerprintDelta&,
                         const FingerprintDelta&) = default;
};

// The sender holds a control role.
struct RoleHolderDelta {
  RoleName role;
  FencingToken fence;

  friend bool operator==(const RoleHolderDelta&,
                         const RoleHolderDelta&) = default;
};

// Small soft state of other modules that is piggybacked on membership messages.
// Each delta replaces earlier ones of the same origin on the same subject.
using Delta = std::variant<FingerprintDelta, RoleHolderDelta>;

// Returns true if the delta is forwarded at once instead of being piggybacked
// on probes.
bool IsUrgent(const Delta& delta);

// A delta together with its origin and sequence number.
struct DeltaRumor {
  NodeId origin;
  // Sequence numbers start again with each incarnation.
  MemberVersion origin_version;
  std::int64_t sequence = 0;
  Delta delta;
};

using Rumor = std::variant<MemberRumor, DeltaRumor>;

// Identifies a probe until its acknowledgement arrives.
using ProbeId = StrongNumber<struct ProbeIdTag>;

// Asks the receiver to acknowledge at once.
struct Ping {
  ProbeId probe;
  // The sender's version.
  MemberVersion version;
  std::vector<Rumor> rumors;
};

// Asks the receiver to probe `target` on the sender's behalf.
struct PingRequest {
  ProbeId probe;
  NodeId target;
  MemberVersion version;
  std::vector<Rumor> rumors;
};

// Acknowledges that the probed node is alive.
struct PingAck {
  ProbeId probe;
  // The probed node: the sender, or the target of a ping request.
  NodeId target;
  MemberVersion version;
  std::vector<Rumor> rumors;
};

// Rumors that cannot wait for the next probe.
struct UrgentRumors {
  MemberVersion version;
  std::vector<Rumor> rumors;
};

// Requests the list of all members, for a node that starts without the
// key-value service.
struct MemberListRequest {
  MemberVersion version;
};

struct MemberList {
  MemberVersion version;
  std::vector<MemberRumor> members;
};

using MembershipMessage = std::variant<Ping,
                                       PingRequest,
                                       PingAck,
                                       UrgentRumors,
                                       MemberListRequest,
                                       MemberList>;

// Estimates the encoded size in bytes.
std::size_t EstimatedSize(const Rumor& rumor);
std::size_t EstimatedSize(const MembershipMessage& message);

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
