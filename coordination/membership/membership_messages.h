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

// What nodes tell each other of one member.
struct MemberRumor {
  NodeId node;
  MemberVersion version;
  // `kLeaving` never stands here: it is part of the record.
  MemberState state = MemberState::kAlive;
  // Present where `state` is `kAlive`.
  std::optional<NodeRecord> record;
};

// A request with this fingerprint is not to be dispatched, since it crashed
// endpoints, or may be dispatched again.
struct FingerprintDelta {
  Fingerprint fingerprint;
  bool blocked = true;
  // Endpoints that it crashed so far.
  std::int64_t losses = 0;
  // From the receipt on; clocks of nodes may differ.
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

// Small soft state of other modules that rides along. Each delta replaces what
// earlier ones of the same origin said of the same subject.
using Delta = std::variant<FingerprintDelta, RoleHolderDelta>;

// Whether a delta is sent on at once instead of riding along on probes.
bool IsUrgent(const Delta& delta);

// A delta on its way through the fleet.
struct DeltaRumor {
  NodeId origin;
  // Sequence numbers begin anew with each incarnation.
  MemberVersion origin_version;
  std::int64_t sequence = 0;
  Delta delta;
};

using Rumor = std::variant<MemberRumor, DeltaRumor>;

// Names a probe until its acknowledgement arrives.
using ProbeId = StrongNumber<struct ProbeIdTag>;

// Asks the receiver to acknowledge at once.
struct Ping {
  ProbeId probe;
  // Of the sender.
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

// The node that the probe was for is alive.
struct PingAck {
  ProbeId probe;
  // The node that is alive: the sender, or the target of a ping request.
  NodeId target;
  MemberVersion version;
  std::vector<Rumor> rumors;
};

// Rumors that cannot wait for the next probe.
struct UrgentRumors {
  MemberVersion version;
  std::vector<Rumor> rumors;
};

// A node that starts without the key-value service asks for all members.
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

// About how many bytes each takes on the wire.
std::size_t EstimatedSize(const Rumor& rumor);
std::size_t EstimatedSize(const MembershipMessage& message);

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
