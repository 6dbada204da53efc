#include <gtest/gtest.h>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Fingerprint kSuspect(1);

class CrashDetectorTest : public testing::Test {
 protected:
  void Break() {
    detector_.OnBroken(
        now_, {{vm_, Incarnation(1), ZoneId("z")}, Address("a"), kSuspect});
  }
  void Pass(Duration time) {
    now_ = now_ + time;
    detector_.Tick(now_);
  }
  void Reply(ProbeResult result) { detector_.OnCheckReply(now_, vm_, result); }

  const VmId vm_ = VmId("v");
  const CrashDetectorSettings settings_{};
  Time now_ = Time::FromMillis(1000000);
  CrashDetector detector_{settings_};
};

// Guards against a crash that is missed because the ending process still
// accepted the connection of the check.
TEST_F(CrashDetectorTest, ACheckThatOnlyConnectsIsRepeated) {
  Break();
  ASSERT_EQ(detector_.TakeChecks().size(), 1U);
  Reply(ProbeResult::kConnected);
  EXPECT_TRUE(detector_.TakeChecks().empty());
  Pass(settings_.check_interval);
  ASSERT_EQ(detector_.TakeChecks().size(), 1U);
  EXPECT_TRUE(detector_.TakeCrashes().empty());
  Reply(ProbeResult::kRefused);
  const auto crashes = detector_.TakeCrashes();
  ASSERT_EQ(crashes.size(), 1U);
  EXPECT_TRUE(crashes.front().suspects.contains(kSuspect));
}

// Guards against probes without end of an endpoint that resets connections.
TEST_F(CrashDetectorTest, AnEndpointThatResetsConnectionsIsCheckedAFewTimes) {
  Break();
  std::size_t checks = 0;
  for (int i = 0; i < 8; ++i) {
    checks += detector_.TakeChecks().size();
    Reply(ProbeResult::kConnected);
    Pass(settings_.check_interval);
  }
  EXPECT_EQ(checks, static_cast<std::size_t>(settings_.max_checks));
  EXPECT_TRUE(detector_.TakeCrashes().empty());
}

TEST_F(CrashDetectorTest, AnEndpointThatAnswersHasNotCrashed) {
  Break();
  Reply(ProbeResult::kAnswered);
  detector_.OnRegistration(now_, vm_, Incarnation(2));
  EXPECT_TRUE(detector_.TakeCrashes().empty());
}

}  // namespace
}  // namespace gcw
