#include <gtest/gtest.h>

#include <optional>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr FleetShareSettings kSettings = {
    .settle_time = Duration::Seconds(3),
    .max_view_age = Duration::Seconds(9),
    .count_memory = Duration::Seconds(20)};

class FleetShareTest : public testing::Test {
 protected:
  // Runs for the time with a view that shows this.
  void Run(Duration time, std::size_t nodes, bool is_listed = true) {
    for (const Time end = now_ + time; now_ < end;
         now_ = now_ + Duration::Millis(100)) {
      share_.Update(now_, nodes, is_listed,
                    is_view_frozen_ ? frozen_at_ : now_);
    }
  }
  void FreezeView() {
    is_view_frozen_ = true;
    frozen_at_ = now_;
  }

  FleetShare share_{kSettings};
  Time now_ = Time::FromMillis(1000000);
  bool is_view_frozen_ = false;
  Time frozen_at_;
};

// Guards against a node that uses a part before the others know of it.
TEST_F(FleetShareTest, ANewNodeHasNoPartUntilOthersSeeIt) {
  Run(Duration::Millis(2900), 9);
  EXPECT_EQ(share_.Parts(now_), std::nullopt);
  Run(Duration::Millis(300), 9);
  EXPECT_EQ(share_.Parts(now_), 9U);
}

// Guards against parts that grow while those that are no longer seen go on.
TEST_F(FleetShareTest, NodesCountForLongAfterTheyAreLost) {
  Run(Duration::Seconds(5), 9);
  Run(Duration::Seconds(18), 1);
  EXPECT_EQ(share_.Parts(now_), 9U);
  Run(Duration::Seconds(4), 1);
  EXPECT_EQ(share_.Parts(now_), 1U);
}

TEST_F(FleetShareTest, AddedNodesCountAtOnce) {
  Run(Duration::Seconds(5), 9);
  Run(Duration::Millis(100), 18);
  EXPECT_EQ(share_.Parts(now_), 18U);
}

// Guards against a node whose lease has lapsed and that callers still reach.
TEST_F(FleetShareTest, ANodeThatIsNotListedHasNoPart) {
  Run(Duration::Seconds(5), 9);
  Run(Duration::Millis(100), 8, false);
  EXPECT_EQ(share_.Parts(now_), std::nullopt);
  Run(Duration::Millis(2900), 9);
  EXPECT_EQ(share_.Parts(now_), std::nullopt);
}

// Guards against a node that does not learn that the others have given it up.
TEST_F(FleetShareTest, ANodeWithAnOldViewHasNoPart) {
  Run(Duration::Seconds(5), 9);
  FreezeView();
  Run(Duration::Seconds(8), 9);
  EXPECT_EQ(share_.Parts(now_), 9U);
  Run(Duration::Seconds(2), 9);
  EXPECT_EQ(share_.Parts(now_), std::nullopt);
}

// Guards against a process that wakes up and spends before its first update.
TEST_F(FleetShareTest, AProcessThatStoodStillHasNoPart) {
  Run(Duration::Seconds(5), 9);
  EXPECT_EQ(share_.Parts(now_ + Duration::Seconds(10)), std::nullopt);
}

}  // namespace
}  // namespace gcw
