// Commands that read events: timeline and why.

#include "programs/gcwctl/commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <utility>

#include <boost/json.hpp>

#include "programs/gcwctl/answer_fields.h"
#include "programs/gcwctl/event_context.h"
#include "programs/gcwctl/event_log_reader.h"
#include "programs/gcwctl/table.h"

namespace gcw {
namespace {

namespace json = boost::json;

constexpr int kStatusOk = 200;
// Relation of context events, which no other event names as its cause.
constexpr std::string_view kAround = "around";

struct RelatedEvent {
  std::string_view relation;
  TimelineEvent event;
};

}  // namespace

ExitCode Commands::ShowTimeline() {
  TimelineDecoder decoder;
  std::vector<TimelineEvent> events;
  ExitCode failure = ExitCode::kUnreachable;
  if (!CollectEvents(events, decoder, failure)) {
    return failure;
  }
  if (!line_.trace_file.empty()) {
    std::ofstream trace(line_.trace_file);
    trace << ExportTrace(events);
    if (!trace.flush()) {
      err_ << line_.trace_file << ": cannot write the trace file\n";
      return ExitCode::kRefused;
    }
  }
  if (line_.json) {
    out_ << EncodeEvents(events) << '\n';
    return ExitCode::kDone;
  }
  json::array rows;
  const auto shown = static_cast<std::size_t>(std::max<std::int64_t>(
      0, std::min<std::int64_t>(line_.limit,
                                static_cast<std::int64_t>(events.size()))));
  for (std::size_t i = 0; i < shown; ++i) {
    rows.emplace_back(EventToJson(events[events.size() - 1 - i]));
  }
  PrintTable(rows, {"time_ms", "node", "event", "subject", "fields", "cause"},
             out_);
  return ExitCode::kDone;
}

ExitCode Commands::ShowWhy() {
  if (Argument(1).empty()) {
    return PrintUsage();
  }
  TimelineDecoder decoder;
  std::vector<TimelineEvent> events;
  ExitCode failure = ExitCode::kUnreachable;
  if (!CollectEvents(events, decoder, failure)) {
    return failure;
  }
  const Explanation explanation = ExplainSubject(events, Argument(1));
  if (explanation.events.empty()) {
    err_ << "no events found for " << Argument(1)
         << "; they may be too old, see docs/OPERATORS.md\n";
    return ExitCode::kRefused;
  }
  std::vector<RelatedEvent> explained;
  for (const ExplainedEvent& event : explanation.events) {
    explained.push_back({EventRelationName(event.relation), event.event});
  }
  for (TimelineEvent& event : FindContext(events, explanation, {})) {
    explained.push_back({kAround, std::move(event)});
  }
  std::stable_sort(explained.begin(), explained.end(),
                   [](const RelatedEvent& a, const RelatedEvent& b) {
                     return b.event.time < a.event.time;
                   });
  json::array rows;
  for (const RelatedEvent& event : explained) {
    json::object row = EventToJson(event.event);
    row["relation"] = event.relation;
    rows.emplace_back(std::move(row));
  }
  if (line_.json) {
    out_ << json::serialize(json::object{{"events", rows}}) << '\n';
    return ExitCode::kDone;
  }
  PrintTable(rows,
             {"relation", "time_ms", "node", "event", "subject", "fields"},
             out_);
  return ExitCode::kDone;
}

bool Commands::CollectEvents(std::vector<TimelineEvent>& events,
                             TimelineDecoder& decoder,
                             ExitCode& failure) {
  if (!line_.log_files.empty()) {
    return ReadEventLogs(events, decoder, failure);
  }
  std::vector<json::object> nodes;
  if (!FindNodes(nodes, failure)) {
    return false;
  }
  std::vector<std::vector<TimelineEvent>> timelines;
  for (const json::object& node : nodes) {
    const std::string id = FieldText(node, "node");
    const Address address(FieldText(node, "operator_address"));
    const Result<OperatorAnswer, OperatorCallError> answer =
        MakeClient(address).Call(
            "GET", "/v1/timeline?limit=" + std::to_string(line_.limit));
    if (!IsOk(answer) || ValueOf(answer).status != kStatusOk) {
      err_ << id
           << ": no events received from this node; the list is incomplete\n";
      continue;
    }
    Result<EventPage, TimelineError> page =
        decoder.DecodePage(json::serialize(ValueOf(answer).body));
    if (!IsOk(page)) {
      err_ << id
           << ": malformed events from this node; the list is incomplete\n";
      continue;
    }
    timelines.push_back(std::move(ValueOf(page).events));
  }
  events = MergeTimelines(std::move(timelines));
  return true;
}

bool Commands::ReadEventLogs(std::vector<TimelineEvent>& events,
                             TimelineDecoder& decoder,
                             ExitCode& failure) {
  EventLogReader reader(&decoder);
  std::vector<std::vector<TimelineEvent>> timelines;
  for (const std::string& name : line_.log_files) {
    if (name == "-") {
      timelines.push_back(reader.Read(std::cin));
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      err_ << name << ": cannot read the log file\n";
      failure = ExitCode::kUsage;
      return false;
    }
    timelines.push_back(reader.Read(file));
  }
  if (reader.malformed_lines() > 0) {
    err_ << reader.malformed_lines()
         << " malformed log lines skipped; the list is incomplete\n";
  }
  for (std::vector<TimelineEvent>& timeline : timelines) {
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const TimelineEvent& a, const TimelineEvent& b) {
                       return a.time < b.time;
                     });
  }
  events = MergeTimelines(std::move(timelines));
  return true;
}

}  // namespace gcw
