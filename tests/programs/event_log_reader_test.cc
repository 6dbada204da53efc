#include "programs/gcwctl/event_log_reader.h"

#include <gtest/gtest.h>

#include <sstream>

#include "programs/gcwctl/event_context.h"

namespace gcw {
namespace {

std::string Line(const std::string& node,
                 const std::string& event,
                 std::int64_t time_ms,
                 const std::string& subject,
                 const std::string& more = "") {
  return R"({"time_ms":1,"node":")" + node +
         R"(","severity":"INFO","event":")" + event + R"(","fields":{)" + more +
         R"("id":")" + node + "/1/" + std::to_string(time_ms) +
         R"(","subject":")" + subject + R"(","cause":"","hybrid_time_ms":)" +
         std::to_string(time_ms) + R"(,"hybrid_logical":0}})" + "\n";
}

class EventLogReaderTest : public testing::Test {
 protected:
  std::vector<TimelineEvent> Read(const std::string& text) {
    std::istringstream in(text);
    return reader_.Read(in);
  }

  TimelineDecoder decoder_;
  EventLogReader reader_{&decoder_};
};

TEST_F(EventLogReaderTest, ReadsEventsAndCountsOtherLines) {
  const auto events =
      Read(Line("n1", "group_closed", 5, "g1", R"("reason":"stands_still",)") +
           R"({"time_ms":1,"node":"n1","event":"node_started","fields":{}})"
           "\n\n" +
           "12.5 n1 " + Line("n1", "vm_lost", 6, "v1") + "no JSON\n" +
           Line("n1", "no_such_event", 7, "x") + R"({"cut":)" + "\n");
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[0].draft.subject, "g1");
  EXPECT_EQ(events[0].time.physical, Time::FromMillis(5));
  EXPECT_EQ(events[1].draft.kind, EventKind::kVmLost);
  EXPECT_EQ(reader_.other_lines(), 1);
  EXPECT_EQ(reader_.malformed_lines(), 3);
}

// A refusal for lack of capacity names no group. Its context contains the group
// events of that time and no events of other requests.
TEST_F(EventLogReaderTest, CapacityRefusalIsExplainedByGroupEvents) {
  const auto events = Read(
      Line("n1", "group_closed", 1000, "old") +
      Line("n2", "group_closed", 50000, "g1", R"("reason":"member_silent",)") +
      Line("n2", "configuration_applied", 50500, "config") +
      Line("n1", "request_retried", 51000, "other", R"("vm":"v1",)") +
      Line("n1", "request_refused", 52000, "r", R"("reason":"no_endpoint",)") +
      Line("n2", "group_serving", 53000, "g2"));
  const auto context = FindContext(events, ExplainSubject(events, "r"), {});
  ASSERT_EQ(context.size(), 2U);
  EXPECT_EQ(context[0].draft.subject, "g1");
  EXPECT_EQ(context[1].draft.subject, "g2");
}

TEST_F(EventLogReaderTest, LostAnswerIsExplainedByVmEvents) {
  const auto events =
      Read(Line("n1", "connection_silent", 900, "v1", R"("group":"g1",)") +
           Line("n1", "connection_silent", 900, "v2", R"("group":"g2",)") +
           Line("n1", "request_retried", 1000, "r", R"("vm":"v1",)") +
           Line("n1", "request_outcome_unknown", 2000, "r") +
           Line("n2", "vm_lost", 2500, "v1"));
  const auto context = FindContext(events, ExplainSubject(events, "r"), {});
  ASSERT_EQ(context.size(), 2U);
  EXPECT_EQ(context[0].draft.kind, EventKind::kConnectionStalled);
  EXPECT_EQ(context[1].draft.kind, EventKind::kVmLost);
}

TEST_F(EventLogReaderTest, UnknownKeyIsExplainedByConfigurationEvents) {
  const auto events = Read(
      Line("n1", "store_unreachable", 900, "n1") +
      Line("n2", "configuration_applied", 1000, "config") +
      Line("n1", "request_refused", 2000, "r", R"("reason":"unknown_key",)") +
      Line("n1", "group_closed", 2001, "g"));
  EXPECT_EQ(FindContext(events, ExplainSubject(events, "r"), {}).size(), 2U);
  EXPECT_TRUE(FindContext(events, ExplainSubject(events, "none"), {}).empty());
}

}  // namespace
}  // namespace gcw
