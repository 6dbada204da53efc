#ifndef PROGRAMS_GCWCTL_EVENT_CONTEXT_H_
#define PROGRAMS_GCWCTL_EVENT_CONTEXT_H_

#include <vector>

#include "core/core.h"

namespace gcw {

struct EventContextSettings {
  // How long before a subject's first event something may have led to it: a
  // repair that needs a load takes some twenty seconds.
  Duration before = Duration::Seconds(30);
  // How long after its last event.
  Duration after = Duration::Seconds(2);
};

// What happened on any node around an explained subject and may have led to it,
// though no event names it as a cause: to the VMs and groups that its events
// name; where it was refused for want of an endpoint, to all groups; where its
// answer depended on the configuration, to the configuration and to nodes'
// reach of the key-value service. In order of time, without the explained
// events.
std::vector<TimelineEvent> FindContext(const std::vector<TimelineEvent>& events,
                                       const Explanation& explanation,
                                       const EventContextSettings& settings);

}  // namespace gcw

#endif  // PROGRAMS_GCWCTL_EVENT_CONTEXT_H_
