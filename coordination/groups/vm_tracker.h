#ifndef COORDINATION_GROUPS_VM_TRACKER_H_
#define COORDINATION_GROUPS_VM_TRACKER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/groups/vm_probe.h"
#include "state/state.h"

namespace gcw {

// Settings of `VmTracker`.
struct TrackerSettings {
  // Probe interval of a VM that is expected to change: it loads, leaves or
  // drains, or another VM reported it missing.
  Duration fast_interval = Duration::Millis(1000);
  // Probe interval of the first VM of a serving group.
  Duration first_member_interval = Duration::Millis(2000);
  // Probe interval of all other VMs.
  Duration idle_interval = Duration::Seconds(10);
  Duration timeout = Duration::Millis(500);
  // A VM that has answered nothing for this long since its first unanswered
  // probe counts as lost.
  Duration loss_timeout = Duration::Millis(3000);
  // Maximum lag of the VM list. A VM counts as gone only if a list that omits
  // it is newer than the VM's last sign of life by more than this.
  Duration max_list_lag = Duration::Seconds(60);
};

// How closely a VM is probed.
enum class ProbeRate { kIdle, kFirstMember, kFast };

// What is known about one VM.
struct VmFacts {
  // The VM's newest list entry.
  VmEntry entry;
  // True if the newest list holds the VM.
  bool listed = false;
  // The time of the newest list, if that list omits the VM.
  std::optional<Time> absent_as_of;
  // The newest answer and when its probe was sent.
  std::optional<EngineStatus> status;
  Time status_time;
  // When the first unanswered probe after the newest answer was sent.
  std::optional<Time> failing_since;
};

// Tracks VMs by the VM list and by its own probes.
class VmTracker {
 public:
  explicit VmTracker(TrackerSettings settings);

  // Ignores a list older than the newest one known.
  void OnVmList(Time now, const VmListSnapshot& snapshot);

  // Sets the domains whose VMs are probed.
  void SetDomains(const std::set<FabricDomainId>& domains);
  void SetProbeRate(const VmId& vm, ProbeRate rate);

  // Returns the probes that are due.
  std::vector<ProbeVm> Tick(Time now);
  void OnProbeReply(Time now, ProbeId id, const ProbeReply& reply);

  // Returns null for a VM that was never listed.
  const VmFacts* Find(const VmId& vm) const;
  const std::map<VmId, VmFacts>& all() const { return vms_; }

  // True if the VM has not answered for `loss_timeout`.
  bool IsUnreachable(Time now, const VmId& vm) const;

  // True if the VM is unreachable and a list that omits it is newer than its
  // last sign of life by more than `max_list_lag`. A list that is late in
  // showing a new VM cannot make it look gone, because a VM that was never
  // listed is never gone.
  bool IsGone(Time now, const VmId& vm) const;

  // True if the VM's engine answered a probe sent at `since` or later and is in
  // no group.
  bool IsIdleSince(const VmId& vm, Time since) const;

 private:
  struct Schedule {
    ProbeRate rate = ProbeRate::kIdle;
    Time next;
    std::optional<ProbeId> pending;
  };
  struct SentProbe {
    VmId vm;
    Time at;
  };

  void OnStatus(Time sent, const VmId& vm, const EngineStatus& status);
  void OnFailure(Time sent, const VmId& vm);
  void ExpireProbes(Time now);
  Duration Interval(ProbeRate rate) const;

  TrackerSettings settings_;
  Time list_as_of_;
  std::set<FabricDomainId> domains_;
  std::map<VmId, VmFacts> vms_;
  std::map<VmId, Schedule> schedules_;
  std::map<ProbeId, SentProbe> sent_probes_;
  ProbeId last_probe_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_VM_TRACKER_H_
