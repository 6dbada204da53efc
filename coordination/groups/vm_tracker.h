#ifndef COORDINATION_GROUPS_VM_TRACKER_H_
#define COORDINATION_GROUPS_VM_TRACKER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "coordination/groups/vm_probe.h"
#include "state/state.h"

namespace gcw {

// Settings of the VM tracker.
struct TrackerSettings {
  // Between probes of a VM that something is expected of: it loads, leaves,
  // drains, or another VM said that it misses it.
  Duration watched_interval = Duration::Millis(1000);
  // Between probes of the first VM of a serving group.
  Duration first_interval = Duration::Millis(2000);
  // Between probes of all others.
  Duration idle_interval = Duration::Seconds(10);
  Duration timeout = Duration::Millis(500);
  // A VM that answered nothing for this long since its first unanswered probe
  // counts as lost.
  Duration loss_after = Duration::Millis(3000);
  // How far the VM list may lag. A VM counts as gone only by a list that held
  // this much later than the VM's last sign of life.
  Duration list_lag = Duration::Seconds(60);
};

// How closely a VM is watched.
enum class Watch { kIdle, kFirst, kClose };

// What is known of one VM.
struct VmFacts {
  // As last listed.
  VmEntry entry;
  // Whether the newest list holds it.
  bool listed = false;
  // When a list first held that left it out.
  std::optional<Time> absent_as_of;
  // The newest answer and when its probe was sent.
  std::optional<EngineStatus> status;
  Time status_time;
  // The first unanswered probe after the newest answer was sent then.
  std::optional<Time> failing_since;
};

// Knows a domain's VMs by the VM list and by probes of its own.
class VmTracker {
 public:
  explicit VmTracker(TrackerSettings settings);

  // Lists that held earlier than one already known are ignored.
  void OnVmList(Time now, const VmListSnapshot& snapshot);

  // Which domains' VMs are probed.
  void SetDomains(const std::set<FabricDomainId>& domains);
  void SetWatch(const VmId& vm, Watch watch);

  // The probes that are due.
  std::vector<ProbeVm> Tick(Time now);
  void OnProbeReply(Time now, ProbeId id, const ProbeReply& reply);

  // Nothing for VMs that were never listed.
  const VmFacts* Find(const VmId& vm) const;
  const std::map<VmId, VmFacts>& all() const { return vms_; }

  // It did not answer for the loss time.
  bool IsUnreachable(Time now, const VmId& vm) const;

  // Its last sign of life lies before a list that leaves it out, by more than
  // the list's lag. A list that is late in showing a new VM cannot make it look
  // gone, since a VM never listed is never gone.
  bool IsGone(Time now, const VmId& vm) const;

  // Its engine answered a probe sent at `since` or later, and is in no group.
  bool IsIdleSince(const VmId& vm, Time since) const;

 private:
  struct Schedule {
    Watch watch = Watch::kIdle;
    Time next;
    std::optional<ProbeId> pending;
  };
  struct Sent {
    VmId vm;
    Time at;
  };

  void OnStatus(Time sent, const VmId& vm, const EngineStatus& status);
  void OnFailure(Time sent, const VmId& vm);
  void ExpireProbes(Time now);
  Duration Interval(Watch watch) const;

  TrackerSettings settings_;
  Time list_as_of_;
  std::set<FabricDomainId> domains_;
  std::map<VmId, VmFacts> vms_;
  std::map<VmId, Schedule> schedules_;
  std::map<ProbeId, Sent> sent_;
  ProbeId last_id_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_VM_TRACKER_H_
