#include <gtest/gtest.h>

#include "coordination/coordination.h"

namespace gcw {
namespace {

EngineProfile Profile() {
  EngineProfile profile;
  profile.loads_per_second = 4;
  profile.max_concurrent_loads = 8;
  return profile;
}

int BeginLoads(LoadPacer& pacer, Time now, int from, int to) {
  int begun = 0;
  for (int i = from; i < to; ++i) {
    begun += pacer.TryBegin(now, VmId("v" + std::to_string(i)),
                            Duration::Seconds(16))
                 ? 1
                 : 0;
  }
  return begun;
}

// Guards against groups that open only after the first requests came because
// loads before the first request were limited, although the weight store does
// not count them.
TEST(LoadPacerTest, DoesNotLimitLoadsBeforeTheFirstRequest) {
  LoadPacer pacer({});
  pacer.SetProfile(Profile());
  pacer.Tick(Time::FromMillis(1000));
  EXPECT_EQ(BeginLoads(pacer, Time::FromMillis(1000), 0, 60), 60);
}

TEST(LoadPacerTest, LimitsRateAndConcurrencyAfterTheFirstRequest) {
  LoadPacer pacer({});
  pacer.SetProfile(Profile());
  pacer.OnTraffic();
  int begun = 0;
  for (int tick = 0; tick < 50; ++tick) {
    const Time now = Time::FromMillis(1000 + tick * 100);
    pacer.Tick(now);
    begun += BeginLoads(pacer, now, begun, begun + 5);
  }
  // Three quarters of four loads a second would allow 15 loads in five seconds,
  // plus the burst, but only ten may run at once.
  EXPECT_EQ(begun, 10);
  pacer.End(VmId("v0"));
  const Time later = Time::FromMillis(7000);
  pacer.Tick(later);
  EXPECT_EQ(BeginLoads(pacer, later, 100, 110), 1);
}

// Guards against nodes that take over the loads in turn and each begin a burst
// of them, which the weight store then refuses.
TEST(LoadPacerTest, NodesThatTakeOverInTurnKeepTheRate) {
  EngineProfile profile = Profile();
  profile.loads_per_second = 0.5;
  int begun = 0;
  for (int turn = 0; turn < 10; ++turn) {
    LoadPacer pacer({});
    pacer.SetProfile(profile);
    pacer.OnTraffic();
    for (int tick = 0; tick < 40; ++tick) {
      const Time now = Time::FromMillis(1000 + turn * 4000 + tick * 100);
      pacer.Tick(now);
      begun += BeginLoads(pacer, now, begun, begun + 5);
    }
  }
  // Half a load a second allows 20 in 40 seconds.
  EXPECT_LE(begun, 20);
  EXPECT_GT(begun, 0);
}

}  // namespace
}  // namespace gcw
