#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "protocol/protocol.h"
#include "tests/protocol/generators.h"

namespace gcw {
namespace {

GroupMember AnyMember() {
  return {.vm = AnyId<VmId>(), .address = AnyId<Address>()};
}

CacheEvent AnyCacheEvent() {
  return {.sequence = AnyCount(),
          .kind = AnyOf({CacheEventKind::kStored, CacheEventKind::kEvicted}),
          .block = *rc::gen::arbitrary<std::uint64_t>()};
}

VmEntry AnyVm() {
  return {.id = AnyId<VmId>(),
          .state = AnyOf({VmState::kLive, VmState::kLeaving}),
          .purpose = AnyOf({VmPurpose::kModelEngine, VmPurpose::kPlainService}),
          .domain = AnyId<FabricDomainId>(),
          .zone = AnyId<ZoneId>(),
          .address = AnyId<Address>(),
          .accelerators = AnyCount(),
          .service = AnyId<ServiceId>()};
}

RC_GTEST_PROP(EngineJsonTest, OrdersRoundTrip, ()) {
  const EngineOrder order{
      .kind = AnyOf({EngineOrderKind::kLoad, EngineOrderKind::kLeave,
                     EngineOrderKind::kDrain}),
      .group = AnyId<GroupId>(),
      .model = AnyId<ModelId>(),
      .generation = AnyNumber<Generation>(),
      .members = AnyList(AnyMember),
      .fence = AnyNumber<FencingToken>(),
      .change = AnyId<ChangeId>()};
  const auto decoded = DecodeEngineOrder(EncodeEngineOrder(order));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == order);
}

RC_GTEST_PROP(EngineJsonTest, StatusesRoundTrip, ()) {
  const EngineStatus status{
      .vm = AnyId<VmId>(),
      .incarnation = AnyNumber<Incarnation>(),
      .group = AnyId<GroupId>(),
      .model = AnyId<ModelId>(),
      .generation = AnyNumber<Generation>(),
      .rank = AnyCount(),
      .state =
          AnyOf({EngineState::kIdle, EngineState::kLoading, EngineState::kReady,
                 EngineState::kDraining, EngineState::kFailed}),
      .fence = AnyNumber<FencingToken>(),
      .members_seen = AnyList(AnyId<VmId>),
      .active = AnyCount()};
  const auto decoded = DecodeEngineStatus(EncodeEngineStatus(status));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == status);
}

RC_GTEST_PROP(EngineJsonTest, CacheEventsRoundTrip, ()) {
  const CacheEventBatch batch{.first = AnyCount(),
                              .next = AnyCount(),
                              .events = AnyList(AnyCacheEvent)};
  const auto decoded = DecodeCacheEvents(EncodeCacheEvents(batch));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == batch);
}

RC_GTEST_PROP(EngineJsonTest, VmListsRoundTrip, ()) {
  const VmListSnapshot list{.as_of = Time::FromMillis(AnyCount()),
                            .vms = AnyList(AnyVm)};
  const auto decoded = DecodeVmList(EncodeVmList(list));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded).as_of == list.as_of);
  RC_ASSERT(ValueOf(decoded).vms == list.vms);
}

TEST(EngineJsonTest, OrderRepliesRoundTrip) {
  const EngineOrderReply replies[] = {EngineOrderAccepted{},
                                      EngineOrderStale{FencingToken(7)},
                                      EngineOrderBusy{GroupId("g")}};
  for (const EngineOrderReply& reply : replies) {
    const EngineOrderReplyMessage message = EncodeEngineOrderReply(reply);
    const auto decoded = DecodeEngineOrderReply(message.status, message.body);
    ASSERT_TRUE(IsOk(decoded));
    EXPECT_EQ(ValueOf(decoded), reply);
  }
  EXPECT_FALSE(IsOk(DecodeEngineOrderReply(500, "{}")));
  EXPECT_FALSE(IsOk(DecodeEngineOrderReply(409, R"({"error":"other"})")));
}

TEST(EngineJsonTest, ReadsPlatformLoadReport) {
  const std::string text =
      R"({"endpoint":"e","generation":2,"taken_at_ms":3,"queued_requests":4,)"
      R"("running_requests":5,"batch_limit":6,"queued_prompt_tokens":7,)"
      R"("cache_used":8,"cache_capacity":9})";
  const auto decoded = DecodeLoadReport(text);
  ASSERT_TRUE(IsOk(decoded));
  const LoadReport& report = ValueOf(decoded);
  EXPECT_EQ(report.endpoint, EndpointId("e"));
  EXPECT_EQ(report.taken_at, Time::FromMillis(3));
  EXPECT_EQ(report.running_requests, 5);
  EXPECT_EQ(report.queued_prompt_tokens, TokenCount(7));
  EXPECT_EQ(EncodeLoadReport(report), text);
}

TEST(EngineJsonTest, SmallMessagesRoundTrip) {
  EXPECT_EQ(ValueOf(DecodeCancel(EncodeCancel(AttemptId("a")))),
            AttemptId("a"));
  EXPECT_TRUE(ValueOf(DecodeCancelReply(EncodeCancelReply(true))));
  const WeightStoreStatus status{.bytes_per_second = 5, .queue_bytes = 6};
  EXPECT_EQ(ValueOf(DecodeWeightStoreStatus(EncodeWeightStoreStatus(status))),
            status);
}

TEST(EngineJsonTest, RejectsBlockThatIsNotAHash) {
  const auto decoded = DecodeCacheEvents(
      R"({"first":1,"next":2,"events":[{"sequence":1,"kind":"stored",)"
      R"("block":"12"}]})");
  ASSERT_FALSE(IsOk(decoded));
  EXPECT_EQ(ErrorOf(decoded),
            (CodecError{CodecErrorKind::kOutOfRange, "events.block"}));
}

}  // namespace
}  // namespace gcw
