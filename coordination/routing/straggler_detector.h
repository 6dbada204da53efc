#ifndef COORDINATION_ROUTING_STRAGGLER_DETECTOR_H_
#define COORDINATION_ROUTING_STRAGGLER_DETECTOR_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

struct StragglerSettings {
  // Weight of a new sample in an endpoint's mean.
  double sample_weight = 0.2;
  // Samples before an endpoint is judged.
  std::int64_t min_samples = 6;
  // Peers with enough samples before any of them is judged.
  std::int64_t min_peers = 3;
  // Ejected above this multiple of the peers' median.
  double eject_factor = 2.5;
  // A probe restores the endpoint below this multiple.
  double restore_factor = 1.4;
  // Of all peers, how many may be ejected at once.
  double max_ejected_share = 0.2;
  // Time to the first probe; doubles with each probe that was slow.
  Duration first_probe_after = Duration::Seconds(5);
  Duration max_probe_after = Duration::Seconds(60);
  // A probe that brought no sample by then is sent again.
  Duration probe_timeout = Duration::Seconds(10);
};

struct StragglerEjected {
  EndpointSlot slot;
  // Its mean as a multiple of the peers' median.
  double factor = 0;
};

struct StragglerRestored {
  EndpointSlot slot;
};

using StragglerAction = std::variant<StragglerEjected, StragglerRestored>;

// Finds endpoints that are much slower than their peers for the same work, such
// as a replica with one throttled accelerator. They answer, so no failure shows
// it: the symptom is a tail of requests several times slower than the rest.
// The share ejected is capped, so that a slow fleet, a wrong clock or a bad
// release never leaves no endpoint.
class StragglerDetector {
 public:
  explicit StragglerDetector(const StragglerSettings& settings);

  void Add(EndpointSlot slot);
  // Forgets all about it; also for a new generation.
  void Remove(EndpointSlot slot);

  // A cost that is alike for all peers, such as milliseconds a token.
  void OnSample(Time now, EndpointSlot slot, double cost);
  // A request goes to an ejected endpoint to see whether it recovered.
  void OnProbeSent(Time now, EndpointSlot slot);

  bool IsEjected(EndpointSlot slot) const;
  // Any ejected endpoint that is due for a probe; negative where there is none.
  EndpointSlot DueProbe(Time now) const;

  // Judges all endpoints against their peers.
  std::vector<StragglerAction> Tick(Time now);

  std::int64_t ejected_count() const { return ejected_count_; }
  // The median of the peers' mean costs; 0 while too few are known.
  double median_cost() const { return median_; }

 private:
  struct Peer {
    bool is_present = false;
    bool is_ejected = false;
    // A probe is under way.
    bool is_probing = false;
    // Its probe brought a fast sample.
    bool has_recovered = false;
    std::int64_t samples = 0;
    double mean = 0;
    Time next_probe;
    Duration probe_after;
  };

  Peer* Find(EndpointSlot slot);
  const Peer* Find(EndpointSlot slot) const;
  void OnProbeSample(Time now, Peer& peer, double cost);
  void UpdateMedian();
  bool MayEjectOneMore() const;
  std::size_t SlowestSuspect() const;

  StragglerSettings settings_;
  std::vector<Peer> peers_;
  std::int64_t present_count_ = 0;
  std::int64_t ejected_count_ = 0;
  double median_ = 0;
  // Scratch space for the median.
  std::vector<double> means_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_STRAGGLER_DETECTOR_H_
