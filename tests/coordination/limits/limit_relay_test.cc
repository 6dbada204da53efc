#include <gtest/gtest.h>

#include "tests/coordination/limits/limits_fleet.h"

namespace gcw {
namespace {

constexpr Duration kPeriod = LimitSettings().min_period;

class LimitRelayUnitTest : public testing::Test {
 protected:
  LimitRelayUnitTest() {
    topology_.OnView(
        now_, {{NodeId("relay"), ZoneId("z")}, {NodeId("leaf"), ZoneId("z")}});
    topology_.OnOwner(shard_, NodeId("owner"), FencingToken(1));
    limits_.Set(contract_, {10, 1000, 10});
  }

  static LimitSettings Settings() {
    LimitSettings settings;
    settings.shards = 1;
    settings.max_direct_nodes = 1;
    return settings;
  }

  LimitReport LeafReport(std::int64_t sequence) {
    return {.sender = {NodeId("leaf"), Incarnation(1)},
            .kind = LimitReporter::kNode,
            .shard = shard_,
            .sequence = LimitSequence(sequence),
            .sent_at = now_,
            .applied_sequence = LimitSequence(sequence - 1),
            .echo = {},
            .ceding_nodes = {},
            .cession_duration = {},
            .weight = 1,
            .demands = {{contract_, LimitVector::Uniform(1), 0}}};
  }
  void GrantToRelay(const LimitReport& report, double amount) {
    relay_.OnGrants(now_, NodeId("owner"),
                    {.shard = shard_,
                     .sequence = report.sequence,
                     .receiver_kind = LimitReporter::kRelay,
                     .receiver = Incarnation(2),
                     .fence = FencingToken(1),
                     .echo = {Incarnation(3), now_},
                     .report_sent_at = report.sent_at,
                     .lifetime = kPeriod * 4,
                     .grants = {{contract_, LimitVector::Uniform(amount)}}});
  }
  LimitReport NextReport() {
    now_ = now_ + kPeriod;
    return relay_.Tick(now_).at(0);
  }

  const LimitShard shard_{0};
  const ContractId contract_{"c"};
  Time now_ = Time::FromMillis(1000000);
  LimitTopology topology_{NodeId("relay"), ZoneId("z"), Settings()};
  ContractLimits limits_;
  LimitRelay relay_{&topology_, &limits_, {NodeId("relay"), Incarnation(2)}};
};

TEST_F(LimitRelayUnitTest, DoesNotAnswerWithoutValidGrants) {
  EXPECT_FALSE(relay_.OnReport(now_, LeafReport(1)));
  GrantToRelay(NextReport(), 0.8);
  EXPECT_TRUE(relay_.OnReport(now_, LeafReport(2)));
  now_ = now_ + kPeriod * 4;
  EXPECT_FALSE(relay_.OnReport(now_, LeafReport(3)));
}

// Guards against a sum of shares above the limit for one grant's lifetime after
// demand moved to another zone: a relay that has granted everything
// acknowledges a smaller grant before its nodes have applied it, and the owner
// grants the difference to the other zone.
TEST_F(LimitRelayUnitTest, AcknowledgesSmallerGrantAfterItsNodes) {
  relay_.OnReport(now_, LeafReport(1));
  GrantToRelay(NextReport(), 0.8);
  relay_.OnReport(now_, LeafReport(2));
  const LimitReport second = NextReport();
  EXPECT_EQ(second.applied_sequence, LimitSequence(1));
  GrantToRelay(second, 0.3);
  const LimitReport third = NextReport();
  EXPECT_EQ(third.applied_sequence, LimitSequence(1));
  GrantToRelay(third, 0.3);
  relay_.OnReport(now_, LeafReport(3));
  relay_.OnReport(now_, LeafReport(4));
  EXPECT_EQ(NextReport().applied_sequence, LimitSequence(3));
}

TEST(LimitRelayTest, SharesFollowDemandThroughRelays) {
  LimitSettings settings;
  settings.max_direct_nodes = 4;
  settings.max_nodes_per_relay = 3;
  LimitsFleet fleet(12, settings, TestContract("team", 80, 8000, 16), 5);
  fleet.AssignRole(0, Duration::Seconds(3600));
  fleet.RunWithCallers(Duration::Seconds(20), {7});
  EXPECT_GT(fleet.ShareOf(7)[LimitResource::kRequests], 0.98 * 80);
  EXPECT_LE(fleet.MaxSum(), 1 + 1e-6);
}

}  // namespace
}  // namespace gcw
