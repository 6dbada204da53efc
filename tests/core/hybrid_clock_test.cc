#include "core/core.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace gcw {
namespace {

constexpr Time At(std::int64_t millis) {
  return Time::FromMillis(millis);
}

// Physical time goes back or stands still between two events. Equal or
// decreasing timestamps would put a node's events in the wrong order in the
// timeline.
TEST(HybridClockTest, NeverGoesBackWhenPhysicalTimeDoes) {
  HybridClock clock;
  const HybridTime first = clock.Tick(At(100));
  const HybridTime second = clock.Tick(At(90));
  EXPECT_EQ(second, (HybridTime{At(100), 1}));
  EXPECT_GT(second, first);
  EXPECT_EQ(clock.Tick(At(101)), (HybridTime{At(101), 0}));
}

TEST(HybridClockTest, ReceiptIsLaterThanSending) {
  HybridClock clock;
  const HybridTime sent{At(150), 7};
  const auto received = clock.Observe(At(100), sent);
  ASSERT_TRUE(IsOk(received));
  EXPECT_EQ(ValueOf(received), (HybridTime{At(150), 8}));
}

// A hybrid clock follows the greatest time that it receives. If one node's
// clock jumps ahead and it sends a message, healthy nodes would stamp their
// events minutes in the future.
TEST(HybridClockTest, RejectsAPeerFarAheadAndStaysUnchanged) {
  HybridClock clock(Duration::Millis(500));
  clock.Tick(At(100));
  const auto refused = clock.Observe(At(100), {At(601), 0});
  ASSERT_FALSE(IsOk(refused));
  EXPECT_EQ(ErrorOf(refused).kind, HybridTimeErrorKind::kTooFarAhead);
  EXPECT_EQ(ErrorOf(refused).ahead, Duration::Millis(501));
  EXPECT_EQ(clock.last(), (HybridTime{At(100), 0}));
  EXPECT_TRUE(IsOk(clock.Observe(At(100), {At(600), 0})));
}

TEST(HybridClockTest, RejectsALogicalCounterOutOfRange) {
  HybridClock clock;
  for (const std::int64_t logical : {std::int64_t{-1}, std::int64_t{1} << 62}) {
    const auto refused = clock.Observe(At(100), {At(100), logical});
    ASSERT_FALSE(IsOk(refused));
    EXPECT_EQ(ErrorOf(refused).kind, HybridTimeErrorKind::kLogicalOutOfRange);
  }
}

RC_GTEST_PROP(HybridClockTest, TimeOnlyIncreases, ()) {
  HybridClock clock;
  HybridTime last = clock.Tick(At(0));
  const auto steps = *rc::gen::container<std::vector<std::int64_t>>(
      rc::gen::inRange<std::int64_t>(0, 20000));
  for (const std::int64_t step : steps) {
    clock.Observe(At(step / 2), {At(step), step % 5});
    const HybridTime next = clock.Tick(At(step / 3));
    RC_ASSERT(next > last);
    last = next;
  }
}

}  // namespace
}  // namespace gcw
