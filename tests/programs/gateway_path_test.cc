#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

#include "tests/support/gateway_path.h"

namespace gcw {
namespace {

TEST_F(GatewayPathTest, FormsGroupsAndServesAllKindsOfRequest) {
  ASSERT_TRUE(ServesBothModels());
  const HttpResponse stream = SendRequest(first_.callers, "large");
  EXPECT_EQ(stream.body, ExpectedStream());
  EXPECT_TRUE(stream.Header(kProofHeader).starts_with("proof-vm-"));
  const HttpResponse safe = SendRequest(second_.callers, "safe");
  EXPECT_EQ(safe.status, 200);
  EXPECT_EQ(safe.body, "done: body");
  EXPECT_EQ(SendRequest(second_.callers, "once").status, 200);
  EXPECT_EQ(SendRequest(first_.callers, "none").status, 404);
  EXPECT_EQ(SendRequest(first_.callers, "once", "wrong").status, 401);
  EXPECT_EQ(Get(first_.readiness, "/readyz").status, 200);
  EXPECT_NE(Get(first_.metrics, "/metrics").body.find("gcw_requests_total"),
            std::string::npos);
  ASSERT_TRUE(fleet_.WaitUntil([this] {
    const std::string body = Get(first_.entries, "/resolve?zone=zone-1").body;
    return body.find(first_.callers.value()) != std::string::npos &&
           body.find(second_.callers.value()) != std::string::npos;
  }));
}

// Guards against cut streams and hanging requests after a VM of the only large
// group is killed while streams run: a group that lost a VM stalls without
// reporting an error.
TEST_F(GatewayPathTest, RepairsGroupAfterVmLoss) {
  ASSERT_TRUE(ServesBothModels());
  std::vector<std::thread> callers;
  std::atomic<int> wrong = 0;
  std::atomic<bool> stop = false;
  callers.reserve(2);
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back([&] {
      while (!stop) {
        const HttpResponse answer = SendRequest(first_.callers, "small");
        // Complete, or recognizably incomplete.
        wrong +=
            answer.status == 200 && answer.body != ExpectedStream() ? 1 : 0;
      }
    });
  }
  Call(store_, {"POST", "/standin/kill?vm=vm-0-0", {}, {}});
  const bool serves = ServesBothModels();
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_TRUE(serves);
  EXPECT_EQ(wrong, 0);
}

// Guards against running a reservation twice by resending it after a lost
// answer. The only process that serves reservations is killed between sends.
TEST_F(GatewayPathTest, ReservationsRunAtMostOncePerSend) {
  ASSERT_TRUE(ServesBothModels());
  int sent = 0;
  int answered = 0;
  for (int i = 0; i < 40; ++i) {
    if (i == 20) {
      Call(store_, {"POST", "/standin/kill?vm=desk-0", {}, {}});
    }
    ++sent;
    answered += SendRequest(first_.callers, "once").status == 200 ? 1 : 0;
  }
  EXPECT_GE(CountRuns("desk"), answered);
  EXPECT_LE(CountRuns("desk"), sent);
  EXPECT_GE(answered, 20);
}

// Guards against a node that stops serving while the store is unreachable
// because it discards the last known configuration.
TEST_F(GatewayPathTest, ServesWhileStoreIsUnreachable) {
  ASSERT_TRUE(ServesBothModels());
  SetFault("silent", true);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  EXPECT_EQ(SendRequest(first_.callers, "large").status, 200);
  EXPECT_EQ(SendRequest(second_.callers, "once").status, 200);
  SetFault("silent", false);
  EXPECT_TRUE(ServesBothModels());
}

// Guards against a server that keeps the body limit of its start after
// operators lower and then raise it.
TEST_F(GatewayPathTest, AppliesChangedBodyLimit) {
  ASSERT_TRUE(ServesBothModels());
  const std::string body(5000, 'b');
  EXPECT_EQ(SendRequest(first_.callers, "safe", "standin-key", body).status,
            200);
  Call(store_, {"POST", "/standin/configure?max_body_bytes=4999", {}, {}});
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    return SendRequest(first_.callers, "safe", "standin-key", body).status ==
           413;
  }));
  EXPECT_EQ(SendRequest(first_.callers, "safe").status, 200);
  Call(store_, {"POST", "/standin/configure?max_body_bytes=5000", {}, {}});
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    return SendRequest(first_.callers, "safe", "standin-key", body).status ==
           200;
  }));
}

// Guards against a settings reload that ends the process because SIGHUP is not
// handled.
TEST_F(GatewayPathTest, SurvivesReload) {
  ASSERT_TRUE(ServesBothModels());
  fleet_.Signal("gw-1", SIGHUP);
  fleet_.Signal("gw-1", SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_FALSE(fleet_.HasEnded("gw-1"));
  EXPECT_EQ(SendRequest(first_.callers, "large").status, 200);
}

// Guards against lost answers after SIGTERM: callers still use the addresses
// that they have cached, so a node must not end at once.
TEST_F(GatewayPathTest, LeavesEntryListAndDrainsOnSigterm) {
  ASSERT_TRUE(ServesBothModels());
  fleet_.Signal("gw-1", SIGTERM);
  ASSERT_TRUE(fleet_.WaitUntil(
      [this] { return Get(first_.readiness, "/readyz").status == 503; }));
  const HttpResponse answer = SendRequest(first_.callers, "large");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, ExpectedStream());
  ASSERT_TRUE(fleet_.WaitUntil([this] {
    return Get(second_.entries, "/resolve").body.find(first_.callers.value()) ==
           std::string::npos;
  }));
  EXPECT_TRUE(fleet_.WaitUntil([this] { return fleet_.HasEnded("gw-1"); }));
  EXPECT_EQ(SendRequest(second_.callers, "large").status, 200);
}

}  // namespace
}  // namespace gcw
