#include "protocol/json_reader.h"
#include "protocol/json_writer.h"
#include "protocol/store_json.h"

namespace gcw {
namespace {

constexpr int kOk = 200;
constexpr int kLeaseUnknown = 404;
constexpr int kConflict = 409;
constexpr int kBusy = 429;
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;
constexpr int kNotImplemented = 501;
constexpr std::string_view kLeaseUnknownError = "lease_unknown";

boost::json::value ToJson(const StoreEntry& entry) {
  return boost::json::object{{"key", entry.key},
                             {"value", entry.value},
                             {"revision", entry.revision.value()},
                             {"lease", entry.lease.value()}};
}

boost::json::value ToJson(const StoreDeletion& deletion) {
  return boost::json::object{{"key", deletion.key},
                             {"revision", deletion.revision.value()}};
}

StoreEntry ReadEntry(JsonReader& reader) {
  return {.key = reader.String("key"),
          .value = reader.String("value"),
          .revision = reader.CountOf<Revision>("revision"),
          .lease = reader.CountOf<LeaseId>("lease")};
}

StoreDeletion ReadDeletion(JsonReader& reader) {
  return {.key = reader.String("key"),
          .revision = reader.CountOf<Revision>("revision")};
}

template <typename Items>
boost::json::array EntriesToJson(const Items& items) {
  boost::json::array array;
  for (const auto& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

StoreReplyMessage MakeMessage(int status, const boost::json::object& body) {
  return {.status = status, .body = boost::json::serialize(body)};
}

StoreReplyMessage Encode(const StoreRangeReply& reply) {
  return MakeMessage(kOk, {{"revision", reply.revision.value()},
                           {"entries", EntriesToJson(reply.entries)}});
}

StoreReplyMessage Encode(const StoreWritten& reply) {
  return MakeMessage(kOk, {{"revision", reply.revision.value()}});
}

StoreReplyMessage Encode(const StoreConflict& reply) {
  return MakeMessage(
      kConflict,
      {{"current", reply.current ? ToJson(*reply.current) : nullptr}});
}

StoreReplyMessage Encode(const StoreLeaseReply& reply) {
  if (reply.time_to_live == Duration()) {
    return MakeMessage(kOk, {});
  }
  return MakeMessage(kOk, {{"lease", reply.lease.value()},
                           {"ttl_ms", reply.time_to_live.millis()}});
}

StoreReplyMessage Encode(const StoreLeaseUnknown&) {
  return MakeMessage(kLeaseUnknown, {{"error", kLeaseUnknownError}});
}

StoreReplyMessage Encode(const StoreWatchReply& reply) {
  return MakeMessage(kOk, {{"revision", reply.revision.value()},
                           {"changed", EntriesToJson(reply.changed)},
                           {"deleted", EntriesToJson(reply.deleted)},
                           {"compacted", reply.compacted}});
}

StoreReplyMessage Encode(const StoreNoAnswer&) {
  return MakeMessage(kUnavailable, {{"error", "unavailable"}});
}

StoreReplyMessage Encode(const StoreRefused& reply) {
  return MakeMessage(kBusy, {{"retry_after_ms", reply.retry_after.millis()}});
}

StoreReply ReadConflict(JsonReader& reader) {
  StoreConflict conflict;
  if (!reader.Has("current")) {
    reader.Fail(CodecErrorKind::kMissing, "current");
  }
  if (reader.IsPresent("current")) {
    conflict.current = reader.Object("current", ReadEntry);
  }
  return conflict;
}

StoreReply ReadBusy(JsonReader& reader) {
  return StoreRefused{.retry_after = reader.DurationMillis("retry_after_ms"),
                      .reason = StoreRefusal::kRateLimited};
}

StoreReply ReadRangeReply(JsonReader& reader) {
  return StoreRangeReply{.revision = reader.CountOf<Revision>("revision"),
                         .entries = reader.List("entries", ReadEntry)};
}

StoreReply ReadWritten(JsonReader& reader) {
  return StoreWritten{.revision = reader.CountOf<Revision>("revision")};
}

StoreReply ReadLeaseReply(JsonReader& reader) {
  return StoreLeaseReply{.lease = reader.CountOf<LeaseId>("lease"),
                         .time_to_live = reader.DurationMillis("ttl_ms")};
}

StoreReply ReadWatchReply(JsonReader& reader) {
  return StoreWatchReply{.revision = reader.CountOf<Revision>("revision"),
                         .changed = reader.List("changed", ReadEntry),
                         .deleted = reader.List("deleted", ReadDeletion),
                         .compacted = reader.Bool("compacted")};
}

StoreReply UnknownCall() {
  return StoreRefused{kUnknownStoreCallRetryDelay, StoreRefusal::kUnknownCall};
}

// True if the call names a lease and the reply says that this lease is unknown.
bool IsLeaseUnknown(const StoreCall& call, std::string_view body) {
  const auto* put = std::get_if<StorePut>(&call);
  const bool names_lease = (put != nullptr && put->lease != LeaseId()) ||
                           std::holds_alternative<StoreLeaseKeepAlive>(call) ||
                           std::holds_alternative<StoreLeaseRevoke>(call);
  const auto error = DecodeJson(
      body, [](JsonReader& reader) { return reader.String("error"); });
  return names_lease && IsOk(error) && ValueOf(error) == kLeaseUnknownError;
}

Decoded<StoreReply> DecodeOk(const StoreCall& call, std::string_view body) {
  return std::visit(
      Overloaded{
          [&](const StoreRange&) { return DecodeJson(body, ReadRangeReply); },
          [&](const StorePut&) { return DecodeJson(body, ReadWritten); },
          [&](const StoreDelete&) { return DecodeJson(body, ReadWritten); },
          [&](const StoreLeaseGrant&) {
            return DecodeJson(body, ReadLeaseReply);
          },
          [&](const StoreLeaseKeepAlive&) {
            return DecodeJson(body, ReadLeaseReply);
          },
          [&](const StoreLeaseRevoke& revoke) {
            return DecodeJson(body, [&](JsonReader&) -> StoreReply {
              return StoreLeaseReply{.lease = revoke.lease,
                                     .time_to_live = Duration()};
            });
          },
          [&](const StoreWatch&) { return DecodeJson(body, ReadWatchReply); }},
      call);
}

}  // namespace

StoreReplyMessage EncodeStoreReply(const StoreReply& reply) {
  return std::visit([](const auto& typed) { return Encode(typed); }, reply);
}

Decoded<StoreReply> DecodeStoreReply(const StoreCall& call,
                                     int status,
                                     std::string_view body) {
  switch (status) {
    case kOk:
      return DecodeOk(call, body);
    case kLeaseUnknown:
      // The same status is used by a service that does not know the call. If it
      // were read as an expired lease, the client would request a new lease at
      // once, again and again.
      return IsLeaseUnknown(call, body) ? StoreReply(StoreLeaseUnknown{})
                                        : UnknownCall();
    case kBadRequest:
    case kMethodNotAllowed:
    case kNotImplemented:
      return UnknownCall();
    case kConflict:
      return DecodeJson(body, ReadConflict);
    case kBusy:
      return DecodeJson(body, ReadBusy);
    default:
      return StoreReply(StoreNoAnswer{});
  }
}

}  // namespace gcw
