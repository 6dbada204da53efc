#ifndef COORDINATION_GATEWAY_LOAD_PACER_H_
#define COORDINATION_GATEWAY_LOAD_PACER_H_

#include <map>
#include <vector>

#include "state/state.h"

namespace gcw {

struct LoadPacerSettings {
  // Fraction of the weight store's published rate that is used. The margin
  // allows for orders that are carried out late and coincide with later ones.
  double rate_share = 0.75;
  // Number of loads that may begin together, beyond the rate.
  double burst = 3;
  // Maximum number of concurrent loads, as a multiple of what the weight store
  // serves at full speed. Each load beyond that slows all the others.
  double max_concurrency_factor = 1.25;
  // A load without a result after this multiple of its expected time counts as
  // ended.
  double timeout_factor = 3;
  // Fraction of the maximum number of concurrent loads beyond which no standby
  // load begins.
  double max_standby_share = 0.5;
};

enum class LoadPriority {
  // A group or a spare waits for the load.
  kUrgent,
  // The load begins only if it delays no load that is needed now.
  kStandby,
};

// Limits the rate and the concurrency of loads from the weight store, which
// refuses or slows loads beyond its rate for all VMs. It starts without tokens,
// because the node that had the task before may have just spent all of them.
class LoadPacer {
 public:
  explicit LoadPacer(const LoadPacerSettings& settings) : settings_(settings) {}

  void SetProfile(const EngineProfile& profile);
  // Starts the limits. Before the first request, loads are quick and do not
  // count against the rate.
  void OnTraffic() { has_traffic_ = true; }
  bool has_traffic() const { return has_traffic_; }

  // Whether a load on the VM may begin now; if so, records it as running.
  bool TryBegin(Time now,
                const VmId& vm,
                Duration load_time,
                LoadPriority priority = LoadPriority::kUrgent);
  // Records that the VM's load ended or that the VM is gone.
  void End(const VmId& vm) { running_.erase(vm); }
  bool IsLoading(const VmId& vm) const { return running_.contains(vm); }
  // Returns the VMs whose loads are running.
  std::vector<VmId> RunningLoads() const;
  void Tick(Time now);

 private:
  LoadPacerSettings settings_;
  double rate_ = 1;
  double max_concurrent_ = 1;
  bool has_traffic_ = false;
  double tokens_ = 0;
  Time last_refill_;
  // When each running load counts as ended, by VM.
  std::map<VmId, Time> running_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_LOAD_PACER_H_
