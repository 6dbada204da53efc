#include "transport/store_belief.h"

#include <gtest/gtest.h>

#include <vector>

namespace gcw {
namespace {

class StoreBeliefTest : public testing::Test {
 protected:
  void Observe(const StoreReply& reply, int times) {
    for (int i = 0; i < times; ++i) {
      observer_.Observe(reply);
    }
  }

  std::vector<StoreBelief> changes_;
  StoreBeliefObserver observer_{
      [this](StoreBelief belief) { changes_.push_back(belief); }};
};

TEST_F(StoreBeliefTest, DistinguishesServiceStates) {
  Observe(StoreWritten{}, 5);
  EXPECT_TRUE(changes_.empty());
  Observe(StoreNoAnswer{}, 50);
  Observe(StoreRefused{Duration::Millis(100)}, 50);
  Observe(StoreRefused{Duration::Seconds(5), StoreRefusal::kUnknownCall}, 50);
  Observe(StoreConflict{}, 50);
  EXPECT_EQ(changes_, (std::vector<StoreBelief>{
                          StoreBelief::kSilent, StoreBelief::kRefuses,
                          StoreBelief::kKnowsNoCall, StoreBelief::kAnswers}));
}

// Guards against a log line for each call if the service refuses every second
// call: a single answer is not yet a change of its state.
TEST_F(StoreBeliefTest, OccasionalRefusalsAreNoChange) {
  for (int i = 0; i < 100; ++i) {
    Observe(StoreRefused{}, 1);
    Observe(StoreWritten{}, 1);
  }
  EXPECT_TRUE(changes_.empty());
}

}  // namespace
}  // namespace gcw
