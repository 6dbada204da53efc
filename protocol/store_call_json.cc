#include "protocol/json_reader.h"
#include "protocol/json_writer.h"
#include "protocol/store_json.h"

namespace gcw {
namespace {

constexpr std::string_view kRangePath = "/kv/range";
constexpr std::string_view kPutPath = "/kv/put";
constexpr std::string_view kDeletePath = "/kv/delete";
constexpr std::string_view kGrantPath = "/lease/grant";
constexpr std::string_view kKeepAlivePath = "/lease/keepalive";
constexpr std::string_view kRevokePath = "/lease/revoke";
constexpr std::string_view kWatchPath = "/kv/watch";

std::string_view StoreCallPath(const StoreCall& call) {
  return std::visit(
      Overloaded{[](const StoreRange&) { return kRangePath; },
                 [](const StorePut&) { return kPutPath; },
                 [](const StoreDelete&) { return kDeletePath; },
                 [](const StoreLeaseGrant&) { return kGrantPath; },
                 [](const StoreLeaseKeepAlive&) { return kKeepAlivePath; },
                 [](const StoreLeaseRevoke&) { return kRevokePath; },
                 [](const StoreWatch&) { return kWatchPath; }},
      call);
}

boost::json::object ToJson(const StoreRange& call) {
  return {{"prefix", call.prefix}};
}

boost::json::object ToJson(const StorePut& call) {
  return {{"key", call.key},
          {"value", call.value},
          {"expected", call.expected.value()},
          {"lease", call.lease.value()}};
}

boost::json::object ToJson(const StoreDelete& call) {
  return {{"key", call.key}, {"expected", call.expected.value()}};
}

boost::json::object ToJson(const StoreLeaseGrant& call) {
  return {{"ttl_ms", call.time_to_live.millis()}};
}

boost::json::object ToJson(const StoreLeaseKeepAlive& call) {
  return {{"lease", call.lease.value()}};
}

boost::json::object ToJson(const StoreLeaseRevoke& call) {
  return {{"lease", call.lease.value()}};
}

boost::json::object ToJson(const StoreWatch& call) {
  return {{"prefix", call.prefix},
          {"after", call.after.value()},
          {"wait_ms", call.wait.millis()}};
}

StoreCall ReadRange(JsonReader& reader) {
  return StoreRange{.prefix = reader.String("prefix")};
}

StoreCall ReadPut(JsonReader& reader) {
  return StorePut{.key = reader.String("key"),
                  .value = reader.String("value"),
                  .expected = reader.CountOf<Revision>("expected"),
                  .lease = reader.CountOf<LeaseId>("lease")};
}

StoreCall ReadDelete(JsonReader& reader) {
  return StoreDelete{.key = reader.String("key"),
                     .expected = reader.CountOf<Revision>("expected")};
}

StoreCall ReadGrant(JsonReader& reader) {
  return StoreLeaseGrant{.time_to_live = reader.DurationMillis("ttl_ms")};
}

StoreCall ReadKeepAlive(JsonReader& reader) {
  return StoreLeaseKeepAlive{.lease = reader.CountOf<LeaseId>("lease")};
}

StoreCall ReadRevoke(JsonReader& reader) {
  return StoreLeaseRevoke{.lease = reader.CountOf<LeaseId>("lease")};
}

StoreCall ReadWatch(JsonReader& reader) {
  return StoreWatch{.prefix = reader.String("prefix"),
                    .after = reader.CountOf<Revision>("after"),
                    .wait = reader.DurationMillis("wait_ms")};
}

struct CallReader {
  std::string_view path;
  StoreCall (*read)(JsonReader&);
};

constexpr CallReader kReaders[] = {
    {kRangePath, ReadRange},   {kPutPath, ReadPut},
    {kDeletePath, ReadDelete}, {kGrantPath, ReadGrant},
    {kRevokePath, ReadRevoke}, {kKeepAlivePath, ReadKeepAlive},
    {kWatchPath, ReadWatch},
};

}  // namespace

StoreCallMessage EncodeStoreCall(const StoreCall& call) {
  boost::json::object body =
      std::visit([](const auto& typed) { return ToJson(typed); }, call);
  return {.path = StoreCallPath(call), .body = boost::json::serialize(body)};
}

Decoded<StoreCall> DecodeStoreCall(std::string_view path,
                                   std::string_view body) {
  for (const CallReader& candidate : kReaders) {
    if (candidate.path == path) {
      return DecodeJson(body, candidate.read);
    }
  }
  return CodecError{CodecErrorKind::kUnknownMessage, std::string(path)};
}

bool IsStoreWrite(const StoreCall& call) {
  return !std::holds_alternative<StoreRange>(call) &&
         !std::holds_alternative<StoreWatch>(call);
}

}  // namespace gcw
