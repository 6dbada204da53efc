#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "protocol/protocol.h"
#include "tests/protocol/generators.h"

namespace gcw {
namespace {

StoreEntry AnyEntry() {
  return {.key = AnyText(),
          .value = AnyText(),
          .revision = AnyNumber<Revision>(),
          .lease = AnyNumber<LeaseId>()};
}

StoreDeletion AnyDeletion() {
  return {.key = AnyText(), .revision = AnyNumber<Revision>()};
}

Duration AnyDuration() {
  return Duration::Millis(AnyCount());
}

StoreCall AnyCall() {
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      return StoreRange{AnyText()};
    case 1:
      return StorePut{AnyText(), AnyText(), AnyNumber<Revision>(),
                      AnyNumber<LeaseId>()};
    case 2:
      return StoreDelete{AnyText(), AnyNumber<Revision>()};
    case 3:
      return StoreLeaseGrant{AnyDuration()};
    case 4:
      return StoreLeaseKeepAlive{AnyNumber<LeaseId>()};
    case 5:
      return StoreLeaseRevoke{AnyNumber<LeaseId>()};
    default:
      return StoreWatch{AnyText(), AnyNumber<Revision>(), AnyDuration()};
  }
}

struct Exchange {
  StoreCall call;
  StoreReply reply;
};

Exchange AnyExchange() {
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return {StoreRange{},
              StoreRangeReply{AnyNumber<Revision>(), AnyList(AnyEntry)}};
    case 1:
      return {StorePut{}, StoreWritten{AnyNumber<Revision>()}};
    case 2:
      return {StorePut{}, StoreConflict{AnyEntry()}};
    case 3:
      return {StoreDelete{}, StoreConflict{}};
    case 4:
      return {StoreLeaseGrant{},
              StoreLeaseReply{AnyNumber<LeaseId>(), AnyDuration()}};
    case 5:
      return {StoreLeaseKeepAlive{}, StoreLeaseUnknown{}};
    case 6:
      return {StoreRange{}, StoreRefused{AnyDuration()}};
    default:
      return {
          StoreWatch{},
          StoreWatchReply{AnyNumber<Revision>(), AnyList(AnyEntry),
                          AnyList(AnyDeletion), *rc::gen::arbitrary<bool>()}};
  }
}

RC_GTEST_PROP(StoreJsonTest, CallsRoundTrip, ()) {
  const StoreCallMessage message = EncodeStoreCall(AnyCall());
  const auto decoded = DecodeStoreCall(message.path, message.body);
  RC_ASSERT(IsOk(decoded));
  const StoreCallMessage reencoded = EncodeStoreCall(ValueOf(decoded));
  RC_ASSERT(reencoded.path == message.path);
  RC_ASSERT(reencoded.body == message.body);
}

RC_GTEST_PROP(StoreJsonTest, RepliesRoundTrip, ()) {
  const Exchange exchange = AnyExchange();
  const StoreReplyMessage message = EncodeStoreReply(exchange.reply);
  const auto decoded =
      DecodeStoreReply(exchange.call, message.status, message.body);
  // A time to live of zero stands for a revoked lease.
  RC_PRE(!(std::holds_alternative<StoreLeaseGrant>(exchange.call) &&
           message.body == "{}"));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded).index() == exchange.reply.index());
  const StoreReplyMessage reencoded = EncodeStoreReply(ValueOf(decoded));
  RC_ASSERT(reencoded.status == message.status);
  RC_ASSERT(reencoded.body == message.body);
}

// The texts are those of docs/PLATFORM.md, so that a field that both the
// encoder and the decoder leave out shows.
TEST(StoreJsonTest, ReadsPlatformText) {
  const auto put = DecodeStoreCall(
      "/kv/put", R"({"key":"k","value":"v","expected":3,"lease":4})");
  ASSERT_TRUE(IsOk(put));
  const auto& call = std::get<StorePut>(ValueOf(put));
  EXPECT_EQ(call.key, "k");
  EXPECT_EQ(call.value, "v");
  EXPECT_EQ(call.expected, Revision(3));
  EXPECT_EQ(call.lease, LeaseId(4));

  const auto reply = DecodeStoreReply(
      StoreWatch{}, 200,
      R"({"revision":9,"changed":[{"key":"a","value":"b","revision":8,)"
      R"("lease":0}],"deleted":[{"key":"c","revision":9}],"compacted":false})");
  ASSERT_TRUE(IsOk(reply));
  const auto& watch = std::get<StoreWatchReply>(ValueOf(reply));
  EXPECT_EQ(watch.revision, Revision(9));
  EXPECT_EQ(watch.changed.at(0).value, "b");
  EXPECT_EQ(watch.deleted.at(0).key, "c");
}

TEST(StoreJsonTest, RejectsMalformedCalls) {
  const auto kind = [](std::string_view path, std::string_view body) {
    const auto decoded = DecodeStoreCall(path, body);
    return IsOk(decoded) ? "accepted"
                         : CodecErrorKindName(ErrorOf(decoded).kind);
  };
  EXPECT_EQ(kind("/kv/other", "{}"), "unknown_message");
  EXPECT_EQ(kind("/kv/delete", R"({"key":"k"})"), "missing");
  EXPECT_EQ(kind("/kv/delete", R"({"key":"k","expected":-1})"), "out_of_range");
  EXPECT_EQ(kind("/kv/delete", R"({"key":"k","expected":1.5})"), "wrong_type");
  EXPECT_EQ(
      kind("/kv/delete", R"({"key":"k","expected":18446744073709551615})"),
      "out_of_range");
  EXPECT_EQ(kind("/kv/range", R"({"prefix":"a")"), "syntax");
}

TEST(StoreJsonTest, DecodesOutageAsNoAnswer) {
  const auto reply = DecodeStoreReply(StorePut{}, 503, "not JSON");
  ASSERT_TRUE(IsOk(reply));
  EXPECT_TRUE(std::holds_alternative<StoreNoAnswer>(ValueOf(reply)));
}

// Guards against endless calls to a service that does not know the call,
// because its 404 was read as an expired lease.
TEST(StoreJsonTest, UnknownCallIsNotAnExpiredLease) {
  const auto is_unknown_call = [](const StoreCall& call, int status,
                                  std::string_view body) {
    const auto reply = DecodeStoreReply(call, status, body);
    const auto* refused =
        IsOk(reply) ? std::get_if<StoreRefused>(&ValueOf(reply)) : nullptr;
    return refused != nullptr &&
           refused->reason == StoreRefusal::kUnknownCall &&
           refused->retry_after == kUnknownStoreCallRetryDelay;
  };
  EXPECT_TRUE(is_unknown_call(StoreLeaseGrant{}, 404, ""));
  EXPECT_TRUE(
      is_unknown_call(StoreLeaseGrant{}, 404, R"({"error":"lease_unknown"})"));
  EXPECT_TRUE(is_unknown_call(StoreLeaseKeepAlive{}, 404, "<html>"));
  EXPECT_TRUE(is_unknown_call(StoreRange{}, 405, "{}"));
  EXPECT_TRUE(is_unknown_call(StoreRange{}, 501, "{}"));
  EXPECT_FALSE(is_unknown_call(StoreLeaseKeepAlive{}, 404,
                               R"({"error":"lease_unknown"})"));
}

TEST(StoreJsonTest, RejectsRepliesWithMissingFields) {
  EXPECT_FALSE(IsOk(DecodeStoreReply(StorePut{}, 200, "{}")));
  EXPECT_FALSE(IsOk(DecodeStoreReply(StorePut{}, 409, "{}")));
}

}  // namespace
}  // namespace gcw
