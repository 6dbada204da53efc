// Tests that the logs explain failures that callers report.

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "programs/gcwctl/event_context.h"
#include "programs/gcwctl/event_log_reader.h"
#include "tests/support/gateway_path.h"

namespace gcw {
namespace {

class GatewayExplainedTest : public GatewayPathTest {
 protected:
  // Returns all events that both nodes have logged so far.
  const std::vector<TimelineEvent>& ReadLogs() {
    std::vector<std::vector<TimelineEvent>> timelines = {std::move(events_)};
    for (const char* node : {"gw-1", "gw-2"}) {
      std::istringstream log(fleet_.TakeOutput(node));
      timelines.push_back(reader_.Read(log));
    }
    events_ = MergeTimelines(std::move(timelines));
    return events_;
  }

  bool HasLogged(EventKind kind) {
    const auto& events = ReadLogs();
    return std::any_of(
        events.begin(), events.end(),
        [&](const TimelineEvent& event) { return event.draft.kind == kind; });
  }

  // Returns the latest event of the kind; its subject is the request's id.
  const TimelineEvent& Newest(EventKind kind) {
    const auto found = std::find_if(
        events_.rbegin(), events_.rend(),
        [&](const TimelineEvent& event) { return event.draft.kind == kind; });
    return found == events_.rend() ? events_.front() : *found;
  }

  std::vector<EventKind> ContextOf(const std::string& subject) {
    std::vector<EventKind> kinds;
    for (const TimelineEvent& event :
         FindContext(events_, ExplainSubject(events_, subject), {})) {
      kinds.push_back(event.draft.kind);
    }
    return kinds;
  }

  static std::string Field(const TimelineEvent& event, std::string_view name) {
    for (const EventField& field : event.draft.fields) {
      const auto* text = std::get_if<std::string>(&field.value);
      if (field.name == name && text != nullptr) {
        return *text;
      }
    }
    return {};
  }

  static bool Contains(const std::vector<EventKind>& kinds, EventKind kind) {
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
  }

  void KillVms(int first, int count) {
    for (int vm = first; vm < first + count; ++vm) {
      Call(store_,
           {"POST", "/standin/kill?vm=vm-0-" + std::to_string(vm), {}, {}});
    }
  }

  TimelineDecoder decoder_;
  EventLogReader reader_{&decoder_};
  std::vector<TimelineEvent> events_;
};

// A request is refused while the only group of its model is being repaired. The
// request's event says that no endpoint was available; the group's events say
// why and for how long.
TEST_F(GatewayExplainedTest, ExplainsRefusalDuringRepair) {
  ASSERT_TRUE(ServesBothModels());
  KillVms(0, 2);
  ASSERT_TRUE(fleet_.WaitUntil(
      [this] { return SendRequest(first_.callers, "large").status == 503; }));
  ASSERT_TRUE(ServesBothModels());
  ASSERT_TRUE(fleet_.WaitUntil([this] {
    return HasLogged(EventKind::kGroupServing) &&
           HasLogged(EventKind::kRequestRefused);
  }));
  const TimelineEvent refused = Newest(EventKind::kRequestRefused);
  const std::string reason = Field(refused, "reason");
  EXPECT_TRUE(reason == "no_endpoint" || reason == "no_capacity") << reason;
  const auto context = ContextOf(refused.draft.subject);
  EXPECT_TRUE(Contains(context, EventKind::kGroupClosed));
  EXPECT_TRUE(Contains(context, EventKind::kGroupPlanned));
}

// All VMs of a model are lost while answers stream, so that the outcome of the
// requests is unknown. Their events name the VM.
TEST_F(GatewayExplainedTest, ExplainsUnknownOutcomeAfterVmLoss) {
  ASSERT_TRUE(ServesBothModels());
  std::vector<std::thread> callers;
  std::atomic<int> answered = 0;
  std::atomic<bool> stop = false;
  callers.reserve(4);
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([&] {
      while (!stop) {
        answered += SendRequest(first_.callers, "large").status == 200 ? 1 : 0;
      }
    });
  }
  // Ensures that streams are running, even if the callers start slowly.
  EXPECT_TRUE(fleet_.WaitUntil([&] { return answered >= 4; }));
  KillVms(0, 11);
  const bool logged = fleet_.WaitUntil(
      [this] { return HasLogged(EventKind::kRequestOutcomeUnknown); });
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  ASSERT_TRUE(logged);
  const TimelineEvent unknown = Newest(EventKind::kRequestOutcomeUnknown);
  EXPECT_FALSE(Field(unknown, "end").empty());
  const std::string vm = Field(unknown, "vm");
  EXPECT_TRUE(vm.starts_with("vm-0-")) << vm;
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    ReadLogs();
    const auto context = ContextOf(unknown.draft.subject);
    return Contains(context, EventKind::kVmLost) ||
           Contains(context, EventKind::kConnectionStalled) ||
           Contains(context, EventKind::kEndpointEjected);
  }));
}

// A key is added while the nodes cannot reach the store, so that requests with
// the key get 401 from an older configuration. The request's event gives its
// version; the events around it say when the store became unreachable and when
// the newer configuration was applied.
TEST_F(GatewayExplainedTest, ExplainsAnswerFromOlderConfiguration) {
  ASSERT_TRUE(ServesBothModels());
  SetFault("refuse", true);
  ASSERT_TRUE(fleet_.WaitUntil(
      [this] { return HasLogged(EventKind::kStoreUnreachable); }));
  Call(store_, {"POST", "/standin/configure?key=other-key", {}, {}});
  EXPECT_EQ(SendRequest(first_.callers, "safe", "other-key").status, 401);
  SetFault("refuse", false);
  ASSERT_TRUE(fleet_.WaitUntil([this] {
    return SendRequest(first_.callers, "safe", "other-key").status == 200;
  }));
  ASSERT_TRUE(fleet_.WaitUntil(
      [this] { return HasLogged(EventKind::kRequestRefused); }));
  const TimelineEvent refused = Newest(EventKind::kRequestRefused);
  EXPECT_EQ(Field(refused, "reason"), "unknown_key");
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    ReadLogs();
    const auto context = ContextOf(refused.draft.subject);
    return Contains(context, EventKind::kStoreUnreachable) &&
           Contains(context, EventKind::kConfigurationApplied);
  }));
}

}  // namespace
}  // namespace gcw
