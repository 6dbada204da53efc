#include "protocol/protocol.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/json.hpp>

namespace gcw {
namespace {

TimelineEvent MakeEvent(const std::string& node,
                        std::int64_t counter,
                        std::int64_t millis,
                        const EventId& cause = EventId()) {
  return {MakeEventId({NodeId(node), Incarnation(1), counter}),
          {Time::FromMillis(millis), 0},
          NodeId(node),
          {EventKind::kGroupServing, "g1", cause, {}}};
}

std::vector<std::string> IdsOf(const std::vector<TimelineEvent>& events) {
  std::vector<std::string> ids;
  ids.reserve(events.size());
  for (const TimelineEvent& event : events) {
    ids.push_back(event.id.value());
  }
  return ids;
}

TEST(EventKindTest, EachKindIsFoundByItsName) {
  for (int number = 0;
       number <= static_cast<int>(EventKind::kConnectionStalled); ++number) {
    const auto kind = static_cast<EventKind>(number);
    EXPECT_EQ(EventKindFromName(EventKindName(kind)), kind);
  }
  EXPECT_EQ(EventKindFromName("unknown"), std::nullopt);
  EXPECT_EQ(EventKindFromName(""), std::nullopt);
}

TEST(TimelineJsonTest, PagesRoundTrip) {
  TimelineEvent event = MakeEvent("n1", 7, 1500, EventId("n2/1/3"));
  event.time.logical = 2;
  event.draft.fields = {{"count", std::int64_t{-3}},
                        {"ratio", 0.5},
                        {"is_last", true},
                        {"model", std::string("a \"quoted\" name\n")}};
  const EventPage page{{event}, event.id, 4, true};
  TimelineDecoder decoder;
  const auto decoded = decoder.DecodePage(EncodeEventPage(page));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded).next, event.id);
  EXPECT_EQ(ValueOf(decoded).dropped, 4);
  EXPECT_TRUE(ValueOf(decoded).restarted);
  ASSERT_EQ(ValueOf(decoded).events.size(), 1U);
  const TimelineEvent& read = ValueOf(decoded).events[0];
  EXPECT_EQ(EventToJson(read), EventToJson(event));
  EXPECT_EQ(read.time, event.time);
  EXPECT_EQ(read.draft.cause, event.draft.cause);
  ASSERT_EQ(read.draft.fields.size(), 4U);
  EXPECT_EQ(read.draft.fields[0].value, event.draft.fields[0].value);
  EXPECT_EQ(read.draft.fields[1].value, event.draft.fields[1].value);
}

// Guards against a time line that no viewer or script can read: a caller names
// a model in bytes that are not UTF-8, the event of the refusal carries the
// name, and the JSON library writes strings unchanged and NaN as invalid JSON.
TEST(TimelineJsonTest, InvalidTextAndNumbersStillGiveJson) {
  TimelineEvent event = MakeEvent("n1", 1, 1);
  event.draft.subject = "model-\xff\xc0\x80";
  event.draft.fields = {{"wait_ms", std::numeric_limits<double>::quiet_NaN()}};
  TimelineDecoder decoder;
  const auto decoded = decoder.DecodePage(EncodeEvents({event}));
  ASSERT_TRUE(IsOk(decoded));
  const TimelineEvent& read = ValueOf(decoded).events[0];
  EXPECT_EQ(read.draft.subject, "model-\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd");
  EXPECT_TRUE(std::isnan(std::get<double>(read.draft.fields[0].value)));
}

TEST(Utf8Test, RecognizesWellFormedText) {
  EXPECT_TRUE(IsValidUtf8("a\xc4\x8d\xe2\x82\xac\xf0\x9f\x90\xa6"));
  for (const char* bad : {"\x80", "\xc3", "\xc0\xaf", "\xe0\x80\x80",
                          "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf5"}) {
    EXPECT_FALSE(IsValidUtf8(bad));
  }
}

TEST(TimelineJsonTest, RejectsMalformedTimelines) {
  const auto kind = [](boost::json::value event) {
    TimelineDecoder decoder;
    const auto decoded = decoder.DecodePage(
        boost::json::serialize(boost::json::object{{"events", {event}}}));
    return IsOk(decoded) ? std::nullopt : std::optional(ErrorOf(decoded).kind);
  };
  const boost::json::object valid = EventToJson(MakeEvent("n1", 1, 1));
  EXPECT_EQ(kind(valid), std::nullopt);
  for (const auto& member : valid) {
    boost::json::object changed = valid;
    changed[member.key()] = boost::json::array();
    EXPECT_EQ(kind(changed), TimelineErrorKind::kMalformed) << member.key();
    changed.erase(member.key());
    EXPECT_EQ(kind(changed), TimelineErrorKind::kMalformed) << member.key();
  }
  boost::json::object unknown = valid;
  unknown["event"] = "group_sang";
  EXPECT_EQ(kind(unknown), TimelineErrorKind::kUnknownKind);
  boost::json::object too_many_names = valid;
  for (std::size_t name = 0; name <= TimelineDecoder::kMaxNames; ++name) {
    too_many_names["fields"].as_object()[std::to_string(name)] = 1;
  }
  EXPECT_EQ(kind(too_many_names), TimelineErrorKind::kTooManyNames);
  TimelineDecoder decoder;
  EXPECT_EQ(ErrorOf(decoder.DecodePage("{\"events\":[")).kind,
            TimelineErrorKind::kSyntax);
}

TEST(MergeTimelinesTest, OrdersByTimeThenNodeThenNumber) {
  const auto merged = MergeTimelines(
      {{MakeEvent("n2", 1, 5)},
       {MakeEvent("n1", 10, 5), MakeEvent("n1", 9, 5), MakeEvent("n1", 1, 2)}});
  EXPECT_EQ(IdsOf(merged), (std::vector<std::string>{"n1/1/1", "n1/1/9",
                                                     "n1/1/10", "n2/1/1"}));
}

// Guards against an effect that is listed before its cause. The clock of n1 is
// a second behind, and n1 acts on an event of n2 whose time it rejected because
// it exceeds the bound on clock drift. Time stamps alone do not order such
// events.
TEST(MergeTimelinesTest, CausePrecedesEffectWithEarlierTime) {
  const TimelineEvent cause = MakeEvent("n2", 1, 2000);
  const TimelineEvent effect = MakeEvent("n1", 1, 1000, cause.id);
  const TimelineEvent later = MakeEvent("n3", 1, 1500);
  EXPECT_EQ(IdsOf(MergeTimelines({{effect}, {later}, {cause}, {cause}})),
            (std::vector<std::string>{"n3/1/1", "n2/1/1", "n1/1/1"}));
}

TEST(MergeTimelinesTest, KeepsAllEventsOfACycle) {
  const TimelineEvent first = MakeEvent("n1", 1, 1, EventId("n1/1/2"));
  const TimelineEvent second = MakeEvent("n1", 2, 2, first.id);
  const TimelineEvent self = MakeEvent("n1", 3, 3, EventId("n1/1/3"));
  EXPECT_EQ(IdsOf(MergeTimelines({{second, first, self}})),
            (std::vector<std::string>{"n1/1/3", "n1/1/1", "n1/1/2"}));
}

RC_GTEST_PROP(MergeTimelinesTest, KeepsCausalOrderForAnyInput, ()) {
  const int count = *rc::gen::inRange(0, 40);
  std::vector<TimelineEvent> events;
  for (int number = 0; number < count; ++number) {
    const int cause = *rc::gen::inRange(0, number + 1);
    const std::int64_t millis = *rc::gen::inRange(0, 20);
    events.push_back(MakeEvent(
        number % 3 == 0 ? "n1" : "n2", number + 1, millis,
        cause == number ? EventId()
                        : events[static_cast<std::size_t>(cause)].id));
  }
  const auto merged = MergeTimelines({events});
  RC_ASSERT(merged.size() == events.size());
  std::set<EventId> seen;
  for (const TimelineEvent& event : merged) {
    RC_ASSERT(event.draft.cause.empty() || seen.contains(event.draft.cause));
    seen.insert(event.id);
  }
  std::reverse(events.begin(), events.end());
  RC_ASSERT(IdsOf(MergeTimelines({events})) == IdsOf(merged));
}

TEST(ExportTraceTest, HasProcessPerNodeAndArrowPerCause) {
  const TimelineEvent cause = MakeEvent("n2", 1, 1000);
  const TimelineEvent effect = MakeEvent("n1", 1, 1001, cause.id);
  const auto trace =
      boost::json::parse(ExportTrace({cause, effect})).as_object();
  std::map<std::string, int> phases;
  std::set<std::int64_t> processes;
  for (const auto& entry : trace.at("traceEvents").as_array()) {
    ++phases[std::string(entry.at("ph").as_string())];
    processes.insert(entry.at("pid").as_int64());
  }
  // Two processes with one thread each have 4 names; there are two slices and
  // one arrow.
  EXPECT_EQ(phases, (std::map<std::string, int>{
                        {"M", 4}, {"X", 2}, {"s", 1}, {"f", 1}}));
  EXPECT_EQ(processes.size(), 2U);
}

}  // namespace
}  // namespace gcw
