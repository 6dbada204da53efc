#include "protocol/trace_file.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "protocol/event_field_json.h"

namespace gcw {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
// Viewers draw arrows only between slices. Events have no duration, so each
// event is written as a slice of this length.
constexpr std::int64_t kSliceMicros = 100;

// Returns the first word of the event's name, such as "group" for
// "group_serving".
std::string_view EventFamily(EventKind kind) {
  const std::string_view name = EventKindName(kind);
  return name.substr(0, name.find('_'));
}

// Adds the logical counter as microseconds, so that the order of events within
// a millisecond stays visible.
std::int64_t Microseconds(const HybridTime& time) {
  const std::int64_t offset =
      std::clamp<std::int64_t>(time.logical, 0, kMicrosPerMilli - 1);
  return time.physical.millis() * kMicrosPerMilli + offset;
}

class TraceWriter {
 public:
  explicit TraceWriter(const std::vector<TimelineEvent>& events)
      : events_(events) {
    for (std::size_t index = 0; index < events.size(); ++index) {
      indices_.emplace(events[index].id, index);
      processes_[events[index].node] = 0;
      lanes_[EventFamily(events[index].draft.kind)] = 0;
    }
    AssignNumbers(processes_);
    AssignNumbers(lanes_);
  }

  std::string Write() {
    WriteNames();
    for (const TimelineEvent& event : events_) {
      WriteSlice(event);
      WriteArrow(event);
    }
    return boost::json::serialize(boost::json::object{
        {"displayTimeUnit", "ms"}, {"traceEvents", std::move(entries_)}});
  }

 private:
  template <typename Key>
  static void AssignNumbers(std::map<Key, std::int64_t>& numbers) {
    std::int64_t next = 1;
    for (auto& [key, number] : numbers) {
      number = next++;
    }
  }

  boost::json::object MakeEntry(std::string_view phase,
                                const TimelineEvent& event) const {
    return {{"ph", phase},
            {"ts", Microseconds(event.time)},
            {"pid", processes_.at(event.node)},
            {"tid", lanes_.at(EventFamily(event.draft.kind))}};
  }

  void WriteNames() {
    for (const auto& [node, process] : processes_) {
      entries_.push_back(
          boost::json::object{{"ph", "M"},
                              {"name", "process_name"},
                              {"pid", process},
                              {"args", {{"name", TextToJson(node.value())}}}});
      for (const auto& [family, lane] : lanes_) {
        entries_.push_back(boost::json::object{{"ph", "M"},
                                               {"name", "thread_name"},
                                               {"pid", process},
                                               {"tid", lane},
                                               {"args", {{"name", family}}}});
      }
    }
  }

  void WriteSlice(const TimelineEvent& event) {
    boost::json::object arguments = FieldsToJson(event.draft.fields);
    arguments.insert_or_assign("id", TextToJson(event.id.value()));
    arguments.insert_or_assign("subject", TextToJson(event.draft.subject));
    boost::json::object entry = MakeEntry("X", event);
    entry["dur"] = kSliceMicros;
    entry["name"] = EventKindName(event.draft.kind);
    entry["cat"] = EventFamily(event.draft.kind);
    entry["args"] = std::move(arguments);
    entries_.push_back(std::move(entry));
  }

  void WriteArrow(const TimelineEvent& effect) {
    const auto cause = indices_.find(effect.draft.cause);
    if (cause == indices_.end()) {
      return;
    }
    // Both ends of the arrow bind to the enclosing slice.
    boost::json::object start = MakeEntry("s", events_[cause->second]);
    boost::json::object finish = MakeEntry("f", effect);
    finish["bp"] = "e";
    ++arrows_;
    for (boost::json::object* arrow_end : {&start, &finish}) {
      (*arrow_end)["id"] = arrows_;
      (*arrow_end)["name"] = "cause";
      (*arrow_end)["cat"] = "cause";
    }
    entries_.push_back(std::move(start));
    entries_.push_back(std::move(finish));
  }

  const std::vector<TimelineEvent>& events_;
  std::unordered_map<EventId, std::size_t> indices_;
  std::map<NodeId, std::int64_t> processes_;
  std::map<std::string_view, std::int64_t> lanes_;
  std::int64_t arrows_ = 0;
  boost::json::array entries_;
};

}  // namespace

std::string ExportTrace(const std::vector<TimelineEvent>& events) {
  return TraceWriter(events).Write();
}

}  // namespace gcw
