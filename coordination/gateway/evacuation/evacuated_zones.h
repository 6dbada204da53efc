#ifndef COORDINATION_GATEWAY_EVACUATION_EVACUATED_ZONES_H_
#define COORDINATION_GATEWAY_EVACUATION_EVACUATED_ZONES_H_

#include <map>
#include <vector>

#include "core/core.h"
#include "state/state.h"

namespace gcw {

// A data centre whose endpoints get no requests, for operators.
struct ZoneEvacuation {
  ZoneId zone;
  Revision revision;
  // Time since this node learned of it.
  Duration age;
};

// The data centres that operators have evacuated: no request may be sent to
// their endpoints. Callers and nodes there go on as before.
class EvacuatedZones {
 public:
  explicit EvacuatedZones(EventSink events);

  // The key-value service shows the request for the evacuation. Returns whether
  // the zone was not evacuated before.
  bool Add(Time now, const ZoneId& zone, Revision revision);
  // The request was removed. Returns whether the zone was evacuated.
  bool Remove(Time now, const ZoneId& zone);

  bool Contains(const ZoneId& zone) const { return zones_.contains(zone); }
  std::size_t size() const { return zones_.size(); }
  std::vector<ZoneEvacuation> Report(Time now) const;

 private:
  struct Evacuation {
    Revision revision;
    Time learned;
  };

  EventSink events_;
  std::map<ZoneId, Evacuation> zones_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_EVACUATION_EVACUATED_ZONES_H_
