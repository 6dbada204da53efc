#include "protocol/fleet_overview_json.h"

#include <utility>

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {
namespace {

// Field names are short because every node reads the overview when it starts;
// after a power failure all nodes read it at once.
boost::json::object WriteEndpoint(const VmRegistration& vm) {
  boost::json::object endpoint{
      {"vm", ToJson(vm.id)},       {"run", ToJson(vm.incarnation)},
      {"svc", ToJson(vm.service)}, {"at", ToJson(vm.address)},
      {"zone", ToJson(vm.zone)},   {"n", vm.slots}};
  if (vm.membership && !vm.models.empty()) {
    endpoint["model"] = ToJson(vm.models.front());
    endpoint["group"] = ToJson(vm.membership->group);
    endpoint["gen"] = ToJson(vm.membership->generation);
  }
  return endpoint;
}

VmRegistration ReadEndpoint(JsonReader& reader) {
  VmRegistration vm;
  vm.id = reader.TextId<VmId>("vm");
  vm.incarnation = reader.CountOf<Incarnation>("run");
  vm.service = reader.TextId<ServiceId>("svc");
  vm.address = reader.TextId<Address>("at");
  vm.zone = reader.TextId<ZoneId>("zone");
  vm.slots = reader.Count("n");
  if (reader.IsPresent("model")) {
    vm.models = {reader.TextId<ModelId>("model")};
    GroupMembership membership;
    membership.group = reader.TextId<GroupId>("group");
    membership.generation = reader.CountOf<Generation>("gen");
    membership.phase = MemberPhase::kOpen;
    vm.membership = membership;
  }
  return vm;
}

boost::json::object WriteNode(const NodeId& id, const Address& address) {
  return {{"id", ToJson(id)}, {"at", ToJson(address)}};
}

std::pair<NodeId, Address> ReadNode(JsonReader& reader) {
  return {reader.TextId<NodeId>("id"), reader.TextId<Address>("at")};
}

}  // namespace

std::string EncodeFleetOverview(const FleetOverview& overview) {
  boost::json::array endpoints;
  for (const VmRegistration& vm : overview.endpoints) {
    endpoints.push_back(WriteEndpoint(vm));
  }
  boost::json::array nodes;
  for (const auto& [id, address] : overview.nodes) {
    nodes.push_back(WriteNode(id, address));
  }
  return boost::json::serialize(boost::json::object{
      {"endpoints", std::move(endpoints)}, {"nodes", std::move(nodes)}});
}

Decoded<FleetOverview> DecodeFleetOverview(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    FleetOverview overview;
    overview.endpoints = reader.List("endpoints", ReadEndpoint);
    for (auto& [id, address] : reader.List("nodes", ReadNode)) {
      overview.nodes.emplace(std::move(id), std::move(address));
    }
    return overview;
  });
}

}  // namespace gcw
