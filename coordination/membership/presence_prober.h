#ifndef COORDINATION_MEMBERSHIP_PRESENCE_PROBER_H_
#define COORDINATION_MEMBERSHIP_PRESENCE_PROBER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/groups/groups_messages.h"
#include "coordination/groups/vm_probe.h"
#include "state/state.h"

namespace gcw {

// Settings of the prober.
struct ProberSettings {
  // Between probes of a group's first VM, or of a plain service.
  Duration interval = Duration::Millis(1000);
  // Between probes of each other VM of a group. Where engines do not vouch,
  // `interval` is used for all.
  Duration member_interval = Duration::Seconds(10);
  Duration timeout = Duration::Millis(500);
  // A VM counts as present this long after the sending of a probe that it
  // answered.
  Duration fresh = Duration::Millis(2500);
  // Whether rank 0's `members_seen` counts as evidence of other members.
  bool engines_vouch = true;
  // How far `members_seen` may lag behind the members.
  Duration vouch_lag = Duration::Millis(500);
};

// Whom to ask about one endpoint.
struct ProbeTarget {
  EndpointId endpoint;
  // Empty for plain services.
  GroupId group;
  Generation generation;
  VmPurpose purpose = VmPurpose::kModelEngine;
  // In rank order.
  std::vector<GroupMember> members;

  friend bool operator==(const ProbeTarget&, const ProbeTarget&) = default;
};

// What the prober found about one endpoint.
struct PresenceFinding {
  Presence presence = Presence::kIncomplete;
  // Meaningful where complete: no member's evidence is older.
  Time evidence_time;
  // The first VM at fault where incomplete.
  VmId missing;
};

// Probes the VMs of the endpoints that this node was chosen for and tells
// whether each endpoint is complete.
class PresenceProber {
 public:
  explicit PresenceProber(ProberSettings settings);

  // Replaces the endpoints to probe; keeps what is known of those that stay.
  void SetTargets(Time now, const std::vector<ProbeTarget>& targets);

  // The probes that are due.
  std::vector<ProbeVm> Tick(Time now);

  void OnReply(Time now, ProbeId id, const ProbeReply& reply);

  // Nothing for endpoints that are not probed here.
  std::optional<PresenceFinding> Find(Time now,
                                      const EndpointId& endpoint) const;

  // Whether half of the first VMs or more fell silent at once, which more
  // likely means that this node is cut off than that they all are.
  bool SeemsCutOff() const;

 private:
  struct VmView {
    Address address;
    VmPurpose purpose = VmPurpose::kModelEngine;
    Duration interval;
    Time next_probe;
    // When the newest answered probe was sent; absent until one is.
    std::optional<Time> answered;
    // The newest probe whose outcome is known was answered.
    bool answers = false;
    // The newest outcome proves that the VM is not there as expected.
    bool refused = false;
    // The outcome of at least one probe is known.
    bool concluded = false;
    EngineStatus status;
  };
  struct Sent {
    VmId vm;
    Time at;
  };

  // What is known of one member: nothing before its first probe's outcome; the
  // time of the evidence where it is present; else absent.
  struct MemberFinding {
    bool known = false;
    std::optional<Time> evidence;
  };

  void AddVm(Time now, const ProbeTarget& target, std::size_t rank);
  void ProbeAllNow(Time now, const ProbeTarget& target);
  void ExpireProbes(Time now);
  void OnFailure(Time now, const Sent& sent, VmView& view, bool refused);
  MemberFinding FindMember(Time now,
                           const ProbeTarget& target,
                           std::size_t rank) const;
  std::optional<Time> VouchedAt(const ProbeTarget& target,
                                const VmId& member) const;
  static bool IsInPlace(const ProbeTarget& target, const VmView& view);

  ProberSettings settings_;
  std::map<EndpointId, ProbeTarget> targets_;
  std::map<VmId, VmView> vms_;
  std::map<ProbeId, Sent> sent_;
  ProbeId last_id_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_PRESENCE_PROBER_H_
