#include "coordination/routing/straggler_detector.h"

#include <gtest/gtest.h>

#include <vector>

namespace gcw {
namespace {

Time At(std::int64_t seconds) {
  return Time::FromMillis(seconds * 1000);
}

EndpointSlot Slot(std::int64_t slot) {
  return EndpointSlot(slot);
}

// Returns a detector with samples of ten peers, of which the first `slow` take
// four times as long as the rest.
StragglerDetector DetectorWithSlowPeers(std::int64_t slow) {
  StragglerDetector detector{StragglerSettings()};
  for (std::int64_t slot = 0; slot < 10; ++slot) {
    detector.Add(Slot(slot));
    for (int sample = 0; sample < 10; ++sample) {
      detector.OnSample(At(0), Slot(slot), slot < slow ? 120 : 30);
    }
  }
  return detector;
}

TEST(StragglerDetectorTest, EjectsEndpointSlowerThanItsPeers) {
  StragglerDetector detector = DetectorWithSlowPeers(1);
  EXPECT_EQ(detector.Tick(At(1)).size(), 1U);
  EXPECT_TRUE(detector.IsEjected(Slot(0)));
  EXPECT_FALSE(detector.IsEjected(Slot(1)));
}

// Guards against ejecting all endpoints if several of them become slow or a
// release slows most of them down.
TEST(StragglerDetectorTest, EjectedShareIsCapped) {
  StragglerDetector partly_slow = DetectorWithSlowPeers(4);
  partly_slow.Tick(At(1));
  EXPECT_EQ(partly_slow.ejected_count(), 2);
  StragglerDetector all_slow = DetectorWithSlowPeers(10);
  EXPECT_TRUE(all_slow.Tick(At(1)).empty());
}

TEST(StragglerDetectorTest, IsProbedAndRestored) {
  StragglerDetector detector = DetectorWithSlowPeers(1);
  detector.Tick(At(1));
  EXPECT_LT(detector.FindDueProbe(At(2)), Slot(0));
  EXPECT_EQ(detector.FindDueProbe(At(7)), Slot(0));
  detector.OnProbeSent(At(7), Slot(0));
  EXPECT_LT(detector.FindDueProbe(At(8)), Slot(0));
  detector.OnSample(At(9), Slot(0), 31);
  const auto actions = detector.Tick(At(9));
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StragglerRestored>(actions[0]));
  EXPECT_FALSE(detector.IsEjected(Slot(0)));
}

// Guards against a fixed probe interval, with which an endpoint that stays slow
// costs a slow answer every few seconds.
TEST(StragglerDetectorTest, SlowProbesIncreaseTheProbeDelay) {
  StragglerDetector detector = DetectorWithSlowPeers(1);
  detector.Tick(At(1));
  detector.OnProbeSent(At(7), Slot(0));
  detector.OnSample(At(9), Slot(0), 120);
  detector.Tick(At(9));
  EXPECT_LT(detector.FindDueProbe(At(15)), Slot(0));
  EXPECT_EQ(detector.FindDueProbe(At(20)), Slot(0));
}

// Guards against restoring an ejected endpoint without a probe because a
// request sent before the ejection ends after it.
TEST(StragglerDetectorTest, LateSamplesDoNotCountAsProbes) {
  StragglerDetector detector = DetectorWithSlowPeers(1);
  detector.Tick(At(1));
  detector.OnSample(At(2), Slot(0), 30);
  EXPECT_TRUE(detector.Tick(At(2)).empty());
  EXPECT_TRUE(detector.IsEjected(Slot(0)));
}

// Guards against an endpoint that stays ejected forever because the caller of
// its probe request cancelled it and the probe never brought a sample.
TEST(StragglerDetectorTest, LostProbeIsSentAgain) {
  StragglerDetector detector = DetectorWithSlowPeers(1);
  detector.Tick(At(1));
  detector.OnProbeSent(At(7), Slot(0));
  EXPECT_EQ(detector.FindDueProbe(At(18)), Slot(0));
}

}  // namespace
}  // namespace gcw
