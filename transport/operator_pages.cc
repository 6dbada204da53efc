#include "transport/operator_pages.h"

#include <string>
#include <vector>

#include <boost/json.hpp>

namespace gcw {
namespace {

namespace json = boost::json;

template <typename Ids>
json::array IdsToJson(const Ids& ids) {
  json::array list;
  for (const auto& id : ids) {
    list.emplace_back(id.value());
  }
  return list;
}

json::object LimitsToJson(const LimitVector& limits) {
  return json::object{{"requests_per_second", limits[LimitResource::kRequests]},
                      {"tokens_per_second", limits[LimitResource::kTokens]},
                      {"concurrency", limits[LimitResource::kConcurrency]}};
}

json::object GroupToJson(const DomainRecord& domain, const GroupRecord& group) {
  return json::object{{"group", group.id.value()},
                      {"domain", domain.domain.value()},
                      {"model", group.model.value()},
                      {"generation", group.generation.value()},
                      {"state", GroupStateName(group.state)},
                      {"members", IdsToJson(group.members)}};
}

json::object EndpointToJson(const EndpointStatus& endpoint, Time now) {
  json::object page{{"endpoint", endpoint.id.value()},
                    {"generation", endpoint.generation.value()},
                    {"zone", endpoint.zone.value()},
                    {"own_in_flight", endpoint.own_in_flight},
                    {"expected_wait_ms", endpoint.expected_wait.millis()},
                    {"is_ejected", endpoint.is_ejected}};
  if (endpoint.has_report) {
    page["report_age_ms"] = (now - endpoint.report_taken_at).millis();
  }
  return page;
}

}  // namespace

json::object StatusPage(const NodeCore& core, Time now) {
  const ConfigSync& configuration = core.configuration();
  json::object queued{{"paid", core.queued(Tier::kPaid)},
                      {"trial", core.queued(Tier::kTrial)}};
  json::object running{{"paid", core.running(Tier::kPaid)},
                       {"trial", core.running(Tier::kTrial)}};
  return json::object{
      {"node", core.id().value()},
      {"ready", core.ready()},
      {"draining", core.draining()},
      {"store_reachable", core.store_reachable()},
      {"configuration",
       json::object{
           {"state", ConfigStateName(configuration.state())},
           {"floor", configuration.floor().value()},
           {"highest_revision", configuration.highest_revision().value()}}},
      {"open_requests", core.open_requests()},
      {"queued", queued},
      {"running", running},
      {"once_shards", core.once_owner().owned_shards()},
      {"once_rewound", core.once_owner().rewound()},
      {"roles", IdsToJson(core.Roles(now))}};
}

json::object NodesPage(const NodeCore& core) {
  json::array nodes;
  for (const auto& [id, member] : core.view().members()) {
    nodes.emplace_back(json::object{
        {"node", id.value()},
        {"state", MemberStateName(member.state)},
        {"leaving", member.record.leaving},
        {"zone", member.record.zone.value()},
        {"region", member.record.region.value()},
        {"caller_address", member.record.caller_address.value()},
        {"operator_address", member.record.operator_address.value()},
        {"peer_address", member.record.peer_address.value()},
        {"incarnation", member.version.incarnation.value()}});
  }
  return json::object{{"nodes", nodes}};
}

json::object GroupsPage(const NodeCore& core, Time now) {
  json::array groups;
  for (const DomainRecord& domain : core.Domains()) {
    for (const GroupRecord& group : domain.groups) {
      groups.emplace_back(GroupToJson(domain, group));
    }
  }
  json::array endpoints;
  for (const EndpointStatus& endpoint : core.Endpoints(now)) {
    endpoints.emplace_back(EndpointToJson(endpoint, now));
  }
  return json::object{{"groups", groups}, {"open_endpoints", endpoints}};
}

json::object LimitsPage(const NodeCore& core, Time now) {
  json::array limits;
  for (const ShareView& share : core.Shares(now)) {
    limits.emplace_back(json::object{{"contract", share.contract.value()},
                                     {"limit", LimitsToJson(share.limit)},
                                     {"share", LimitsToJson(share.share)},
                                     {"is_floor", share.is_floor},
                                     {"running", share.running}});
  }
  return json::object{{"limits", limits}};
}

json::object ConfigEntryPage(const ConfigEntry& entry) {
  json::object page{{"key", entry.key},
                    {"revision", entry.revision.value()},
                    {"change", entry.record.change.value()},
                    {"value", nullptr}};
  if (entry.record.value) {
    json::error_code error;
    json::value value = json::parse(*entry.record.value, error);
    page["value"] = error ? json::value(*entry.record.value) : value;
  }
  return page;
}

json::object ConfigPage(const NodeCore& core,
                        std::string_view prefix,
                        std::string_view name) {
  json::array list;
  for (const auto& [key, entry] : core.configuration().store().entries()) {
    if (key.starts_with(prefix) && entry.record.value) {
      list.emplace_back(ConfigEntryPage(entry));
    }
  }
  json::object page;
  page[name] = std::move(list);
  return page;
}

json::object ConfirmationPage(const ConfigConfirmation& confirmation) {
  return json::object{{"revision", confirmation.revision.value()},
                      {"in_force_everywhere", confirmation.pending.empty()},
                      {"confirmed", IdsToJson(confirmation.confirmed)},
                      {"pending", IdsToJson(confirmation.pending)}};
}

}  // namespace gcw
