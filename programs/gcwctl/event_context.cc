#include "programs/gcwctl/event_context.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>

namespace gcw {
namespace {

std::string TextField(const TimelineEvent& event, std::string_view name) {
  for (const EventField& field : event.draft.fields) {
    const auto* text = std::get_if<std::string>(&field.value);
    if (field.name == name && text != nullptr) {
      return *text;
    }
  }
  return {};
}

bool IsAboutGroups(EventKind kind) {
  switch (kind) {
    case EventKind::kGroupPlanned:
    case EventKind::kGroupServing:
    case EventKind::kGroupClosed:
    case EventKind::kGroupDissolved:
    case EventKind::kVmLost:
    case EventKind::kVmRestarted:
      return true;
    default:
      return false;
  }
}

bool IsAboutConfiguration(EventKind kind) {
  switch (kind) {
    case EventKind::kConfigurationApplied:
    case EventKind::kStoreReachable:
    case EventKind::kStoreUnreachable:
      return true;
    default:
      return false;
  }
}

bool IsAboutLimits(EventKind kind) {
  return kind == EventKind::kEndpointLimitNamed ||
         kind == EventKind::kEndpointLimitLifted;
}

// Selects context events by what the subject's own events name.
class ContextFilter {
 public:
  explicit ContextFilter(const Explanation& explanation) {
    for (const ExplainedEvent& explained : explanation.events) {
      const TimelineEvent& event = explained.event;
      subject_events_.insert(event.id);
      first_time_ = subject_events_.size() == 1
                        ? event.time.physical
                        : std::min(first_time_, event.time.physical);
      last_time_ = std::max(last_time_, event.time.physical);
      for (const char* name : {"vm", "group"}) {
        related_ids_.insert(TextField(event, name));
      }
      const std::string reason = TextField(event, "reason");
      includes_groups_ = includes_groups_ || reason == "no_capacity" ||
                         reason == "no_endpoint";
      includes_limits_ = includes_limits_ || reason == "endpoint_limit";
      includes_configuration_ =
          includes_configuration_ || reason == "unknown_key" ||
          reason == "unknown_service" || reason == "not_ready";
    }
    related_ids_.erase("");
  }

  bool Matches(const TimelineEvent& event,
               const EventContextSettings& settings) const {
    const Time at = event.time.physical;
    if (subject_events_.contains(event.id) ||
        at + settings.lookback < first_time_ ||
        at > last_time_ + settings.lookahead) {
      return false;
    }
    const EventKind kind = event.draft.kind;
    // Other requests on the same VM are excluded: they are too many to help.
    const bool is_request =
        event.draft.kind == EventKind::kRequestFinished ||
        event.draft.kind == EventKind::kRequestRetried ||
        event.draft.kind == EventKind::kRequestRefused ||
        event.draft.kind == EventKind::kRequestOutcomeUnknown;
    return (!is_request &&
            (related_ids_.contains(event.draft.subject) ||
             related_ids_.contains(TextField(event, "vm")) ||
             related_ids_.contains(TextField(event, "group")))) ||
           (includes_groups_ && IsAboutGroups(kind)) ||
           (includes_limits_ && IsAboutLimits(kind)) ||
           (includes_configuration_ && IsAboutConfiguration(kind));
  }

 private:
  std::set<EventId> subject_events_;
  std::set<std::string> related_ids_;
  Time first_time_;
  Time last_time_;
  bool includes_groups_ = false;
  bool includes_limits_ = false;
  bool includes_configuration_ = false;
};

}  // namespace

std::vector<TimelineEvent> FindContext(const std::vector<TimelineEvent>& events,
                                       const Explanation& explanation,
                                       const EventContextSettings& settings) {
  if (explanation.events.empty()) {
    return {};
  }
  const ContextFilter filter(explanation);
  std::vector<TimelineEvent> context;
  for (const TimelineEvent& event : events) {
    if (filter.Matches(event, settings)) {
      context.push_back(event);
    }
  }
  return context;
}

}  // namespace gcw
