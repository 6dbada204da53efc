#include "core/event_causes.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace gcw {
namespace {

// Graph of the causes within a list of events. Events are identified by their
// index in the list.
class CauseGraph {
 public:
  explicit CauseGraph(const std::vector<TimelineEvent>& events)
      : events_(events), relations_(events.size()) {
    for (std::size_t index = 0; index < events.size(); ++index) {
      index_of_.emplace(events[index].id, index);
    }
    for (std::size_t index = 0; index < events.size(); ++index) {
      const auto cause = index_of_.find(events[index].draft.cause);
      if (cause != index_of_.end()) {
        effects_of_[cause->second].push_back(index);
      }
    }
  }

  Explanation Explain(std::string_view subject) {
    std::vector<std::size_t> subject_events;
    for (std::size_t index = 0; index < events_.size(); ++index) {
      if (events_[index].draft.subject == subject) {
        relations_[index] = EventRelation::kSubject;
        subject_events.push_back(index);
      }
    }
    for (const std::size_t index : subject_events) {
      MarkCauses(index);
    }
    MarkEffects(subject_events);
    return Collect();
  }

 private:
  // Stops at an event that is already marked, so that a cycle terminates.
  void MarkCauses(std::size_t index) {
    while (true) {
      const EventId& cause = events_[index].draft.cause;
      if (cause.empty()) {
        return;
      }
      const auto found = index_of_.find(cause);
      if (found == index_of_.end()) {
        missing_causes_.insert(cause);
        return;
      }
      index = found->second;
      if (relations_[index]) {
        return;
      }
      relations_[index] = EventRelation::kCause;
    }
  }

  void MarkEffects(std::vector<std::size_t> pending) {
    while (!pending.empty()) {
      const std::size_t index = pending.back();
      pending.pop_back();
      const auto effects = effects_of_.find(index);
      if (effects == effects_of_.end()) {
        continue;
      }
      for (const std::size_t effect : effects->second) {
        if (!relations_[effect]) {
          relations_[effect] = EventRelation::kEffect;
          pending.push_back(effect);
        }
      }
    }
  }

  Explanation Collect() const {
    Explanation explanation;
    for (std::size_t index = 0; index < events_.size(); ++index) {
      if (relations_[index]) {
        explanation.events.push_back({*relations_[index], events_[index]});
      }
    }
    explanation.missing_causes.assign(missing_causes_.begin(),
                                      missing_causes_.end());
    return explanation;
  }

  const std::vector<TimelineEvent>& events_;
  std::unordered_map<EventId, std::size_t> index_of_;
  std::map<std::size_t, std::vector<std::size_t>> effects_of_;
  std::vector<std::optional<EventRelation>> relations_;
  std::set<EventId> missing_causes_;
};

}  // namespace

std::string_view EventRelationName(EventRelation relation) {
  switch (relation) {
    case EventRelation::kCause:
      return "cause";
    case EventRelation::kSubject:
      return "subject";
    case EventRelation::kEffect:
      return "effect";
  }
  return "unknown";
}

Explanation ExplainSubject(const std::vector<TimelineEvent>& events,
                           std::string_view subject) {
  return CauseGraph(events).Explain(subject);
}

}  // namespace gcw
