#include "core/core.h"

#include <gtest/gtest.h>

namespace gcw {
namespace {

constexpr std::size_t kCapacity = 3;
constexpr std::size_t kLargeLimit = 100;

class EventLogTest : public testing::Test {
 protected:
  EventLog MakeLog(std::int64_t incarnation) {
    return EventLog::Builder()
        .SetNode(NodeId("n1"))
        .SetIncarnation(Incarnation(incarnation))
        .SetClock([this] { return now_; })
        .SetCapacity(kCapacity)
        .SetObserver([this](const TimelineEvent&) { ++observed_; })
        .Build();
  }

  EventId Append(const std::string& subject, const EventId& cause = EventId()) {
    return log_.Append({EventKind::kGroupServing, subject, cause, {}});
  }

  EventPage Read(const EventId& after, std::size_t limit = kLargeLimit) {
    const auto page = log_.ReadSince(after, limit);
    EXPECT_TRUE(IsOk(page));
    return IsOk(page) ? ValueOf(page) : EventPage();
  }

  Time now_ = Time::FromMillis(1000);
  int observed_ = 0;
  EventLog log_ = MakeLog(4);
};

TEST_F(EventLogTest, StampsIdNodeAndTime) {
  EventSink sink = log_.Sink();
  const EventId id = sink({EventKind::kNodeStarted, "n1", EventId(), {}});
  EXPECT_EQ(id, EventId("n1/4/1"));
  const EventPage page = Read(EventId());
  ASSERT_EQ(page.events.size(), 1U);
  EXPECT_EQ(page.events[0].id, id);
  EXPECT_EQ(page.events[0].node, NodeId("n1"));
  EXPECT_EQ(page.events[0].time, (HybridTime{now_, 0}));
  EXPECT_EQ(observed_, 1);
}

// There are more events than fit into one page, and the page is requested
// without an id. Reading from the start would return the oldest events, so that
// the operators' timeline ends minutes before the fault.
TEST_F(EventLogTest, ReadsTheNewestAndCountsTheRest) {
  for (const char* subject : {"a", "b", "c", "d"}) {
    Append(subject);
  }
  const EventPage page = log_.ReadNewest(2);
  ASSERT_EQ(page.events.size(), 2U);
  EXPECT_EQ(page.events[0].draft.subject, "c");
  EXPECT_EQ(page.events[1].draft.subject, "d");
  EXPECT_EQ(page.dropped, 2);
  EXPECT_EQ(page.next, page.events[1].id);
  EXPECT_TRUE(Read(page.next).events.empty());
}

TEST_F(EventLogTest, ReadsInPages) {
  Append("a");
  Append("b");
  const EventPage first = Read(EventId(), 1);
  const EventPage second = Read(first.next, kLargeLimit);
  ASSERT_EQ(second.events.size(), 1U);
  EXPECT_EQ(second.events[0].draft.subject, "b");
  const EventPage third = Read(second.next);
  EXPECT_TRUE(third.events.empty());
  EXPECT_EQ(third.next, second.next);
}

// The log is bounded: it drops events that a paused reader has not read. The
// reader must see the gap in the timeline.
TEST_F(EventLogTest, CountsDroppedEvents) {
  const EventId first = Append("a");
  for (int repeat = 0; repeat < 5; ++repeat) {
    Append("b");
  }
  EXPECT_EQ(log_.size(), kCapacity);
  EXPECT_EQ(log_.dropped(), 3);
  EXPECT_EQ(Read(first).dropped, 2);
  EXPECT_EQ(Read(first).events.size(), kCapacity);
  EXPECT_EQ(Read(EventId()).dropped, 3);
  EXPECT_EQ(Read(EventId("n1/4/5")).dropped, 0);
}

// A reader asks with an id of an earlier run, whose counter is higher than any
// of the new run because counters restart with each incarnation. It must still
// receive events.
TEST_F(EventLogTest, ReadsFromTheStartForAnIdOfAnEarlierRun) {
  Append("a");
  const EventPage page = Read(EventId("n1/3/900"));
  EXPECT_TRUE(page.restarted);
  EXPECT_EQ(page.events.size(), 1U);
  EXPECT_EQ(page.dropped, 0);
}

TEST_F(EventLogTest, RejectsMalformedAndForeignIds) {
  const auto kind = [this](const char* id) {
    return ErrorOf(log_.ReadSince(EventId(id), kLargeLimit)).kind;
  };
  EXPECT_EQ(kind("n2/4/1"), EventReadErrorKind::kOtherNode);
  for (const char* id : {"n1", "n1/4", "/4/1", "n1/4/", "n1/x/1", "n1/4/-1",
                         "n1/4/1x", "n1/4/99999999999999999999"}) {
    EXPECT_EQ(kind(id), EventReadErrorKind::kMalformedId) << id;
  }
  // Larger than any counter given out, yet well-formed.
  EXPECT_TRUE(Read(EventId("n1/4/9223372036854775807")).events.empty());
}

TEST_F(EventLogTest, WhyReturnsOnlyCausesAndEffects) {
  const EventId vm = Append("vm-1");
  const EventId group = Append("group-1", vm);
  Append("group-2", vm);
  std::vector<EventRelation> relations;
  const Explanation explanation = log_.Explain("group-1");
  for (const ExplainedEvent& explained : explanation.events) {
    relations.push_back(explained.relation);
  }
  // group-2 shares the cause but is neither cause nor effect of group-1.
  EXPECT_EQ(relations,
            (std::vector{EventRelation::kCause, EventRelation::kSubject}));
  EXPECT_EQ(log_.Explain("vm-1").events.size(), 3U);
  // The log drops the first event, which is then listed as a missing cause.
  Append("request-1", group);
  const Explanation later = log_.Explain("request-1");
  EXPECT_EQ(later.events.size(), 2U);
  EXPECT_EQ(later.missing_causes, std::vector{vm});
}

// Two corrupted events name each other as their cause. Without cycle detection,
// `gcwctl why` would not return.
TEST(ExplainSubjectTest, TerminatesWhenCausesFormACycle) {
  const auto event = [](const char* id, const char* subject,
                        const char* cause) {
    return TimelineEvent{
        EventId(id),
        {},
        NodeId("n"),
        {EventKind::kGroupClosed, subject, EventId(cause), {}}};
  };
  const Explanation explanation = ExplainSubject(
      {event("n/1/1", "a", "n/1/2"), event("n/1/2", "b", "n/1/1"),
       event("n/1/3", "c", "n/1/3")},
      "a");
  EXPECT_EQ(explanation.events.size(), 2U);
  EXPECT_TRUE(explanation.missing_causes.empty());
}

}  // namespace
}  // namespace gcw
