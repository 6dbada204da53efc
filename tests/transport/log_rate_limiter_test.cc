#include "transport/log_rate_limiter.h"

#include <gtest/gtest.h>

#include <map>

namespace gcw {
namespace {

TimelineEvent Event(std::int64_t millis, EventKind kind) {
  TimelineEvent event;
  event.time.physical = Time::FromMillis(millis);
  event.draft.kind = kind;
  return event;
}

// Guards against losing the one refusal that would explain a complaint because
// thousands of requests succeed in the same second: each log class has its own
// limit.
TEST(LogRateLimiterTest, SuccessesDoNotUseTheBudgetOfOtherClasses) {
  std::map<EventKind, int> written;
  std::map<LogClass, std::int64_t> dropped;
  LogRateLimiter log_limiter(
      {2, 3, 5},
      [&](const TimelineEvent& event) { ++written[event.draft.kind]; },
      [&](LogClass log_class, std::int64_t lines) {
        dropped[log_class] += lines;
      });
  for (int i = 0; i < 100; ++i) {
    log_limiter.Write(Event(1000 + i, EventKind::kRequestFinished));
  }
  for (int i = 0; i < 10; ++i) {
    log_limiter.Write(Event(1500, EventKind::kRequestRefused));
    log_limiter.Write(Event(1500, EventKind::kGroupClosed));
  }
  EXPECT_EQ(written[EventKind::kRequestFinished], 5);
  EXPECT_EQ(written[EventKind::kRequestRefused], 3);
  EXPECT_EQ(written[EventKind::kGroupClosed], 2);
  EXPECT_TRUE(dropped.empty());
  // The next second reports the lines left out and starts with a new budget.
  log_limiter.Write(Event(2000, EventKind::kRequestRefused));
  EXPECT_EQ(dropped[LogClass::kRequestProgress], 95);
  EXPECT_EQ(dropped[LogClass::kRequestFailure], 7);
  EXPECT_EQ(dropped[LogClass::kStateChange], 8);
  EXPECT_EQ(written[EventKind::kRequestRefused], 4);
  EXPECT_EQ(log_limiter.dropped(), 110);
}

}  // namespace
}  // namespace gcw
