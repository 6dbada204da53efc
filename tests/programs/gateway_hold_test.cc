#include <gtest/gtest.h>

#include <string>

#include "tests/support/gateway_path.h"

namespace gcw {
namespace {

class GatewayHoldTest : public GatewayPathTest {
 protected:
  std::int64_t CountArrivals(const std::string& vm) {
    const auto arrivals =
        boost::json::parse(Get(store_, "/standin/arrivals").body);
    return arrivals.as_object().at(vm).as_int64();
  }

  // Sends requests through one node and returns how many were served.
  int SendSafeRequests(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      served += SendRequest(first_.callers, "safe").status == 200 ? 1 : 0;
    }
    return served;
  }
};

// Guards against a process that goes on sending requests to an endpoint that
// refused one and asked for a pause.
TEST_F(GatewayHoldTest, AnEndpointThatAsksForAPauseIsLeftAlone) {
  ASSERT_TRUE(ServesBothModels());
  ASSERT_TRUE(MayRetrySafeRequests(2));
  const std::int64_t before = CountArrivals("desk-0");
  Call(store_, {"POST", "/standin/cooldown?vm=desk-0&ms=600000", {}, {}});
  EXPECT_EQ(SendSafeRequests(60), 60);
  EXPECT_LE(CountArrivals("desk-0") - before, 2);
}

// Guards against a process that goes on sending requests to an endpoint that
// says it is about to stop.
TEST_F(GatewayHoldTest, AnEndpointThatSaysItLeavesIsLeftAlone) {
  ASSERT_TRUE(ServesBothModels());
  Call(store_, {"POST", "/standin/leaving?vm=desk-0", {}, {}});
  EXPECT_EQ(SendSafeRequests(60), 60);
  EXPECT_LE(CountArrivals("desk-0"), 2);
}

}  // namespace
}  // namespace gcw
