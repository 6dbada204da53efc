#include "coordination/gateway/evacuation/evacuated_zones.h"

#include <utility>

namespace gcw {

EvacuatedZones::EvacuatedZones(EventSink events) : events_(std::move(events)) {}

bool EvacuatedZones::Add(Time now, const ZoneId& zone, Revision revision) {
  const auto [it, is_new] = zones_.try_emplace(zone, Evacuation{revision, now});
  if (!is_new) {
    it->second.revision = revision;
    return false;
  }
  events_({EventKind::kZoneEvacuated,
           zone.value(),
           {},
           {{"revision", revision.value()}}});
  return true;
}

bool EvacuatedZones::Remove(Time now, const ZoneId& zone) {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return false;
  }
  events_({EventKind::kZoneRestored,
           zone.value(),
           {},
           {{"evacuated_ms", (now - found->second.learned).millis()}}});
  zones_.erase(found);
  return true;
}

std::vector<ZoneEvacuation> EvacuatedZones::Report(Time now) const {
  std::vector<ZoneEvacuation> report;
  for (const auto& [zone, evacuation] : zones_) {
    report.push_back({zone, evacuation.revision, now - evacuation.learned});
  }
  return report;
}

}  // namespace gcw
