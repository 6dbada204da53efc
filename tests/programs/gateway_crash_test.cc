#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <string>

#include "programs/gcwctl/event_log_reader.h"
#include "tests/support/gateway_path.h"

namespace gcw {
namespace {

class GatewayCrashTest : public GatewayPathTest {
 protected:
  static constexpr const char* kCrashing = "crashing";

  // Sends the crashing request through both nodes in turn until one knows it
  // and refuses it; returns whether one did.
  bool IsRefusedInTheEnd() {
    int sends = 0;
    return fleet_.WaitUntil([&] {
      const Address& node = ++sends % 2 == 0 ? first_.callers : second_.callers;
      return IsRefusedAsCrashing(node);
    });
  }

  bool IsRefusedAsCrashing(const Address& node) {
    const HttpResponse answer =
        SendRequest(node, "safe", "standin-key", kCrashing);
    return answer.status == 503 &&
           answer.body == RefusalMessage(RefusalKind::kFingerprintBlocked);
  }

  // Before a trial's result, the request is refused without a block, and one
  // whose trial is granted late runs only when it comes again.
  bool IsBlockedInTheEnd() {
    return fleet_.WaitUntil([&] {
      const bool is_refused = IsRefusedAsCrashing(first_.callers);
      const boost::json::array blocks = Blocks(first_.peers);
      return is_refused && blocks.size() == 1 &&
             blocks.front().as_object().at("blocked_ms").as_int64() > 0;
    });
  }

  boost::json::array Blocks(const Address& node) {
    return boost::json::parse(Get(node, "/v1/blocks").body)
        .as_object()
        .at("blocks")
        .as_array();
  }

  std::int64_t CountCrashes() {
    return boost::json::parse(Get(store_, "/standin/crashes").body)
        .as_object()
        .at("count")
        .as_int64();
  }
};

// Guards against processes that send a request that crashes endpoints to more
// of them each time it comes again.
TEST_F(GatewayCrashTest, ACrashingRequestIsRefusedByAllProcesses) {
  ASSERT_TRUE(ServesBothModels());
  Call(store_, {"POST", "/standin/crash_on?body=crashing", {}, {}});
  ASSERT_TRUE(IsRefusedInTheEnd());
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    return IsRefusedAsCrashing(first_.callers) &&
           IsRefusedAsCrashing(second_.callers);
  }));
  EXPECT_LE(CountCrashes(), 4);
  EXPECT_TRUE(fleet_.WaitUntil(
      [&] { return SendRequest(first_.callers, "safe").status == 200; }));
}

// Guards against a block that is lost with the processes that know of it.
TEST_F(GatewayCrashTest, ABlockOutlivesAllProcesses) {
  ASSERT_TRUE(ServesBothModels());
  Call(store_, {"POST", "/standin/crash_on?body=crashing", {}, {}});
  ASSERT_TRUE(IsRefusedInTheEnd());
  const std::int64_t crashes = CountCrashes();
  fleet_.Signal("gw-1", SIGKILL);
  fleet_.Signal("gw-2", SIGKILL);
  const ProcessFleet::GatewayAddresses third =
      fleet_.StartGateway("gw-3", store_);
  ASSERT_TRUE(fleet_.WaitUntil(
      [&] { return SendRequest(third.callers, "safe").status == 200; }));
  EXPECT_TRUE(IsRefusedAsCrashing(third.callers));
  EXPECT_EQ(CountCrashes(), crashes);
}

// Guards against a crashing request that is never blocked because the key-value
// service grants its trials when its callers are gone.
TEST_F(GatewayCrashTest, ASlowStoreBlocksACrashingRequest) {
  ASSERT_TRUE(ServesBothModels());
  SetFault("slow_ms", 400);
  Call(store_, {"POST", "/standin/crash_on?body=crashing", {}, {}});
  ASSERT_TRUE(IsRefusedInTheEnd());
  EXPECT_TRUE(IsBlockedInTheEnd());
  EXPECT_LE(CountCrashes(), 4);
}

// A caller asks why its request is refused, and operators allow it again.
TEST_F(GatewayCrashTest, ABlockIsExplainedAndLifted) {
  ASSERT_TRUE(ServesBothModels());
  Call(store_, {"POST", "/standin/crash_on?body=crashing", {}, {}});
  ASSERT_TRUE(IsRefusedInTheEnd());
  ASSERT_TRUE(IsBlockedInTheEnd());
  EXPECT_LE(CountCrashes(), 4);
  const boost::json::object block = Blocks(first_.peers).front().as_object();
  EXPECT_GT(block.at("blocked_ms").as_int64(), 500000);
  EXPECT_GE(block.at("crashed_vms").as_array().size(), 3U);
  const std::string fingerprint =
      std::to_string(block.at("fingerprint").as_int64());

  const std::string request = "q" + std::to_string(last_request_.load());
  TimelineDecoder decoder;
  EventLogReader reader(&decoder);
  std::istringstream log(fleet_.TakeOutput("gw-1"));
  const Explanation why = ExplainSubject(reader.Read(log), request);
  EXPECT_TRUE(std::any_of(
      why.events.begin(), why.events.end(), [&](const ExplainedEvent& event) {
        return event.event.draft.kind == EventKind::kFingerprintBlocked &&
               event.event.draft.subject == fingerprint;
      }));

  Call(store_, {"POST", "/standin/crash_off", {}, {}});
  const auto lifted =
      Call(second_.peers,
           {"POST", "/v1/blocks/lift?fingerprint=" + fingerprint, {}, {}});
  ASSERT_TRUE(IsOk(lifted));
  EXPECT_EQ(ValueOf(lifted).status, 200);
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    return SendRequest(first_.callers, "safe", "standin-key", kCrashing)
                   .status == 200 &&
           Blocks(first_.peers).empty() && Blocks(second_.peers).empty();
  }));
  const auto unknown =
      Call(second_.peers, {"POST", "/v1/blocks/lift?fingerprint=1", {}, {}});
  ASSERT_TRUE(IsOk(unknown));
  EXPECT_EQ(ValueOf(unknown).status, 404);
}

// Guards against processes that send new requests to one endpoint after the
// other under a part of their prompts that crashes endpoints.
TEST_F(GatewayCrashTest, APartOfNewRequestsIsRefusedByAllProcesses) {
  ASSERT_TRUE(ServesBothModels());
  Call(store_, {"POST", "/standin/crash_on?part=bad", {}, {}});
  int sends = 0;
  const auto is_refused = [&](const Address& node) {
    const std::string own = std::to_string(++sends);
    const HttpResponse answer = SendRequest(
        node, "small", "standin-key", "body " + own,
        "f" + std::to_string(sends % 2) + ":40,bad:7," + own + ":9");
    return answer.status == 503 &&
           answer.body == RefusalMessage(RefusalKind::kFingerprintBlocked);
  };
  const auto is_blocked_at = [&](const Address& node) {
    const boost::json::array blocks = Blocks(node);
    return std::any_of(blocks.begin(), blocks.end(), [](const auto& block) {
      return block.as_object().at("part").as_string() == "bad" &&
             block.as_object().at("blocked_ms").as_int64() > 0;
    });
  };
  ASSERT_TRUE(fleet_.WaitUntil([&] {
    is_refused(sends % 2 == 0 ? first_.callers : second_.callers);
    return is_blocked_at(first_.peers) && is_blocked_at(second_.peers);
  }));
  EXPECT_TRUE(is_refused(first_.callers));
  EXPECT_TRUE(is_refused(second_.callers));
  EXPECT_LE(CountCrashes(), 4);
  for (const char* parts : {"f0:40,1:9", "f1:40,1:9"}) {
    EXPECT_TRUE(fleet_.WaitUntil([&] {
      return SendRequest(first_.callers, "small", "standin-key", "body", parts)
                 .status == 200;
    })) << parts;
  }
}

}  // namespace
}  // namespace gcw
