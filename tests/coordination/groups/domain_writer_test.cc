#include <gtest/gtest.h>

#include <string>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(1000000);

// Encodes a record as its change id and its writer's fencing token.
DomainRecordCodec Codec() {
  return {[](const DomainRecord& record) {
            return record.change.value() + ":" +
                   std::to_string(record.writer_token.value());
          },
          [](std::string_view text) -> std::optional<DomainRecord> {
            const std::string all(text);
            const auto colon = all.find(':');
            DomainRecord record;
            record.domain = FabricDomainId("d");
            record.change = ChangeId(all.substr(0, colon));
            record.writer_token =
                FencingToken(std::stoll(all.substr(colon + 1)));
            return record;
          }};
}

class DomainWriterTest : public testing::Test {
 protected:
  DomainWriterTest()
      : writer_(FabricDomainId("d"), settings_, Codec(), DiscardEvents()) {
    writer_.Start(now_, FencingToken(5));
  }

  // Makes the call that is due.
  StoreCall SendDueCall() {
    std::optional<StoreCall> call = writer_.Tick(now_);
    EXPECT_TRUE(call.has_value());
    ++id_;
    writer_.OnCallSent(now_, id_);
    return *call;
  }

  void AnswerRead(const std::string& value, int revision, int at) {
    EXPECT_TRUE(std::holds_alternative<StoreRange>(SendDueCall()));
    writer_.OnReply(
        now_, id_,
        StoreRangeReply{
            Revision(at),
            {StoreEntry{"domain/d", value, Revision(revision), LeaseId()}}});
  }

  void AdvanceTime(Duration time) { now_ = now_ + time; }

  WriterSettings settings_;
  DomainWriter writer_;
  Time now_ = kStart;
  StoreCallId id_;
};

// Guards against treating a committed write as failed, so that its orders are
// never sent. The service writes, but its answer is lost; the writer must read
// the record back.
TEST_F(DomainWriterTest, ReadsBackAfterLostReply) {
  AnswerRead("a:4", 8, 9);
  EXPECT_FALSE(writer_.IsClaimed());
  ASSERT_TRUE(writer_.Propose(now_, writer_.record(), ChangeId("b")));
  EXPECT_EQ(std::get<StorePut>(SendDueCall()).expected, Revision(8));
  writer_.OnReply(now_, id_, StoreNoAnswer{});
  EXPECT_EQ(writer_.state(), WriterState::kReading);
  AdvanceTime(settings_.retry_interval);
  AnswerRead("b:5", 10, 10);
  EXPECT_EQ(writer_.state(), WriterState::kReady);
  EXPECT_TRUE(writer_.IsClaimed());
  EXPECT_EQ(writer_.record().change, ChangeId("b"));
}

// Guards against assigning members by an outdated record after the service was
// restored, or after a member that is behind answered a read. A revision lower
// than one already seen must not be believed.
TEST_F(DomainWriterTest, RejectsRevisionOlderThanSeen) {
  AnswerRead("a:4", 8, 20);
  ASSERT_TRUE(writer_.Propose(now_, writer_.record(), ChangeId("b")));
  SendDueCall();
  writer_.OnReply(now_, id_, StoreNoAnswer{});
  AdvanceTime(settings_.retry_interval);
  AnswerRead("old:3", 6, 19);
  EXPECT_EQ(writer_.state(), WriterState::kReading);
  EXPECT_EQ(writer_.record().change, ChangeId("a"));
}

// Guards against a committed write that a stale read hides from its writer.
TEST_F(DomainWriterTest, AWriteThatAReadDoesNotShowIsSettledByAnother) {
  AnswerRead("a:5", 8, 9);
  ASSERT_TRUE(writer_.IsClaimed());
  ASSERT_TRUE(writer_.Propose(now_, writer_.record(), ChangeId("b")));
  SendDueCall();
  AdvanceTime(settings_.call_timeout);
  AnswerRead("a:5", 8, 9);
  EXPECT_EQ(writer_.state(), WriterState::kReady);
  EXPECT_FALSE(writer_.IsClaimed());
  ASSERT_TRUE(writer_.Propose(now_, writer_.record(), ChangeId("c")));
  EXPECT_EQ(std::get<StorePut>(SendDueCall()).expected, Revision(8));
  writer_.OnReply(
      now_, id_,
      StoreConflict{StoreEntry{"domain/d", "b:5", Revision(10), LeaseId()}});
  EXPECT_TRUE(writer_.IsClaimed());
  EXPECT_EQ(writer_.record().change, ChangeId("b"));
}

TEST_F(DomainWriterTest, StopsWhenSuperseded) {
  AnswerRead("a:4", 8, 9);
  ASSERT_TRUE(writer_.Propose(now_, writer_.record(), ChangeId("b")));
  SendDueCall();
  writer_.OnReply(
      now_, id_,
      StoreConflict{StoreEntry{"domain/d", "c:6", Revision(11), LeaseId()}});
  EXPECT_EQ(writer_.state(), WriterState::kSuperseded);
  EXPECT_FALSE(writer_.Propose(now_, writer_.record(), ChangeId("d")));
}

}  // namespace
}  // namespace gcw
