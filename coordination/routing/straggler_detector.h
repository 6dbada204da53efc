#ifndef COORDINATION_ROUTING_STRAGGLER_DETECTOR_H_
#define COORDINATION_ROUTING_STRAGGLER_DETECTOR_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

struct StragglerSettings {
  // Weight of a new sample in an endpoint's moving average.
  double sample_weight = 0.2;
  // Number of samples that an endpoint needs before it can be ejected.
  std::int64_t min_samples = 6;
  // Number of peers with enough samples that are needed before any of them can
  // be ejected.
  std::int64_t min_peers = 3;
  // An endpoint is ejected if its mean exceeds this multiple of the peers'
  // median.
  double eject_factor = 2.5;
  // A probe restores the endpoint if its cost is at most this multiple of the
  // median.
  double restore_factor = 1.4;
  // Limit on the share of all peers that are ejected at the same time.
  double max_ejected_share = 0.2;
  // Delay from ejection to the first probe. Each slow probe doubles the delay,
  // up to `max_probe_delay`.
  Duration initial_probe_delay = Duration::Seconds(5);
  Duration max_probe_delay = Duration::Seconds(60);
  // A probe that has brought no sample after this long is sent again.
  Duration probe_timeout = Duration::Seconds(10);
};

struct StragglerEjected {
  EndpointSlot slot;
  // The endpoint's mean cost as a multiple of the peers' median.
  double factor = 0;
};

struct StragglerRestored {
  EndpointSlot slot;
};

using StragglerAction = std::variant<StragglerEjected, StragglerRestored>;

// Finds endpoints that are much slower than their peers for the same work, such
// as a replica with one throttled accelerator. Such endpoints answer every
// request, so no failure reveals them; the symptom is a tail of requests that
// take several times as long as the rest. The share of ejected endpoints is
// capped, so that a slow fleet, a wrong clock or a bad release cannot eject all
// of them.
class StragglerDetector {
 public:
  explicit StragglerDetector(const StragglerSettings& settings);

  void Add(EndpointSlot slot);
  // Drops all state of the endpoint. Also called for a new generation.
  void Remove(EndpointSlot slot);

  // `cost` must be comparable among all peers, such as milliseconds per token.
  void OnSample(Time now, EndpointSlot slot, double cost);
  // A request was sent to an ejected endpoint to test whether it has recovered.
  void OnProbeSent(Time now, EndpointSlot slot);

  bool IsEjected(EndpointSlot slot) const;
  // Returns an ejected endpoint that is due for a probe, or a negative slot if
  // there is none.
  EndpointSlot FindDueProbe(Time now) const;

  // Compares all endpoints with their peers, and ejects and restores endpoints.
  std::vector<StragglerAction> Tick(Time now);

  std::int64_t ejected_count() const { return ejected_count_; }
  // The median of the peers' mean costs, or 0 if too few peers have enough
  // samples.
  double median_cost() const { return median_; }

 private:
  struct Peer {
    bool is_present = false;
    bool is_ejected = false;
    // A probe is in flight.
    bool is_probing = false;
    // The last probe was fast enough to restore the endpoint.
    bool has_recovered = false;
    std::int64_t samples = 0;
    double mean = 0;
    Time next_probe;
    Duration probe_delay;
  };

  Peer* Find(EndpointSlot slot);
  const Peer* Find(EndpointSlot slot) const;
  void OnProbeSample(Time now, Peer& peer, double cost);
  void UpdateMedian();
  bool CanEjectAnother() const;
  std::size_t SlowestOutlier() const;

  StragglerSettings settings_;
  std::vector<Peer> peers_;
  std::int64_t present_count_ = 0;
  std::int64_t ejected_count_ = 0;
  double median_ = 0;
  // Scratch space for `UpdateMedian`.
  std::vector<double> means_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_STRAGGLER_DETECTOR_H_
