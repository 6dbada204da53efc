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

// Selects context events by what the subject's own events name.
class ContextQuestion {
 public:
  explicit ContextQuestion(const Explanation& explanation) {
    for (const ExplainedEvent& explained : explanation.events) {
      const TimelineEvent& event = explained.event;
      own_.insert(event.id);
      first_ = own_.size() == 1 ? event.time.physical
                                : std::min(first_, event.time.physical);
      last_ = std::max(last_, event.time.physical);
      for (const char* name : {"vm", "group"}) {
        named_.insert(TextField(event, name));
      }
      const std::string reason = TextField(event, "reason");
      groups_ = groups_ || reason == "no_capacity" || reason == "no_endpoint";
      configuration_ = configuration_ || reason == "unknown_key" ||
                       reason == "unknown_service" || reason == "not_ready";
    }
    named_.erase("");
  }

  bool IsAnsweredBy(const TimelineEvent& event,
                    const EventContextSettings& settings) const {
    const Time at = event.time.physical;
    if (own_.contains(event.id) || at + settings.before < first_ ||
        at > last_ + settings.after) {
      return false;
    }
    const EventKind kind = event.draft.kind;
    // Other requests on the same VM are excluded: they are too many to help.
    const bool is_request =
        event.draft.kind == EventKind::kRequestFinished ||
        event.draft.kind == EventKind::kRequestRetried ||
        event.draft.kind == EventKind::kRequestRefused ||
        event.draft.kind == EventKind::kRequestOutcomeUnknown;
    return (!is_request && (named_.contains(event.draft.subject) ||
                            named_.contains(TextField(event, "vm")) ||
                            named_.contains(TextField(event, "group")))) ||
           (groups_ && IsAboutGroups(kind)) ||
           (configuration_ && IsAboutConfiguration(kind));
  }

 private:
  std::set<EventId> own_;
  std::set<std::string> named_;
  Time first_;
  Time last_;
  bool groups_ = false;
  bool configuration_ = false;
};

}  // namespace

std::vector<TimelineEvent> FindContext(const std::vector<TimelineEvent>& events,
                                       const Explanation& explanation,
                                       const EventContextSettings& settings) {
  if (explanation.events.empty()) {
    return {};
  }
  const ContextQuestion question(explanation);
  std::vector<TimelineEvent> context;
  for (const TimelineEvent& event : events) {
    if (question.IsAnsweredBy(event, settings)) {
      context.push_back(event);
    }
  }
  return context;
}

}  // namespace gcw
