#include "programs/gcw_standin/platform_documents.h"

#include <charconv>
#include <utility>

#include <boost/json.hpp>

namespace gcw {
namespace {

// The platform's service returns a range in pages of this size.
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1024UL * 1024;

using boost::json::array;
using boost::json::object;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;

object EncodeRoute(const std::string& name,
                   const std::string& type,
                   const std::string& service,
                   std::int64_t attempts) {
  object route{{"name", name},
               {"hostname", "models.example"},
               {"prefix", "/" + name + "/"},
               {"route_type", type},
               {"timeout_ms", 8000},
               {"target_latency_ms", 400},
               {"priority", 1},
               {"backend", service},
               {"max_attempts", attempts},
               {"public", false}};
  if (type == "stream") {
    route["stream_resume"] = true;
    route["gap_target_ms"] = 250;
  }
  return route;
}

object EncodeModel(const ModelProfile& model) {
  constexpr double kMillisPerSecond = 1000;
  return {{"name", model.model.value()},
          {"size", model.group_size},
          {"share", model.work_share},
          {"pace", model.time_factor},
          {"load_s",
           static_cast<double>(model.load_time.millis()) / kMillisPerSecond},
          {"warm_s",
           static_cast<double>(model.warm_time.millis()) / kMillisPerSecond}};
}

object EncodeEngine(const EngineProfile& engine) {
  array models;
  for (const ModelProfile& model : engine.models) {
    models.push_back(EncodeModel(model));
  }
  return {{"batch_slots", engine.batch_limit},
          {"kv_capacity", engine.cache_capacity.value()},
          {"stride", engine.steps_per_pass},
          {"step_ms", engine.step_ms},
          {"per_seq_ms", engine.step_ms_per_request},
          {"context_per_k", engine.step_ms_per_1000_context_tokens},
          {"read_per_s", engine.prompt_tokens_per_ms * 1000},
          {"pairs_per_m", engine.ms_per_million_prompt_pairs},
          {"chunk", engine.chunk_tokens},
          {"loads_per_s", engine.loads_per_second},
          {"loads_at_once", engine.max_concurrent_loads},
          {"history_limit", engine.staged_limit},
          {"form_ms", engine.group_formation_time.millis()},
          {"models", std::move(models)}};
}

object EncodeEntry(const StoreEntry& entry) {
  return {{"key", entry.key},
          {"value", EncodeBase64(entry.value)},
          {"revision", entry.revision.value()},
          {"lease", entry.lease.value()}};
}

HttpResponse MakeJsonResponse(int status, const object& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          boost::json::serialize(body)};
}

std::int64_t QueryNumber(const HttpRequest& request, std::string_view name) {
  const std::string text = QueryValue(request.target, name);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::int64_t NumberAfter(std::string_view path, std::string_view prefix) {
  std::int64_t number = 0;
  path.remove_prefix(prefix.size());
  std::from_chars(path.data(), path.data() + path.size(), number);
  return number;
}

std::optional<StoreCall> DecodeChange(const object& body) {
  const auto* expected = body.if_contains("expected");
  if (expected == nullptr || !expected->is_array() ||
      expected->as_array().size() != 1) {
    return std::nullopt;
  }
  const object& row = expected->as_array().front().as_object();
  const Revision revision(row.at("revision").as_int64());
  const array& writes = body.at("writes").as_array();
  if (writes.empty()) {
    return StoreDelete{std::string(row.at("key").as_string()), revision};
  }
  const object& write = writes.front().as_object();
  const auto value = DecodeBase64(write.at("value").as_string());
  if (!value) {
    return std::nullopt;
  }
  const auto* lease = write.if_contains("lease");
  return StorePut{std::string(write.at("key").as_string()), *value, revision,
                  LeaseId(lease == nullptr ? 0 : lease->as_int64())};
}

HttpResponse EncodeWatch(const StoreWatchReply& watch) {
  if (watch.compacted) {
    return {kGone, {}, {}};
  }
  array events;
  for (const StoreEntry& entry : watch.changed) {
    events.push_back(EncodeEntry(entry));
  }
  for (const StoreDeletion& deletion : watch.deleted) {
    events.push_back(object{{"key", deletion.key},
                            {"revision", deletion.revision.value()},
                            {"deleted", true}});
  }
  return MakeJsonResponse(kOk, {{"events", std::move(events)},
                                {"current_rev", watch.revision.value()}});
}

HttpResponse EncodeRange(const StoreRangeReply& range) {
  array items;
  std::size_t bytes = 0;
  for (const StoreEntry& entry : range.entries) {
    if (items.size() >= kMaxPageItems || bytes >= kMaxPageBytes) {
      break;
    }
    bytes += entry.value.size();
    items.push_back(EncodeEntry(entry));
  }
  const bool is_whole = items.size() == range.entries.size();
  return MakeJsonResponse(kOk, {{"items", std::move(items)},
                                {"more_pages", range.more || !is_whole},
                                {"current_rev", range.revision.value()}});
}

HttpResponse EncodeConflict(const StoreConflict& conflict) {
  array items;
  if (conflict.current) {
    items.push_back(EncodeEntry(*conflict.current));
  }
  return MakeJsonResponse(kPreconditionFailed, {{"items", std::move(items)}});
}

}  // namespace

EngineProfile StandinEngineProfile() {
  EngineProfile profile;
  profile.batch_limit = 26;
  profile.cache_capacity = TokenCount(2470000);
  profile.steps_per_pass = 6;
  profile.step_ms = 6.45;
  profile.prompt_tokens_per_ms = 56.1;
  profile.group_formation_time = Duration::Millis(300);
  profile.loads_per_second = 5.5;
  profile.max_concurrent_loads = 8;
  profile.models = {{ModelId("large"), 6, 0.67, 1.0, Duration::Seconds(16),
                     Duration::Millis(1600)},
                    {ModelId("small"), 3, 0.33, 0.6, Duration::Seconds(12),
                     Duration::Millis(1100)}};
  return profile;
}

std::string EncodeStandinConfiguration(
    const StandinConfigurationOptions& options) {
  const object document{
      {"version", options.version},
      {"limits", object{{"max_header_bytes", 16384},
                        {"max_body_bytes", options.max_body_bytes},
                        {"header_timeout_ms", 10000},
                        {"idle_timeout_ms", 60000}}},
      {"routes", array{EncodeRoute("large", "stream", "llm", 2),
                       EncodeRoute("small", "stream", "llm", 2),
                       EncodeRoute("safe", "safe", "desk", 2),
                       EncodeRoute("once", "unsafe", "desk", 1),
                       EncodeRoute("events", "stream", "desk", 2)}},
      {"backends",
       array{object{{"name", "llm"},
                    {"max_connections", 404},
                    {"engine", EncodeEngine(StandinEngineProfile())}},
             object{{"name", "desk"}, {"max_connections", 110}}}},
      {"tenants", array{object{{"name", "paid"},
                               {"api_keys", array{options.key}},
                               {"priority", 1}}}}};
  return boost::json::serialize(document);
}

std::string EncodeRegistrationEntry(const VmRegistration& registration) {
  object entry{{"backend", registration.service.value()},
               {"address", registration.address.value()},
               {"zone", registration.zone.value()},
               {"batch_slots", registration.slots},
               {"lifecycle", registration.draining ? "draining" : "ready"}};
  if (!registration.domain.empty()) {
    entry["domain"] = registration.domain.value();
    array staged;
    for (const ModelId& model : registration.staged) {
      staged.emplace_back(model.value());
    }
    entry["staged"] = std::move(staged);
    array models;
    for (const ModelId& model : registration.models) {
      models.push_back(object{{"name", model.value()}, {"version", 1}});
    }
    entry["models"] = std::move(models);
  }
  if (registration.membership) {
    const GroupMembership& membership = *registration.membership;
    entry["group"] = object{{"name", membership.group.value()},
                            {"epoch", membership.generation.value()},
                            {"rank", membership.rank},
                            {"lifecycle", MemberPhaseName(membership.phase)}};
  }
  return boost::json::serialize(entry);
}

std::optional<StoreCall> DecodePlatformStoreCall(const HttpRequest& request) {
  const std::string path = ExtractPath(request.target);
  if (path == kStoreRangePath) {
    return StoreRange{QueryValue(request.target, "prefix"),
                      QueryValue(request.target, "after")};
  }
  if (path == kStoreWatchPath) {
    return StoreWatch{QueryValue(request.target, "prefix"),
                      Revision(QueryNumber(request, "after")),
                      Duration::Millis(QueryNumber(request, "wait_ms"))};
  }
  if (path.starts_with(kStoreRenewPath)) {
    return StoreLeaseKeepAlive{LeaseId(NumberAfter(path, kStoreRenewPath))};
  }
  if (path.starts_with(kStoreEndLeasePath)) {
    return StoreLeaseRevoke{LeaseId(NumberAfter(path, kStoreEndLeasePath))};
  }
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(request.body, error);
  if (error || !body.is_object()) {
    return std::nullopt;
  }
  if (path == kStoreLeasePath) {
    return StoreLeaseGrant{
        Duration::Millis(body.as_object().at("ttl_ms").as_int64())};
  }
  return path == kStoreChangePath ? DecodeChange(body.as_object())
                                  : std::nullopt;
}

HttpResponse EncodePlatformStoreReply(const StoreCall& call,
                                      const StoreReply& reply) {
  return std::visit(
      Overloaded{
          [](const StoreRangeReply& range) { return EncodeRange(range); },
          [](const StoreWatchReply& watch) { return EncodeWatch(watch); },
          [](const StoreConflict& conflict) {
            return EncodeConflict(conflict);
          },
          [](const StoreWritten& written) {
            return MakeJsonResponse(kOk,
                                    {{"revision", written.revision.value()}});
          },
          [&](const StoreLeaseReply& lease) {
            object body{{"ttl_ms", lease.time_to_live.millis()}};
            if (std::holds_alternative<StoreLeaseGrant>(call)) {
              body["lease"] = lease.lease.value();
            }
            return MakeJsonResponse(kOk, body);
          },
          [](const StoreLeaseUnknown&) {
            return HttpResponse{kNotFound, {}, {}};
          },
          [](const auto&) {
            return HttpResponse{kTooManyRequests, {}, {}};
          },
      },
      reply);
}

}  // namespace gcw
