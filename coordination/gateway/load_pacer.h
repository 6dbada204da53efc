#ifndef COORDINATION_GATEWAY_LOAD_PACER_H_
#define COORDINATION_GATEWAY_LOAD_PACER_H_

#include <map>
#include <vector>

#include "state/state.h"

namespace gcw {

struct LoadPacerSettings {
  // Part of the weight store's published rate that is used: orders that are
  // carried out late come together with later ones.
  double rate_share = 0.75;
  // Loads that may begin together, beyond the rate.
  double burst = 3;
  // Loads under way at once, as a multiple of what the weight store serves at
  // full speed: each further one slows all the others.
  double most_at_once = 1.25;
  // A load that has shown no result by this multiple of its time is over.
  double patience = 3;
  // Part of the loads at once beyond which no standby load begins.
  double max_standby_share = 0.5;
};

enum class LoadNeed {
  // A group or a spare waits for it.
  kNow,
  // Begins only where it holds up no load that is needed now.
  kStandby,
};

// Spreads loads from the weight store over time: starts beyond its rate are
// refused or slowed there for everybody.
class LoadPacer {
 public:
  explicit LoadPacer(const LoadPacerSettings& settings) : settings_(settings) {}

  void SetProfile(const EngineProfile& profile);
  // Before the first request loads are quick and count against no rate.
  void OnTraffic() { has_traffic_ = true; }
  bool has_traffic() const { return has_traffic_; }

  // Whether a load on that VM may begin now; notes it where so.
  bool Begin(Time now,
             const VmId& vm,
             Duration load_time,
             LoadNeed need = LoadNeed::kNow);
  // The VM's load ended, or the VM is gone.
  void End(const VmId& vm) { running_.erase(vm); }
  bool IsLoading(const VmId& vm) const { return running_.contains(vm); }
  // VMs whose loads are under way.
  std::vector<VmId> Running() const;
  void Tick(Time now);

 private:
  LoadPacerSettings settings_;
  double rate_ = 1;
  double at_once_ = 1;
  bool has_traffic_ = false;
  double balance_ = 0;
  Time refilled_;
  // With the time at which each is taken to be over.
  std::map<VmId, Time> running_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_LOAD_PACER_H_
