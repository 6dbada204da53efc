#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/gateway_path.h"

namespace gcw {
namespace {

class GatewayLimitTest : public GatewayPathTest {
 protected:
  // Sums the field over all endpoints that name a limit.
  std::int64_t SumOfLimits(const char* field) {
    const auto limits = boost::json::parse(Get(store_, "/standin/limits").body);
    std::int64_t sum = 0;
    for (const auto& [vm, limit] : limits.as_object()) {
      sum += limit.at(field).as_int64();
    }
    return sum;
  }
};

// Guards against nodes that pass on what an endpoint says of its limit and go
// on sending it requests as before.
TEST_F(GatewayLimitTest, ProcessesTogetherKeepToNamedLimits) {
  ASSERT_TRUE(ServesBothModels());
  for (int i = 0; i < 11; ++i) {
    const std::string vm = "vm-0-" + std::to_string(i);
    Call(store_, {"POST", "/standin/limit?vm=" + vm + "&per_s=2.5", {}, {}});
  }
  std::vector<std::thread> callers;
  std::atomic<bool> stop = false;
  std::atomic<int> served = 0;
  std::atomic<int> wrong = 0;
  constexpr int kCallers = 4;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      while (!stop) {
        const HttpResponse answer =
            SendRequest(i % 2 == 0 ? first_.callers : second_.callers,
                        i < 2 ? "large" : "small");
        const bool is_refusal =
            answer.status == 503 && !answer.Header("Retry-After").empty();
        const bool is_whole =
            answer.status == 200 && answer.body == ExpectedStream();
        served += is_whole ? 1 : 0;
        wrong += is_whole || is_refusal ? 0 : 1;
      }
    });
  }
  const bool checked =
      fleet_.WaitUntil([this] { return SumOfLimits("checked") >= 12; });
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_TRUE(checked);
  EXPECT_EQ(SumOfLimits("excess"), 0);
  EXPECT_EQ(wrong, 0);
  EXPECT_GT(served, 0);
  EXPECT_NE(Get(first_.metrics, "/metrics").body.find("gcw_limited_endpoints"),
            std::string::npos);
}

}  // namespace
}  // namespace gcw
