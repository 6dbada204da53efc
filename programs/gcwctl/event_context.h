#ifndef PROGRAMS_GCWCTL_EVENT_CONTEXT_H_
#define PROGRAMS_GCWCTL_EVENT_CONTEXT_H_

#include <vector>

#include "core/core.h"

namespace gcw {

struct EventContextSettings {
  // How long before the subject's first event other events count as context. A
  // repair that loads a model takes about 20 s.
  Duration lookback = Duration::Seconds(30);
  // How long after the subject's last event other events count as context.
  Duration lookahead = Duration::Seconds(2);
};

// Returns events of any node close in time to the explained subject that may
// have led to it although no event names them as a cause: events about the VMs
// and groups that the subject's events name; about all groups, if the subject
// was refused because no endpoint was available; and about the configuration
// and the reachability of the key-value service, if its answer depended on the
// configuration. Keeps the order of `events` and leaves out the explained ones.
std::vector<TimelineEvent> FindContext(const std::vector<TimelineEvent>& events,
                                       const Explanation& explanation,
                                       const EventContextSettings& settings);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_EVENT_CONTEXT_H_
