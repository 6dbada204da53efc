#include <gtest/gtest.h>

#include "protocol/protocol.h"

namespace gcw {
namespace {

// Guards against a node that is cut off from the key-value service and loses
// all endpoints: it asks a peer for its copy, and a single value that is not
// text, written by another program, made the whole snapshot unreadable.
TEST(MirrorJsonTest, KeepsAllEntriesIfAValueIsNotUtf8) {
  MirrorSnapshot snapshot;
  snapshot.revision = Revision(7);
  snapshot.entries = {{"vm/1", "\xff\xfe", Revision(5), LeaseId()},
                      {"vm/2", "{}", Revision(6), LeaseId()}};
  const auto read = DecodeMirrorSnapshot(EncodeMirrorSnapshot(snapshot));
  ASSERT_TRUE(IsOk(read));
  ASSERT_EQ(ValueOf(read).entries.size(), 2U);
  EXPECT_EQ(ValueOf(read).entries[0].value, "\xff\xfe");
  EXPECT_EQ(ValueOf(read).entries[1].value, "{}");
}

TEST(MirrorJsonTest, ChangesRoundTrip) {
  const MirrorChanges changes{Revision(9),
                              {{"vm/1", "\xff{}", Revision(8), LeaseId(3)}},
                              {{"vm/2", Revision(9)}},
                              Duration::Millis(40),
                              Duration::Millis(900)};
  const auto read = DecodeMirrorChanges(EncodeMirrorChanges(changes));
  ASSERT_TRUE(IsOk(read));
  EXPECT_EQ(ValueOf(read).revision, changes.revision);
  ASSERT_EQ(ValueOf(read).changed.size(), 1U);
  EXPECT_EQ(ValueOf(read).changed[0].value, "\xff{}");
  EXPECT_EQ(ValueOf(read).changed[0].lease, LeaseId(3));
  ASSERT_EQ(ValueOf(read).deleted.size(), 1U);
  EXPECT_EQ(ValueOf(read).deleted[0].key, "vm/2");
  EXPECT_EQ(ValueOf(read).deleted[0].revision, Revision(9));
  EXPECT_EQ(ValueOf(read).age, changes.age);
  EXPECT_EQ(ValueOf(read).expiry_grace_left, changes.expiry_grace_left);
}

// Guards against a copy that loses entries or goes back in time, because fields
// that are missing or negative in the reply of a broken node or another version
// were read as zero.
TEST(MirrorJsonTest, RejectsMissingOrNegativeAge) {
  EXPECT_FALSE(IsOk(DecodeMirrorChanges(
      R"({"revision":9,"changed":[],"deleted":[],"lapse_left_ms":0})")));
  EXPECT_FALSE(IsOk(DecodeMirrorChanges(
      R"({"revision":9,"changed":[],"deleted":[],"age_ms":-1,)"
      R"("lapse_left_ms":0})")));
}

TEST(LimitNoticeJsonTest, KeepsALimitAndItsEnd) {
  LimitNotice notice;
  notice.endpoint = {VmId("vm-1"), Incarnation(7), ZoneId("z")};
  notice.rate = RequestRate::PerSecond(2.7);
  notice.age = Duration::Millis(40);
  for (const bool in_force : {true, false}) {
    if (!in_force) {
      notice.rate.reset();
    }
    const auto decoded = DecodeLimitNotice(EncodeLimitNotice(notice));
    ASSERT_TRUE(IsOk(decoded));
    EXPECT_EQ(ValueOf(decoded).endpoint.vm, notice.endpoint.vm);
    EXPECT_EQ(ValueOf(decoded).endpoint.incarnation, Incarnation(7));
    EXPECT_EQ(ValueOf(decoded).endpoint.zone, ZoneId("z"));
    EXPECT_EQ(ValueOf(decoded).rate, notice.rate);
    EXPECT_EQ(ValueOf(decoded).age, notice.age);
  }
}

TEST(LimitNoticeJsonTest, RejectsMalformedNotices) {
  for (
      const char* text :
      {"", "{}", R"({"vm":"a","incarnation":1,"zone":"z"})",
       R"({"vm":"a","incarnation":1,"zone":"z","age_ms":1,"limit_per_s":-1})",
       R"({"vm":"a","incarnation":1,"zone":"z","age_ms":1,"limit_per_s":"x"})"}) {
    EXPECT_FALSE(IsOk(DecodeLimitNotice(text))) << text;
  }
}

}  // namespace
}  // namespace gcw
