#include "coordination/routing/endpoint_registry.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Returns the key of the pool of endpoints that serve the same model or
// service.
std::string PoolOf(const Endpoint& endpoint) {
  return endpoint.service.empty() ? "model/" + endpoint.model.value()
                                  : "service/" + endpoint.service.value();
}

}  // namespace

EndpointRegistry::EndpointRegistry(EndpointRegistrySettings settings,
                                   const NodeId& self,
                                   const ZoneId& zone,
                                   EndpointModules modules)
    : settings_(settings),
      self_{self, zone},
      modules_(modules),
      load_exchange_(settings_.load_exchange, self, zone) {}

EndpointRegistryActions EndpointRegistry::OnView(Time now, const View& view) {
  nodes_.clear();
  std::vector<GatePeer> peers;
  for (const NodeId& node : view.Owners()) {
    const ZoneId zone = view.Find(node)->record.zone;
    nodes_.push_back(NodeLocation{node, zone});
    peers.push_back(GatePeer{node, zone});
  }
  subset_is_stale_ = true;
  modules_.router->SetNodeCount(static_cast<std::int64_t>(nodes_.size()));
  load_exchange_.OnView(view);
  Apply(now, modules_.gate->OnPeers(now, peers));
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnDomainRecord(
    Time now,
    const DomainRecord& record,
    Revision revision) {
  modules_.controller->OnDomainRecord(record, revision);
  Apply(now, modules_.gate->OnDomainRecord(now, record, revision));
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnVmList(
    Time now,
    const VmListSnapshot& snapshot) {
  for (const VmEntry& vm : snapshot.vms) {
    if (vm.purpose == VmPurpose::kModelEngine && vm.zone == self_.zone) {
      domains_.insert(vm.domain);
    }
  }
  modules_.controller->OnVmList(now, snapshot);
  Apply(now, modules_.gate->OnVmList(now, snapshot));
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnProbeReply(
    Time now,
    NodeModule module,
    ProbeId id,
    const ProbeReply& reply) {
  if (module == NodeModule::kGroupController) {
    modules_.controller->OnProbeReply(now, id, reply);
  } else {
    Apply(now, modules_.gate->OnProbeReply(now, id, reply));
  }
  return TakeActions();
}

EndpointRegistryActions
EndpointRegistry::OnOrderReply(Time now, OrderId id, const OrderReply& reply) {
  modules_.controller->OnOrderReply(now, id, reply);
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnStoreReply(
    Time now,
    StoreCallId id,
    const StoreReply& reply) {
  Apply(modules_.controller->OnStoreReply(now, id, reply));
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnPresenceReport(
    Time now,
    const NodeId& from,
    const PresenceReport& report) {
  Apply(now, modules_.gate->OnPresenceReport(now, from, report));
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnLoadReport(
    Time now,
    const LoadReport& report) {
  load_exchange_.OnLocalReport(now, report);
  ApplyLoadReport(now, report);
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnLoadDigest(
    Time now,
    const LoadDigest& digest) {
  for (const LoadReport& report : load_exchange_.OnDigest(now, digest)) {
    ApplyLoadReport(now, report);
  }
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnCacheEvents(
    Time now,
    const EndpointId& endpoint,
    const CacheEventBatch& batch) {
  const auto cursor = cache_cursors_.find(endpoint);
  if (cursor != cache_cursors_.end()) {
    cursor->second.after = batch.next - 1;
    modules_.router->OnCacheEvents(now, endpoint,
                                   subset_.at(endpoint).generation, batch);
  }
  return TakeActions();
}

void EndpointRegistry::OnRequestStarted(const EndpointId& endpoint) {
  modules_.gate->OnRequestStarted(endpoint);
  const auto report = reports_.find(endpoint);
  if (report != reports_.end()) {
    ++report->second.sent_after_report;
  }
}

EndpointRegistryActions EndpointRegistry::OnRequestEnded(
    Time now,
    const EndpointId& endpoint) {
  Apply(now, modules_.gate->OnRequestEnded(now, endpoint));
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::OnEndpointUnreachable(
    Time now,
    const EndpointId& endpoint) {
  Apply(now, modules_.gate->OnUnreachable(now, endpoint));
  return TakeActions();
}

EndpointRegistryActions EndpointRegistry::Tick(Time now) {
  Apply(now, modules_.gate->Tick(now));
  Apply(modules_.controller->Tick(now));
  if (std::exchange(subset_is_stale_, false)) {
    UpdateSubset(now);
  }
  for (LoadExchangeAction& action : load_exchange_.Tick(now)) {
    std::visit(Overloaded{[this](LoadReadDue& due) {
                            actions_.emplace_back(
                                NodeAction(ReadLoad{std::move(due.endpoint)}));
                          },
                          [this](PeerSend<LoadDigest>& send) {
                            actions_.emplace_back(std::move(send));
                          }},
               action);
  }
  RequestPlatformReads(now);
  if (std::exchange(capacity_is_stale_, false)) {
    UpdateCapacity(now);
  }
  return TakeActions();
}

void EndpointRegistry::Apply(Time now, std::vector<ServingGateAction> actions) {
  for (ServingGateAction& action : actions) {
    std::visit(Overloaded{[this](EndpointOpened& opened) {
                            open_endpoints_.insert_or_assign(opened.endpoint.id,
                                                             opened.endpoint);
                            subset_is_stale_ = true;
                          },
                          [this, now](EndpointClosed& closed) {
                            open_endpoints_.erase(closed.endpoint);
                            // A closed endpoint is removed at once instead of
                            // with the next subset.
                            if (subset_.erase(closed.endpoint) > 0) {
                              modules_.router->OnEndpointDown(now,
                                                              closed.endpoint);
                              load_exchange_.OnEndpointDown(closed.endpoint);
                              reports_.erase(closed.endpoint);
                              cache_cursors_.erase(closed.endpoint);
                              capacity_is_stale_ = true;
                            }
                            subset_is_stale_ = true;
                          },
                          [](EndpointDrained&) {},
                          [this](ProbeVm& probe) {
                            actions_.emplace_back(NodeAction(SendProbe{
                                NodeModule::kServingGate, std::move(probe)}));
                          },
                          [this](PeerSend<PresenceReport>& send) {
                            actions_.emplace_back(std::move(send));
                          }},
               action);
  }
}

void EndpointRegistry::Apply(std::vector<GroupControllerAction> actions) {
  for (GroupControllerAction& action : actions) {
    std::visit(
        Overloaded{[this](StoreRequest& request) {
                     actions_.emplace_back(NodeAction(
                         CallStore{NodeModule::kGroupController, request.id,
                                   std::move(request.call)}));
                   },
                   [this](SendOrder& order) {
                     actions_.emplace_back(NodeAction(std::move(order)));
                   },
                   [this](ProbeVm& probe) {
                     actions_.emplace_back(NodeAction(SendProbe{
                         NodeModule::kGroupController, std::move(probe)}));
                   },
                   [this](RecordCommitted& committed) {
                     actions_.emplace_back(NodeAction(PublishRecord{
                         std::move(committed.record), committed.revision}));
                   }},
        action);
  }
}

void EndpointRegistry::UpdateSubset(Time now) {
  std::map<std::string, std::vector<Endpoint>> pools;
  for (const auto& [id, endpoint] : open_endpoints_) {
    pools[PoolOf(endpoint)].push_back(endpoint);
  }
  std::map<EndpointId, Endpoint> chosen;
  for (const auto& [pool, endpoints] : pools) {
    for (const EndpointId& id :
         ChooseEndpointSubset(settings_.subset, self_, nodes_, endpoints)) {
      chosen.emplace(id, open_endpoints_.at(id));
    }
  }
  for (const auto& [id, endpoint] : subset_) {
    if (!chosen.contains(id)) {
      modules_.router->OnEndpointDown(now, id);
      load_exchange_.OnEndpointDown(id);
      reports_.erase(id);
      cache_cursors_.erase(id);
    }
  }
  for (const auto& [id, endpoint] : chosen) {
    const auto before = subset_.find(id);
    if (before == subset_.end() || before->second != endpoint) {
      modules_.router->OnEndpointUp(now, endpoint);
      load_exchange_.OnEndpointUp(now, endpoint);
      if (endpoint.service.empty()) {
        cache_cursors_[id] = CacheEventCursor{0, now};
      }
    }
  }
  subset_ = std::move(chosen);
  capacity_is_stale_ = true;
}

void EndpointRegistry::ApplyLoadReport(Time now, const LoadReport& report) {
  if (!subset_.contains(report.endpoint)) {
    return;
  }
  reports_[report.endpoint] = ReportedLoad{report, 0};
  modules_.router->OnLoadReport(now, report);
  capacity_is_stale_ = true;
}

void EndpointRegistry::UpdateCapacity(Time now) {
  std::map<ModelId, std::vector<const Endpoint*>> by_model;
  for (const auto& [id, endpoint] : subset_) {
    if (endpoint.service.empty()) {
      by_model[endpoint.model].push_back(&endpoint);
    }
  }
  for (const auto& [model, endpoints] : by_model) {
    actions_.emplace_back(
        modules_.admission->OnHeadroom(now, model, HeadroomOf(endpoints)));
  }
}

Headroom EndpointRegistry::HeadroomOf(
    const std::vector<const Endpoint*>& endpoints) const {
  Headroom headroom;
  headroom.sharing_nodes =
      std::max<std::int64_t>(1, static_cast<std::int64_t>(nodes_.size()));
  for (const Endpoint* endpoint : endpoints) {
    const auto found = reports_.find(endpoint->id);
    if (found == reports_.end()) {
      continue;
    }
    const LoadReport& report = found->second.report;
    EndpointHeadroom endpoint_headroom;
    endpoint_headroom.endpoint = endpoint->id;
    endpoint_headroom.batch_limit = report.batch_limit;
    endpoint_headroom.running = report.running_requests;
    endpoint_headroom.queued =
        report.queued_requests + found->second.sent_after_report;
    if (report.cache_capacity > TokenCount()) {
      endpoint_headroom.cache_share =
          static_cast<double>(report.cache_used.value()) /
          static_cast<double>(report.cache_capacity.value());
    }
    headroom.endpoints.push_back(endpoint_headroom);
    headroom.taken_at = std::max(headroom.taken_at, report.taken_at);
  }
  return headroom;
}

void EndpointRegistry::RequestPlatformReads(Time now) {
  if (now >= next_vm_list_) {
    next_vm_list_ = now + settings_.vm_list_interval;
    actions_.emplace_back(NodeAction(ReadVmList{}));
  }
  if (now >= next_weight_store_) {
    next_weight_store_ = now + settings_.weight_store_interval;
    actions_.emplace_back(NodeAction(ReadWeightStore{}));
  }
  for (auto& [id, cursor] : cache_cursors_) {
    if (now >= cursor.next) {
      cursor.next = now + settings_.cache_events_interval;
      actions_.emplace_back(
          NodeAction(ReadCacheEvents{subset_.at(id), cursor.after}));
    }
  }
}

EndpointRegistryActions EndpointRegistry::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace gcw
