// Commands that read the time line.

#include "programs/gcwctl/commands.h"

#include <fstream>
#include <utility>

#include <boost/json.hpp>

#include "programs/gcwctl/answer_fields.h"
#include "programs/gcwctl/table.h"

namespace gcw {
namespace {

namespace json = boost::json;

constexpr int kStatusOk = 200;

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
      err_ << line_.trace_file << " cannot be written\n";
      return ExitCode::kRefused;
    }
  }
  if (line_.json) {
    out_ << EncodeEvents(events) << '\n';
    return ExitCode::kDone;
  }
  json::array rows;
  for (const TimelineEvent& event : events) {
    rows.emplace_back(EventToJson(event));
  }
  PrintTable(rows, {"time_ms", "node", "event", "subject", "fields", "cause"},
             out_);
  return ExitCode::kDone;
}

ExitCode Commands::ShowWhy() {
  if (Word(1).empty()) {
    return Usage();
  }
  TimelineDecoder decoder;
  std::vector<TimelineEvent> events;
  ExitCode failure = ExitCode::kUnreachable;
  if (!CollectEvents(events, decoder, failure)) {
    return failure;
  }
  const Explanation explanation = ExplainSubject(events, Word(1));
  if (explanation.events.empty()) {
    err_ << "no event is about " << Word(1)
         << "; it may be too old, see docs/OPERATORS.md\n";
    return ExitCode::kRefused;
  }
  json::array rows;
  for (const ExplainedEvent& explained : explanation.events) {
    json::object row = EventToJson(explained.event);
    row["relation"] = EventRelationName(explained.relation);
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
  std::vector<json::object> nodes;
  if (!FindNodes(nodes, failure)) {
    return false;
  }
  std::vector<std::vector<TimelineEvent>> timelines;
  for (const json::object& node : nodes) {
    const std::string id = FieldText(node, "node");
    const Address address(FieldText(node, "operator_address"));
    const Result<OperatorAnswer, OperatorCallError> answer =
        ClientFor(address).Call(
            "GET", "/v1/timeline?limit=" + std::to_string(line_.limit));
    if (!IsOk(answer) || ValueOf(answer).status != kStatusOk) {
      err_ << id << " gave no events; the list is without its part\n";
      continue;
    }
    Result<EventPage, TimelineError> page =
        decoder.DecodePage(json::serialize(ValueOf(answer).body));
    if (!IsOk(page)) {
      err_ << id << " gave events that cannot be read\n";
      continue;
    }
    timelines.push_back(std::move(ValueOf(page).events));
  }
  events = MergeTimelines(std::move(timelines));
  return true;
}

}  // namespace gcw
