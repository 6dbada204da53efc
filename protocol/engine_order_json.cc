#include "protocol/engine_order_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;

enum class OrderRefusal { kStaleFence, kBusy };

constexpr ChoiceNames<OrderRefusal, 2> kRefusals{{
    {OrderRefusal::kStaleFence, "stale_fence"},
    {OrderRefusal::kBusy, "busy"},
}};

constexpr ChoiceNames<EngineOrderKind, 3> kKinds{{
    {EngineOrderKind::kLoad, "load"},
    {EngineOrderKind::kLeave, "leave"},
    {EngineOrderKind::kDrain, "drain"},
}};

boost::json::array MembersToJson(const std::vector<GroupMember>& members) {
  boost::json::array array;
  for (const GroupMember& member : members) {
    array.push_back(boost::json::object{{"vm", ToJson(member.vm)},
                                        {"address", ToJson(member.address)}});
  }
  return array;
}

GroupMember ReadMember(JsonReader& reader) {
  return {.vm = reader.TextId<VmId>("vm"),
          .address = reader.TextId<Address>("address")};
}

EngineOrderReply ReadRefusal(JsonReader& reader) {
  switch (reader.Enum("error", kRefusals)) {
    case OrderRefusal::kStaleFence:
      return EngineOrderStale{.seen = reader.CountOf<FencingToken>("seen")};
    case OrderRefusal::kBusy:
      return EngineOrderBusy{.group = reader.TextId<GroupId>("group")};
  }
  return EngineOrderAccepted{};
}

EngineOrderReply ReadAccepted(JsonReader&) {
  return EngineOrderAccepted{};
}

EngineOrderReplyMessage MakeMessage(int status,
                                    const boost::json::object& body) {
  return {.status = status, .body = boost::json::serialize(body)};
}

}  // namespace

std::string EncodeEngineOrder(const EngineOrder& order) {
  return boost::json::serialize(
      boost::json::object{{"order", ChoiceToJson(order.kind, kKinds)},
                          {"group", ToJson(order.group)},
                          {"model", ToJson(order.model)},
                          {"generation", ToJson(order.generation)},
                          {"members", MembersToJson(order.members)},
                          {"fence", ToJson(order.fence)},
                          {"change", ToJson(order.change)}});
}

Decoded<EngineOrder> DecodeEngineOrder(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    EngineOrder order;
    order.kind = reader.Enum("order", kKinds);
    order.group = reader.TextId<GroupId>("group");
    order.model = reader.TextId<ModelId>("model");
    order.generation = reader.CountOf<Generation>("generation");
    order.members = reader.List("members", ReadMember);
    order.fence = reader.CountOf<FencingToken>("fence");
    order.change = reader.TextId<ChangeId>("change");
    return order;
  });
}

EngineOrderReplyMessage EncodeEngineOrderReply(const EngineOrderReply& reply) {
  return std::visit(
      Overloaded{
          [](const EngineOrderAccepted&) { return MakeMessage(kOk, {}); },
          [](const EngineOrderStale& stale) {
            return MakeMessage(kConflict, {{"error", "stale_fence"},
                                           {"seen", ToJson(stale.seen)}});
          },
          [](const EngineOrderBusy& busy) {
            return MakeMessage(
                kConflict, {{"error", "busy"}, {"group", ToJson(busy.group)}});
          }},
      reply);
}

Decoded<EngineOrderReply> DecodeEngineOrderReply(int status,
                                                 std::string_view body) {
  if (status == kOk) {
    return DecodeJson(body, ReadAccepted);
  }
  if (status == kConflict) {
    return DecodeJson(body, ReadRefusal);
  }
  return CodecError{CodecErrorKind::kUnknownMessage, "status"};
}

}  // namespace gcw
