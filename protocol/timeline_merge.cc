#include "protocol/timeline_merge.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace gcw {
namespace {

bool ComesBefore(const TimelineEvent& a, const TimelineEvent& b) {
  if (std::tie(a.time, a.node) != std::tie(b.time, b.node)) {
    return std::tie(a.time, a.node) < std::tie(b.time, b.node);
  }
  // Ids are compared by their numbers, so that event 10 comes after event 9.
  const std::optional<EventIdParts> a_parts = ParseEventId(a.id);
  const std::optional<EventIdParts> b_parts = ParseEventId(b.id);
  if (a_parts != b_parts) {
    return a_parts < b_parts;
  }
  return a.id < b.id;
}

std::vector<TimelineEvent> SortAndDeduplicate(
    std::vector<std::vector<TimelineEvent>> timelines) {
  std::vector<TimelineEvent> events;
  for (std::vector<TimelineEvent>& timeline : timelines) {
    std::move(timeline.begin(), timeline.end(), std::back_inserter(events));
  }
  std::stable_sort(events.begin(), events.end(), ComesBefore);
  std::set<EventId> seen;
  std::erase_if(events, [&seen](const TimelineEvent& event) {
    return !seen.insert(event.id).second;
  });
  return events;
}

// Reorders sorted events so that each comes after its cause.
class CausalSorter {
 public:
  explicit CausalSorter(std::vector<TimelineEvent> sorted)
      : sorted_(std::move(sorted)) {
    std::unordered_map<EventId, std::size_t> indices;
    for (std::size_t index = 0; index < sorted_.size(); ++index) {
      indices.emplace(sorted_[index].id, index);
    }
    for (std::size_t index = 0; index < sorted_.size(); ++index) {
      const auto cause = indices.find(sorted_[index].draft.cause);
      if (cause == indices.end() || cause->second == index) {
        ready_.insert(index);
      } else {
        effects_[cause->second].push_back(index);
        waiting_.insert(index);
      }
    }
  }

  std::vector<TimelineEvent> Sort() {
    std::vector<TimelineEvent> ordered;
    ordered.reserve(sorted_.size());
    while (!ready_.empty() || !waiting_.empty()) {
      if (ready_.empty()) {
        // All remaining events wait for a cycle.
        Release(*waiting_.begin());
      }
      const std::size_t index = *ready_.begin();
      ready_.erase(ready_.begin());
      ordered.push_back(std::move(sorted_[index]));
      for (const std::size_t effect : effects_[index]) {
        Release(effect);
      }
    }
    return ordered;
  }

 private:
  void Release(std::size_t index) {
    if (waiting_.erase(index) > 0) {
      ready_.insert(index);
    }
  }

  // The members below refer to events by their index in this list.
  std::vector<TimelineEvent> sorted_;
  std::map<std::size_t, std::vector<std::size_t>> effects_;
  // Events whose cause is in the output or unknown, the earliest first.
  std::set<std::size_t> ready_;
  std::set<std::size_t> waiting_;
};

}  // namespace

std::vector<TimelineEvent> MergeTimelines(
    std::vector<std::vector<TimelineEvent>> timelines) {
  return CausalSorter(SortAndDeduplicate(std::move(timelines))).Sort();
}

}  // namespace gcw
