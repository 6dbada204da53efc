#include "transport/store_health.h"

#include <gtest/gtest.h>

#include <vector>

namespace gcw {
namespace {

class StoreHealthTest : public testing::Test {
 protected:
  void Observe(const StoreReply& reply, int times) {
    for (int i = 0; i < times; ++i) {
      observer_.Observe(reply);
    }
  }

  std::vector<StoreHealth> changes_;
  StoreHealthMonitor observer_{
      [this](StoreHealth health) { changes_.push_back(health); }};
};

TEST_F(StoreHealthTest, DistinguishesServiceStates) {
  Observe(StoreWritten{}, 5);
  EXPECT_TRUE(changes_.empty());
  Observe(StoreNoAnswer{}, 50);
  Observe(StoreRefused{Duration::Millis(100)}, 50);
  Observe(StoreRefused{Duration::Seconds(5), StoreRefusal::kUnknownCall}, 50);
  Observe(StoreConflict{}, 50);
  EXPECT_EQ(changes_,
            (std::vector<StoreHealth>{
                StoreHealth::kUnreachable, StoreHealth::kRejectingCalls,
                StoreHealth::kIncompatible, StoreHealth::kAvailable}));
}

// Guards against a log line for each call if the service refuses every second
// call: a single answer is not yet a change of its state.
TEST_F(StoreHealthTest, OccasionalRefusalsAreNoChange) {
  for (int i = 0; i < 100; ++i) {
    Observe(StoreRefused{}, 1);
    Observe(StoreWritten{}, 1);
  }
  EXPECT_TRUE(changes_.empty());
}

}  // namespace
}  // namespace gcw
