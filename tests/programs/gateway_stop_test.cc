#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <exception>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/endpoint_proxies.h"
#include "tests/support/gateway_path.h"
#include "tests/support/scripted_endpoints.h"

namespace gcw {
namespace {

using std::chrono::milliseconds;

constexpr Duration kGrace = Duration::Seconds(3);

// A gateway that is stopped while callers use their connections until it is
// gone, before endpoints that take a given time for each request.
class GatewayStopTest : public GatewayPathTest {
 protected:
  GatewayStopTest() : GatewayPathTest({"--domains", "0", "--plain", "0"}) {
    first_ = fleet_.StartGateway("gw-1", store_, StopSettings(kGrace));
    entry_ = first_.callers;
  }
  ~GatewayStopTest() override {
    fleet_.Signal("gw-1", SIGKILL);
    fleet_.Signal("gw-2", SIGKILL);
    for (std::thread& caller : callers_) {
      caller.join();
    }
  }

  static std::string StopSettings(Duration grace) {
    return "[stop]\ngrace_ms = " + std::to_string(grace.millis()) + "\n";
  }

  void AddEndpoints(milliseconds work) {
    for (int i = 0; i < 3; ++i) {
      endpoints_.Add([this, work](RawPeer& peer, int) {
        for (std::string head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const std::string id = HeaderIn(head, kAttemptIdHeader);
          if (!id.empty()) {
            const std::lock_guard lock(mutex_);
            runs_.insert(id);
          }
          std::this_thread::sleep_for(id.empty() ? milliseconds(0) : work);
          peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" +
                    std::string(kAttemptIdHeader) + ": " + id + "\r\n" +
                    std::string(kProofHeader) + ": s\r\n\r\nok");
        }
      });
    }
    endpoints_.Register();
  }

  // Sends requests on one connection after the other until the gateway accepts
  // none, `pipelined` requests at a time.
  void StartCaller(const std::string& route, int pipelined) {
    callers_.emplace_back([this, route, pipelined] {
      try {
        while (true) {
          RawPeer peer(PortOf(entry_));
          while (SendSome(peer, route, pipelined)) {
          }
        }
      } catch (const std::exception&) {
        // The gateway is gone.
      }
    });
  }

  // Returns whether the connection may be used again.
  bool SendSome(RawPeer& peer, const std::string& route, int count) {
    std::vector<std::string> ids;
    std::string requests;
    for (int i = 0; i < count; ++i) {
      ids.push_back("s" + std::to_string(++last_request_));
      requests += "POST /" + route + "/x HTTP/1.1\r\nHost: models.example\r\n" +
                  std::string(kAttemptIdHeader) + ": " + ids.back() + "\r\n" +
                  std::string(kPatienceHeader) + ": 8000\r\n" +
                  "Authorization: Bearer standin-key\r\n"
                  "Content-Length: 4\r\n\r\nsabc";
    }
    return peer.Send(requests) &&
           std::all_of(ids.begin(), ids.end(), [&](const std::string& id) {
             return ReadAnswer(peer, id);
           });
  }

  // Returns whether the connection may be used again.
  bool ReadAnswer(RawPeer& peer, const std::string& id) {
    const std::string head = peer.ReadHead();
    if (!head.ends_with("\r\n\r\n")) {
      return false;
    }
    const std::string length = HeaderIn(head, "Content-Length");
    const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
    const bool is_whole = peer.ReadExactly(bytes).size() == bytes;
    if (is_whole) {
      const std::lock_guard lock(mutex_);
      answers_[id] = std::stoi(head.substr(head.find(' ') + 1));
    }
    return is_whole && head.find("Connection: close") == std::string::npos;
  }

  // Stops the gateway under load and checks what the callers have seen.
  // `meanwhile` is called again and again until the gateway has ended.
  void ExpectAnAnswerForEachRun(
      milliseconds work,
      int pipelined = 1,
      const std::function<void()>& meanwhile = [] {}) {
    AddEndpoints(work);
    ASSERT_TRUE(fleet_.WaitUntil(
        [this] { return SendRequest(entry_, "safe").status == 200; }));
    StopUnderLoad("gw-1", pipelined, meanwhile);
  }

  void StopUnderLoad(const std::string& gateway,
                     int pipelined,
                     const std::function<void()>& meanwhile) {
    for (int i = 0; i < 4; ++i) {
      StartCaller("safe", pipelined);
      StartCaller("once", pipelined);
    }
    std::this_thread::sleep_for(milliseconds(1000));
    fleet_.Signal(gateway, SIGTERM);
    ASSERT_TRUE(fleet_.WaitUntil([&] {
      meanwhile();
      return fleet_.HasEnded(gateway);
    }));
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
    const std::lock_guard lock(mutex_);
    int unanswered = 0;
    int refused_runs = 0;
    for (const std::string& id : runs_) {
      const auto answer = answers_.find(id);
      unanswered += id.starts_with('s') && answer == answers_.end() ? 1 : 0;
      refused_runs += answer != answers_.end() && answer->second == 503 ? 1 : 0;
    }
    EXPECT_EQ(unanswered, 0);
    EXPECT_EQ(refused_runs, 0);
    EXPECT_FALSE(answers_.empty());
  }

  // The gateway that is stopped.
  Address entry_;
  std::mutex mutex_;
  std::set<std::string> runs_;
  // The status of each whole answer.
  std::map<std::string, int> answers_;
  std::vector<std::thread> callers_;
  ScriptedEndpoints endpoints_{
      [this](HttpRequest request) { return Call(store_, std::move(request)); }};
};

// Guards against requests that run and get no answer because the gateway takes
// them too late in a planned stop.
TEST_F(GatewayStopTest, ShortRunsAreAnsweredInAPlannedStop) {
  ExpectAnAnswerForEachRun(milliseconds(100));
}
TEST_F(GatewayStopTest, RunsOfAThirdOfTheGraceAreAnsweredInAPlannedStop) {
  ExpectAnAnswerForEachRun(milliseconds(1000));
}
TEST_F(GatewayStopTest, RunsOfMostOfTheGraceAreAnsweredInAPlannedStop) {
  ExpectAnAnswerForEachRun(milliseconds(2200));
}
TEST_F(GatewayStopTest, RunsLongerThanTheGraceAreAnsweredInAPlannedStop) {
  ExpectAnAnswerForEachRun(milliseconds(5000));
}
TEST_F(GatewayStopTest, PipelinedRequestsAreAnsweredInAPlannedStop) {
  ExpectAnAnswerForEachRun(milliseconds(700), 3);
}

// Guards against reloads and further signals that end a planned stop early.
TEST_F(GatewayStopTest, RunsAreAnsweredBesideReloadsAndASecondStop) {
  ExpectAnAnswerForEachRun(milliseconds(1000), 1, [this] {
    fleet_.Signal("gw-1", SIGHUP);
    fleet_.Signal("gw-1", SIGTERM);
  });
}

// Guards against runs without an answer after the grace period has become
// shorter: the platform applies the one in the settings file.
TEST_F(GatewayStopTest, TheGracePeriodInTheSettingsFileCounts) {
  first_ = fleet_.StartGateway("gw-1", store_, StopSettings(kGrace * 100));
  entry_ = first_.callers;
  fleet_.ChangeSettings("gw-1", StopSettings(kGrace * 100),
                        StopSettings(kGrace));
  ExpectAnAnswerForEachRun(milliseconds(5000));
  EXPECT_NE(fleet_.TakeOutput("gw-1").find("open_requests_ended"),
            std::string::npos);
}

// A gateway that is stopped while it passes all requests on to other nodes,
// since it has lost its paths to the endpoints.
class GatewayRelayStopTest : public GatewayStopTest {
 protected:
  GatewayRelayStopTest() : proxies_(context_, store_) {
    entry_ = fleet_
                 .StartGateway("gw-3", proxies_.store_address(),
                               StopSettings(kGrace))
                 .callers;
  }
  ~GatewayRelayStopTest() override { fleet_.Signal("gw-3", SIGKILL); }

  EndpointProxies proxies_;
};

TEST_F(GatewayRelayStopTest, RelayedRunsAreAnsweredInAPlannedStop) {
  AddEndpoints(milliseconds(700));
  const auto is_served = [this] {
    return SendRequest(first_.callers, "safe").status == 200 &&
           SendRequest(second_.callers, "safe").status == 200 &&
           SendRequest(entry_, "safe").status == 200;
  };
  ASSERT_TRUE(fleet_.WaitUntil(is_served));
  proxies_.Cut();
  ASSERT_TRUE(fleet_.WaitUntil(is_served));
  StopUnderLoad("gw-3", 1, [] {});
}

// Gateways before the stand-in's model groups.
class GatewayStreamStopTest : public GatewayPathTest {};

// Guards against streams that are cut, or run for callers who never hear of
// them, in a planned stop.
TEST_F(GatewayStreamStopTest, StreamsAreWholeInAPlannedStop) {
  ASSERT_TRUE(ServesBothModels());
  const std::int64_t runs = CountRuns("vm-");
  std::atomic<int> whole = 0;
  std::atomic<int> cut = 0;
  const auto send = [&](RawPeer& peer) {
    peer.Send("POST /large/x HTTP/1.1\r\nHost: models.example\r\n" +
              std::string(kAttemptIdHeader) + ": s" +
              std::to_string(++last_request_) + "\r\n" +
              std::string(kModelHeader) + ": large\r\n" +
              std::string(kTokensHeader) + ": 100,120\r\n" +
              std::string(kPatienceHeader) + ": 8000\r\n" +
              "Authorization: Bearer standin-key\r\n"
              "Content-Length: 4\r\n\r\nbody");
    const std::string head = peer.ReadHead();
    if (!head.starts_with("HTTP/1.1 200 ")) {
      return false;
    }
    const bool is_whole =
        peer.ReadUntil("\r\n0\r\n\r\n").ends_with("0\r\n\r\n");
    ++(is_whole ? whole : cut);
    return is_whole && head.find("Connection: close") == std::string::npos;
  };
  constexpr int kCallers = 8;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      try {
        while (true) {
          RawPeer peer(PortOf(first_.callers));
          while (send(peer)) {
          }
        }
      } catch (const std::exception&) {
        // The gateway is gone.
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(1000));
  fleet_.Signal("gw-1", SIGTERM);
  EXPECT_TRUE(fleet_.WaitUntil([this] { return fleet_.HasEnded("gw-1"); }));
  fleet_.Signal("gw-1", SIGKILL);
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_GT(whole, 0);
  EXPECT_EQ(cut, 0);
  EXPECT_EQ(CountRuns("vm-") - runs, whole);
}

}  // namespace
}  // namespace gcw
