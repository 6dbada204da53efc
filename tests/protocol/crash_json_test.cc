#include <gtest/gtest.h>

#include "protocol/protocol.h"

namespace gcw {
namespace {

TEST(CrashJsonTest, KeepsARecord) {
  CrashRecord record;
  record.crashes = {{VmId("a"), Incarnation(7)}, {VmId("b"), Incarnation()}};
  record.trials = 1;
  record.trial_is_open = true;
  record.trial_holder = 4503599627370495;
  record.failed_trials = 2;
  record.blocked_until = Time::FromMillis(1800000000000);
  const auto read = DecodeCrashRecord(EncodeCrashRecord(record));
  ASSERT_TRUE(IsOk(read));
  EXPECT_EQ(ValueOf(read), record);
}

TEST(CrashJsonTest, KeepsNotices) {
  CrashNotice crashed;
  crashed.fingerprint = Fingerprint(4503599627370495);
  crashed.crashes = {
      {{VmId("a"), Incarnation(7)},
       {CrashState::kConfirmed, Duration::Millis(40)}},
      {{VmId("b"), Incarnation(8)}, {CrashState::kUnconfirmed, Duration()}}};
  CrashNotice harmless;
  harmless.fingerprint = Fingerprint(1);
  harmless.crashes = {{{VmId("c"), Incarnation(9)},
                       {CrashState::kCleared, Duration::Seconds(3)}}};
  const auto read = DecodeCrashNotices(EncodeCrashNotices({crashed, harmless}));
  ASSERT_TRUE(IsOk(read));
  ASSERT_EQ(ValueOf(read).size(), 2U);
  const CrashNotice& first = ValueOf(read)[0];
  EXPECT_EQ(first.fingerprint, crashed.fingerprint);
  ASSERT_EQ(first.crashes.size(), 2U);
  const CrashReport& confirmed = first.crashes.at({VmId("a"), Incarnation(7)});
  EXPECT_EQ(confirmed.age, Duration::Millis(40));
  EXPECT_EQ(confirmed.state, CrashState::kConfirmed);
  EXPECT_EQ(first.crashes.at({VmId("b"), Incarnation(8)}).state,
            CrashState::kUnconfirmed);
  EXPECT_EQ(ValueOf(read)[1].crashes.begin()->second.state,
            CrashState::kCleared);
}

TEST(CrashJsonTest, KeepsMessagesAboutRunLocks) {
  RunLockClaim claim;
  claim.fingerprint = Fingerprint(4503599627370495);
  claim.node = Address("10.0.0.1:80");
  claim.number = RunLockClaimNumber(7);
  claim.wait = Duration::Millis(900);
  const auto read_claim = DecodeRunLockClaim(EncodeRunLockClaim(claim));
  ASSERT_TRUE(IsOk(read_claim));
  EXPECT_EQ(ValueOf(read_claim).fingerprint, claim.fingerprint);
  EXPECT_EQ(ValueOf(read_claim).node, claim.node);
  EXPECT_EQ(ValueOf(read_claim).number, claim.number);
  EXPECT_EQ(ValueOf(read_claim).wait, claim.wait);

  CrashNotice notice;
  notice.fingerprint = claim.fingerprint;
  notice.crashes = {
      {{VmId("a"), Incarnation(7)}, {CrashState::kUnconfirmed, Duration()}}};
  RunLockRelease release;
  release.fingerprint = claim.fingerprint;
  release.node = claim.node;
  release.number = claim.number;
  release.outcome = RunOutcome::kSuspected;
  release.notices = {notice};
  const auto read_release = DecodeRunLockRelease(EncodeRunLockRelease(release));
  ASSERT_TRUE(IsOk(read_release));
  EXPECT_EQ(ValueOf(read_release).number, claim.number);
  EXPECT_EQ(ValueOf(read_release).outcome, RunOutcome::kSuspected);
  EXPECT_EQ(ValueOf(read_release).notices.size(), 1U);

  const auto read_reply = DecodeRunLockReply(
      EncodeRunLockReply({RunLockAnswer::kSuspected, {notice}}));
  ASSERT_TRUE(IsOk(read_reply));
  EXPECT_EQ(ValueOf(read_reply).answer, RunLockAnswer::kSuspected);
  EXPECT_EQ(ValueOf(read_reply).notices.front().crashes.size(), 1U);
}

// Guards against a message of another program that blocks requests.
TEST(CrashJsonTest, RejectsMalformedMessages) {
  const std::string negative_age =
      R"({"requests":[{"fingerprint":1,"crashes":[{"vm":"a","incarnation":1,)"
      R"("age_ms":-5,"state":"confirmed"}]}]})";
  for (const std::string& text :
       {std::string(), std::string("{}"), std::string("[]"),
        std::string(R"({"requests":[{}]})"),
        std::string(R"({"requests":[{"fingerprint":-1,"crashes":[]}]})"),
        std::string(
            R"({"requests":[{"fingerprint":1,"crashes":[{"vm":"a"}]}]})"),
        negative_age}) {
    EXPECT_FALSE(IsOk(DecodeCrashNotices(text))) << text;
    EXPECT_FALSE(IsOk(DecodeCrashRecord(text))) << text;
  }
}

}  // namespace
}  // namespace gcw
