// Derives the endpoints that requests may be sent to from the registrations.

#include "coordination/gateway/gateway_core.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// A batch is assumed to be half full when an engine's published times are
// evaluated. It is not worth a setting.
constexpr double kTypicalBatchFill = 0.5;

}  // namespace

void GatewayCore::UpdateReplicas(Time now) {
  if (mirror_.loaded()) {
    view_.OnFullyLoaded(mirror_.revision());
  }
  for (const ZoneId& zone : view_.TakeRestoredZones()) {
    selector_.OnZoneRestored(now, zone);
  }
  const std::set<VmId> changed = view_.TakeChangedVms();
  controller_.OnVmsChanged(changed);
  for (const VmId& id : changed) {
    const VmRegistration* vm = view_.FindVm(id);
    crash_guard_.OnRegistration(
        now, id, vm != nullptr ? std::optional(vm->incarnation) : std::nullopt);
  }
  for (Address& address : view_.TakeRestartedAddresses()) {
    actions_.emplace_back(DropPooledConnections{std::move(address)});
  }
  UpdateRetryShare(now);
  selector_.SetNodeCount(view_.serving_nodes());
  forwards_.SetNodeCount(view_.serving_nodes());
  UpdateNodes(now);
  if (!view_.routes()) {
    return;
  }
  if (applied_configuration_changes_ != view_.configuration_changes()) {
    applied_configuration_changes_ = view_.configuration_changes();
    selector_.SetReplicas(now, MakeReplicas());
    return;
  }
  for (const VmId& id : changed) {
    const VmRegistration* vm = view_.FindVm(id);
    std::optional<Replica> replica =
        vm != nullptr ? MakeReplica(*vm) : std::nullopt;
    if (replica) {
      selector_.SetReplica(now, *std::move(replica));
    } else {
      selector_.RemoveReplica(id);
    }
  }
}

void GatewayCore::UpdateNodes(Time now) {
  selector_.SetViewCurrent(mirror_.reachable(), mirror_.complete_at());
  if (applied_node_changes_ == view_.node_changes()) {
    return;
  }
  applied_node_changes_ = view_.node_changes();
  std::map<NodeId, ZoneId> nodes;
  for (const auto& [id, node] : view_.nodes()) {
    if (!node.leaving) {
      nodes.emplace(id, node.zone);
    }
  }
  selector_.SetNodes(now, settings_.self.id, std::move(nodes));
}

std::vector<Replica> GatewayCore::MakeReplicas() const {
  std::vector<Replica> replicas;
  for (const auto& [id, vm] : view_.vms()) {
    if (std::optional<Replica> replica = MakeReplica(vm)) {
      replicas.push_back(*std::move(replica));
    }
  }
  return replicas;
}

std::optional<Replica> GatewayCore::MakeReplica(
    const VmRegistration& vm) const {
  const ServiceRule* service = view_.routes()->FindService(vm.service);
  if (service == nullptr || vm.draining) {
    return std::nullopt;
  }
  Replica replica;
  replica.vm = vm.id;
  replica.incarnation = vm.incarnation;
  replica.address = vm.address;
  replica.service = vm.service;
  replica.zone = vm.zone;
  replica.slots = std::max<std::int64_t>(1, vm.slots);
  replica.accepts_requests = !view_.IsEvacuated(vm);
  if (service->has_warm_up_limit()) {
    replica.warm_up = {service->warm_up_rate, service->warm_up_time,
                       vm.warm_up_left};
  }
  if (!service->engine) {
    return replica;
  }
  const EngineProfile& engine = *service->engine;
  if (!vm.membership || vm.membership->rank != 0 ||
      vm.membership->phase != MemberPhase::kOpen || vm.models.empty()) {
    return std::nullopt;
  }
  replica.model = vm.models.front();
  replica.group = vm.membership->group;
  replica.generation = vm.membership->generation;
  replica.slots = engine.batch_limit;
  for (const ModelProfile& model : engine.models) {
    if (model.model != replica.model) {
      continue;
    }
    // Members without a registration are not checked for: a lost member stops
    // the group's streams, while a member without a registration may only be
    // cut off from the store.
    const double fill =
        kTypicalBatchFill * static_cast<double>(engine.batch_limit);
    replica.pass_ms = engine.steps_per_pass * model.time_factor *
                      (engine.step_ms + engine.step_ms_per_request * fill);
    replica.prompt_tokens_per_ms =
        engine.prompt_tokens_per_ms / model.time_factor;
    replica.service_ms = replica.pass_ms * engine.typical_output_tokens /
                         std::max(1.0, engine.steps_per_pass);
    return replica;
  }
  return std::nullopt;
}

}  // namespace gcw
