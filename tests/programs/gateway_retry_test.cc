#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <iterator>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/gateway_path.h"
#include "tests/support/retry_rule.h"

namespace gcw {
namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 240;
constexpr Duration kWindow = Duration::Seconds(4);
constexpr int kCallers = 6;

// Gateways that are killed and started while all endpoints reject requests.
class GatewayRetryTest : public GatewayPathTest {
 protected:
  // There are so many endpoints that a request can always be sent again.
  GatewayRetryTest() : GatewayPathTest({"--domains", "0", "--plain", "100"}) {}

  static std::string Settings() {
    return "[retries]\nratio = " + std::to_string(kRatio) +
           "\nslack = " + std::to_string(kSlack) +
           "\nwindow_ms = " + std::to_string(kWindow.millis()) + "\n";
  }

  void StartGateways() {
    for (const char* id : {"gw-1", "gw-2", "gw-3"}) {
      StartGateway(id);
    }
  }
  void StartGateway(const std::string& id) {
    const Address callers = fleet_.StartGateway(id, store_, Settings()).callers;
    const std::scoped_lock lock(mutex_);
    entries_[id] = callers;
  }
  bool AllGatewaysServe() {
    return fleet_.WaitUntil([this] {
      return std::all_of(
          entries_.begin(), entries_.end(), [this](const auto& entry) {
            return SendRequest(entry.second, "safe").status == 200;
          });
    });
  }
  void KillGateways() {
    for (const auto& [id, address] : entries_) {
      fleet_.Signal(id, SIGKILL);
    }
  }

  // Each caller sends one request after the other, to the gateways in turn.
  void StartCallers() {
    for (int i = 0; i < kCallers; ++i) {
      callers_.emplace_back([this, i] {
        for (int turn = i; !stop_; ++turn) {
          SendAsCaller(turn);
          std::this_thread::sleep_for(std::chrono::milliseconds(15));
        }
      });
    }
  }
  void SendAsCaller(int turn) {
    Address entry;
    {
      const std::scoped_lock lock(mutex_);
      entry = std::next(entries_.begin(),
                        turn % static_cast<std::ptrdiff_t>(entries_.size()))
                  ->second;
    }
    SendRequest(entry, "safe");
  }
  void StopCallers() {
    stop_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
  }

  // Judges what the endpoints have seen. A request that reached no endpoint
  // does not count, which makes the limit lower.
  RetryRule JudgeArrivals() {
    RetryRule rule(kRatio, kSlack, kWindow);
    const auto log =
        boost::json::parse(Get(store_, "/standin/arrival_log").body);
    std::set<std::string> seen;
    for (const auto& arrival : log.as_array()) {
      const Time time = Time::FromMillis(arrival.at(0).as_int64());
      const std::string attempt(arrival.at(1).as_string());
      if (seen.insert(attempt).second) {
        rule.OnRequest(time);
      }
      rule.OnArrival(time, std::stoll(attempt.substr(1)));
    }
    return rule;
  }

  std::mutex mutex_;
  std::map<std::string, Address> entries_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stop_ = false;
};

// Guards against processes that have their whole part of the slack again after
// each kill, and together send more repeats than the fleet may.
TEST_F(GatewayRetryTest, KilledProcessesTogetherKeepTheLimit) {
  StartGateways();
  ASSERT_TRUE(AllGatewaysServe());
  StartCallers();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  Call(store_, {"POST", "/standin/reject_on", {}, {}});
  for (int i = 0; i < 6; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    KillGateways();
    StartGateways();
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  StopCallers();
  const RetryRule rule = JudgeArrivals();
  EXPECT_EQ(rule.FirstViolation(), "");
  EXPECT_GT(rule.repeats(), 0);
}

}  // namespace
}  // namespace gcw
