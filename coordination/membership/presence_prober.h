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

struct ProberSettings {
  // Interval between probes of a group's first VM, or of a plain service.
  Duration interval = Duration::Millis(1000);
  // Interval between probes of each other VM of a group. If
  // `trust_members_seen` is false, `interval` applies to all VMs.
  Duration member_interval = Duration::Seconds(10);
  Duration timeout = Duration::Millis(500);
  // A VM counts as present for this time after the sending of a probe that it
  // answered.
  Duration max_evidence_age = Duration::Millis(2500);
  // Whether `members_seen` of the VM with rank 0 is evidence of the other
  // members' presence.
  bool trust_members_seen = true;
  // Maximum time after which a lost member disappears from `members_seen`.
  Duration members_seen_lag = Duration::Millis(500);
};

// The VMs to probe for one endpoint.
struct ProbeTarget {
  EndpointId endpoint;
  // Empty for plain services.
  GroupId group;
  Generation generation;
  VmPurpose purpose = VmPurpose::kModelEngine;
  // In order of rank.
  std::vector<GroupMember> members;

  friend bool operator==(const ProbeTarget&, const ProbeTarget&) = default;
};

// The result of probing one endpoint.
struct PresenceFinding {
  Presence presence = Presence::kIncomplete;
  // Time of the oldest evidence among the members. Valid only if the endpoint
  // is complete.
  Time evidence_time;
  // The first VM that is missing. Set only if the endpoint is incomplete.
  VmId missing;
};

// Probes the VMs of the endpoints that are assigned to this node and reports
// whether each endpoint is complete.
class PresenceProber {
 public:
  explicit PresenceProber(ProberSettings settings);

  // Replaces the endpoints to probe and keeps the results of those that remain.
  void SetTargets(Time now, const std::vector<ProbeTarget>& targets);

  // Returns the probes that are due.
  std::vector<ProbeVm> Tick(Time now);

  void OnReply(Time now, ProbeId id, const ProbeReply& reply);

  // Returns nothing for an endpoint that this node does not probe, or whose VMs
  // have not all been probed yet.
  std::optional<PresenceFinding> Find(Time now,
                                      const EndpointId& endpoint) const;

  // Returns true if at least half of the first VMs do not answer, which more
  // likely means that this node is isolated than that all of them failed.
  bool IsLikelyIsolated() const;

 private:
  struct VmView {
    Address address;
    VmPurpose purpose = VmPurpose::kModelEngine;
    Duration interval;
    Time next_probe;
    // Time at which the newest answered probe was sent. Absent until a probe is
    // answered.
    std::optional<Time> answered_probe_time;
    // Whether the newest probe whose outcome is known was answered.
    bool is_answering = false;
    // Whether the newest outcome proves that the expected VM is not at this
    // address.
    bool refused = false;
    // Whether the outcome of at least one probe is known.
    bool has_outcome = false;
    EngineStatus status;
  };
  struct PendingProbe {
    VmId vm;
    Time sent_at;
  };

  // What is known of one member. `known` is false before the first probe's
  // outcome; `evidence` is the time of the evidence if the member is present.
  struct MemberFinding {
    bool known = false;
    std::optional<Time> evidence;
  };

  void AddVm(Time now, const ProbeTarget& target, std::size_t rank);
  void ProbeAllNow(Time now, const ProbeTarget& target);
  void ExpireProbes(Time now);
  void OnFailure(Time now,
                 const PendingProbe& pending,
                 VmView& view,
                 bool refused);
  MemberFinding FindMember(Time now,
                           const ProbeTarget& target,
                           std::size_t rank) const;
  std::optional<Time> MembersSeenTime(const ProbeTarget& target,
                                      const VmId& member) const;
  static bool IsServing(const ProbeTarget& target, const VmView& view);

  ProberSettings settings_;
  std::map<EndpointId, ProbeTarget> targets_;
  std::map<VmId, VmView> vms_;
  std::map<ProbeId, PendingProbe> pending_probes_;
  ProbeId last_id_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_PRESENCE_PROBER_H_
