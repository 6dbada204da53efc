#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "platform/platform.h"
#include "tests/support/process_fleet.h"

namespace gcw {
namespace {

constexpr Duration kCallLimit = Duration::Seconds(10);

// Real gateways before the stand-in of the users' platform.
class GatewayPathTest : public testing::Test {
 protected:
  GatewayPathTest() : client_(context_), thread_([this] { context_.run(); }) {
    store_ = fleet_.StartStandin("platform", {"platform", "--domains", "1"});
    first_ = fleet_.StartGateway("gw-1", store_);
    second_ = fleet_.StartGateway("gw-2", store_);
  }
  ~GatewayPathTest() override {
    work_.reset();
    context_.stop();
    thread_.join();
  }

  Result<HttpResponse, HttpFailure> Call(const Address& address,
                                         HttpRequest request) {
    HttpCallOptions options;
    options.deadline = kCallLimit;
    options.progress_timeout = kCallLimit;
    std::promise<Result<HttpResponse, HttpFailure>> answered;
    client_.Fetch(address, std::move(request), options,
                  [&](Result<HttpResponse, HttpFailure> answer) {
                    answered.set_value(std::move(answer));
                  });
    return answered.get_future().get();
  }

  HttpResponse Get(const Address& address, const std::string& target) {
    const auto answer = Call(address, {"GET", target, {}, {}});
    return IsOk(answer) ? ValueOf(answer) : HttpResponse{0, {}, {}};
  }

  HttpResponse Ask(const Address& address,
                   const std::string& route,
                   const std::string& key = "standin-key",
                   const std::string& body = "body") {
    const int request = ++last_request_;
    const auto answer =
        Call(address,
             {"POST",
              "/" + route + "/x",
              {{"Host", "models.example"},
               {std::string(kAttemptIdHeader), "q" + std::to_string(request)},
               {std::string(kModelHeader), route},
               {std::string(kTokensHeader), "100,120"},
               {std::string(kPatienceHeader), "8000"},
               {std::string(kAuthorizationHeader), "Bearer " + key}},
              body});
    return IsOk(answer) ? ValueOf(answer) : HttpResponse{0, {}, {}};
  }

  static std::string WholeStream() {
    std::string all;
    for (int i = 1; i <= 20; ++i) {
      all += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) +
             "\n\n";
    }
    return all;
  }

  bool ServesBothModels() {
    return fleet_.Until([this] {
      return Ask(first_.callers, "large").status == 200 &&
             Ask(second_.callers, "small").status == 200;
    });
  }

  std::int64_t RunsOf(const std::string& prefix) {
    const auto runs = boost::json::parse(Get(store_, "/standin/runs").body);
    std::int64_t total = 0;
    for (const auto& [vm, count] : runs.as_object()) {
      total += std::string_view(vm).starts_with(prefix) ? count.as_int64() : 0;
    }
    return total;
  }

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_ = boost::asio::make_work_guard(context_);
  HttpClient client_;
  std::thread thread_;
  ProcessFleet fleet_;
  Address store_;
  ProcessFleet::GatewayAddresses first_;
  ProcessFleet::GatewayAddresses second_;
  // Several callers ask at once in some tests.
  std::atomic<int> last_request_ = 0;
};

TEST_F(GatewayPathTest, FormsGroupsAndServesAllKindsOfRequest) {
  ASSERT_TRUE(ServesBothModels());
  const HttpResponse stream = Ask(first_.callers, "large");
  EXPECT_EQ(stream.body, WholeStream());
  EXPECT_TRUE(stream.Header(kProofHeader).starts_with("proof-vm-"));
  const HttpResponse safe = Ask(second_.callers, "safe");
  EXPECT_EQ(safe.status, 200);
  EXPECT_EQ(safe.body, "done: body");
  EXPECT_EQ(Ask(second_.callers, "once").status, 200);
  EXPECT_EQ(Ask(first_.callers, "none").status, 404);
  EXPECT_EQ(Ask(first_.callers, "once", "wrong").status, 401);
  EXPECT_EQ(Get(first_.readiness, "/readyz").status, 200);
  EXPECT_NE(Get(first_.metrics, "/metrics").body.find("gcw_requests_total"),
            std::string::npos);
  ASSERT_TRUE(fleet_.Until([this] {
    const std::string body = Get(first_.entries, "/resolve?zone=zone-1").body;
    return body.find(first_.callers.value()) != std::string::npos &&
           body.find(second_.callers.value()) != std::string::npos;
  }));
}

// Symptom: streams of a group end cut, and its requests hang. Sequence: a VM of
// the only large group dies without a word while streams run. Cause: a group
// that lost a VM stands still and says nothing.
TEST_F(GatewayPathTest, AGroupThatLostAVmIsRepairedAndServesAgain) {
  ASSERT_TRUE(ServesBothModels());
  std::vector<std::thread> callers;
  std::atomic<int> wrong = 0;
  std::atomic<bool> stop = false;
  callers.reserve(2);
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back([&] {
      while (!stop) {
        const HttpResponse answer = Ask(first_.callers, "small");
        // Whole, or plainly not: never a cut one that looks whole.
        wrong += answer.status == 200 && answer.body != WholeStream() ? 1 : 0;
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

// Symptom: a reservation runs twice. Sequence: the only process that may take
// it is killed while others are sent. Cause: a second send after a lost answer.
TEST_F(GatewayPathTest, WhatMayRunOnceRunsOnceForEachAnswer) {
  ASSERT_TRUE(ServesBothModels());
  int sent = 0;
  int answered = 0;
  for (int i = 0; i < 40; ++i) {
    if (i == 20) {
      Call(store_, {"POST", "/standin/kill?vm=desk-0", {}, {}});
    }
    ++sent;
    answered += Ask(first_.callers, "once").status == 200 ? 1 : 0;
  }
  EXPECT_GE(RunsOf("desk"), answered);
  EXPECT_LE(RunsOf("desk"), sent);
  EXPECT_GE(answered, 20);
}

// Symptom: nothing is served while the store is away. Cause: a node that treats
// what it last knew as nothing.
TEST_F(GatewayPathTest, ServesOnWhileTheStoreIsAway) {
  ASSERT_TRUE(ServesBothModels());
  Call(store_, {"POST", "/faults", {}, R"({"silent":true})"});
  std::this_thread::sleep_for(std::chrono::seconds(3));
  EXPECT_EQ(Ask(first_.callers, "large").status, 200);
  EXPECT_EQ(Ask(second_.callers, "once").status, 200);
  Call(store_, {"POST", "/faults", {}, R"({"silent":false})"});
  EXPECT_TRUE(ServesBothModels());
}

// Symptom: a request that operators allow no longer, or allow by now, is judged
// by other bounds than theirs. Sequence: they lower the bound of bodies, then
// raise it. Cause: the server's bounds were those of its start.
TEST_F(GatewayPathTest, CallersAreHeldToTheOperatorsLimits) {
  ASSERT_TRUE(ServesBothModels());
  const std::string body(5000, 'b');
  EXPECT_EQ(Ask(first_.callers, "safe", "standin-key", body).status, 200);
  Call(store_, {"POST", "/standin/configure?max_body_bytes=4999", {}, {}});
  EXPECT_TRUE(fleet_.Until([&] {
    return Ask(first_.callers, "safe", "standin-key", body).status == 413;
  }));
  EXPECT_EQ(Ask(first_.callers, "safe").status, 200);
  Call(store_, {"POST", "/standin/configure?max_body_bytes=5000", {}, {}});
  EXPECT_TRUE(fleet_.Until([&] {
    return Ask(first_.callers, "safe", "standin-key", body).status == 200;
  }));
}

// Symptom: the process ends by itself when its settings file changes. Cause:
// nothing handled SIGHUP.
TEST_F(GatewayPathTest, AReloadIsNoEnd) {
  ASSERT_TRUE(ServesBothModels());
  fleet_.Signal("gw-1", SIGHUP);
  fleet_.Signal("gw-1", SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_FALSE(fleet_.HasEnded("gw-1"));
  EXPECT_EQ(Ask(first_.callers, "large").status, 200);
}

// Symptom: callers lose answers when a node is stopped. Sequence: SIGTERM while
// callers still use the addresses that they keep. Cause: it ended at once.
TEST_F(GatewayPathTest, APlannedStopLeavesTheAddressesAndServesOnMeanwhile) {
  ASSERT_TRUE(ServesBothModels());
  fleet_.Signal("gw-1", SIGTERM);
  ASSERT_TRUE(fleet_.Until(
      [this] { return Get(first_.readiness, "/readyz").status == 503; }));
  const HttpResponse answer = Ask(first_.callers, "large");
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, WholeStream());
  ASSERT_TRUE(fleet_.Until([this] {
    return Get(second_.entries, "/resolve").body.find(first_.callers.value()) ==
           std::string::npos;
  }));
  EXPECT_TRUE(fleet_.Until([this] { return fleet_.HasEnded("gw-1"); }));
  EXPECT_EQ(Ask(second_.callers, "large").status, 200);
}

}  // namespace
}  // namespace gcw
