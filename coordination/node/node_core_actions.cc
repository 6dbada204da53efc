// Passes the actions of one module of the node's core on to the others.

#include <utility>

#include "coordination/node/node_core.h"

namespace gcw {

void NodeCore::Send(const NodeId& to, PeerMessage message) {
  if (to == settings_.self.id) {
    self_messages_.push_back(std::move(message));
    return;
  }
  const Member* member = membership_.view().Find(to);
  Address address;
  if (member != nullptr) {
    address = member->record.peer_address;
  }
  for (const NodeRecord& seed : settings_.seeds) {
    if (address.empty() && seed.id == to) {
      address = seed.peer_address;
    }
  }
  if (!address.empty()) {
    actions_.emplace_back(SendToPeer{to, address, std::move(message)});
  }
}

void NodeCore::CallStoreFor(NodeModule module, StoreRequest request) {
  actions_.emplace_back(CallStore{module, request.id, std::move(request.call)});
}

void NodeCore::OnPeer(Time now,
                      const NodeId& from,
                      const MembershipMessage& message) {
  Apply(now, membership_.OnPeer(now, from, message));
}

void NodeCore::OnPeer(Time now,
                      const NodeId& from,
                      const ConfigMessage& message) {
  Apply(now, configuration_->OnPeer(now, from, message));
}

void NodeCore::OnPeer(Time now, const NodeId& from, const LimitBatch& message) {
  Apply(now, limits_.OnBatch(now, from, message));
}

void NodeCore::OnPeer(Time now,
                      const NodeId& from,
                      const OnceMessage& message) {
  std::visit(
      Overloaded{
          [&](const OnceClaimRequest& request) {
            Apply(now, once_owner_->OnClaim(now, from, request));
          },
          [&](const OnceClaimReply& reply) {
            Apply(now, requests_.OnOnceActions(
                           now, once_client_->OnReply(now, from, reply)));
          },
          [&](const OnceFinish& finish) {
            Apply(now, once_owner_->OnFinish(now, from, finish));
          },
          [&](const OnceFinishAck& ack) { once_client_->OnFinishAck(ack); }},
      message);
}

void NodeCore::OnPeer(Time now,
                      const NodeId& from,
                      const GuardMessage& message) {
  Apply(now,
        requests_.OnGuardActions(now, guard_->OnMessage(now, from, message)));
}

void NodeCore::OnPeer(Time now,
                      const NodeId& from,
                      const PresenceReport& message) {
  Apply(now, endpoints_.OnPresenceReport(now, from, message));
}

void NodeCore::OnPeer(Time now, const NodeId&, const LoadDigest& message) {
  Apply(now, endpoints_.OnLoadDigest(now, message));
}

void NodeCore::CallStoreFor(NodeModule module,
                            std::vector<std::variant<StoreRequest>> actions) {
  for (std::variant<StoreRequest>& action : actions) {
    CallStoreFor(module, std::get<StoreRequest>(std::move(action)));
  }
}

void NodeCore::Apply(Time now, std::vector<MembershipAction> actions) {
  for (MembershipAction& action : actions) {
    std::visit(
        Overloaded{
            [this](StoreRequest& request) {
              CallStoreFor(NodeModule::kMembership, std::move(request));
            },
            [this](PeerSend<MembershipMessage>& send) {
              Send(send.to, std::move(send.message));
            },
            // Not needed: a change of the view's version is noticed at
            // each tick.
            [](MemberChanged&) {},
            [this, now](DeltaReceived& received) { OnDelta(now, received); }},
        action);
  }
}

void NodeCore::Apply(Time now, std::vector<ConfigSyncAction> actions) {
  for (ConfigSyncAction& action : actions) {
    std::visit(Overloaded{[this](StoreRequest& request) {
                            CallStoreFor(NodeModule::kConfiguration,
                                         std::move(request));
                          },
                          [this](PeerSend<ConfigMessage>& send) {
                            Send(send.to, std::move(send.message));
                          },
                          [this, now](ConfigApplied& applied) {
                            OnConfigApplied(now, applied.entry);
                          },
                          [this](ProposalFinished& finished) {
                            OnProposalFinished(finished);
                          }},
               action);
  }
}

void NodeCore::Apply(Time, std::vector<LimitsAction> actions) {
  for (LimitsAction& action : actions) {
    auto& send = std::get<PeerSend<LimitBatch>>(action);
    Send(send.to, std::move(send.message));
  }
}

void NodeCore::Apply(Time, OnceOwnerActions actions) {
  for (OnceOwnerAction& action : actions) {
    std::visit(Overloaded{[this](StoreRequest& request) {
                            CallStoreFor(NodeModule::kOnceOwner,
                                         std::move(request));
                          },
                          [this](OncePeerSend& send) {
                            Send(send.to, std::move(send.message));
                          }},
               action);
  }
}

void NodeCore::Apply(Time now, EndpointRegistryActions actions) {
  for (EndpointRegistryAction& action : actions) {
    std::visit(
        Overloaded{[this, now](NodeAction& node_action) {
                     if (const auto* record =
                             std::get_if<PublishRecord>(&node_action)) {
                       Apply(now, endpoints_.OnDomainRecord(now, record->record,
                                                            record->revision));
                       return;
                     }
                     actions_.push_back(std::move(node_action));
                   },
                   [this](PeerSend<PresenceReport>& send) {
                     Send(send.to, std::move(send.message));
                   },
                   [this](PeerSend<LoadDigest>& send) {
                     Send(send.to, std::move(send.message));
                   },
                   [this, now](std::vector<AdmissionAction>& admissions) {
                     Apply(now, requests_.OnAdmissionActions(now, admissions));
                   }},
        action);
  }
}

void NodeCore::Apply(Time now, RequestPipelineActions actions) {
  for (RequestPipelineAction& action : actions) {
    std::visit(
        Overloaded{[this](NodeAction& node_action) {
                     actions_.push_back(std::move(node_action));
                   },
                   [this, now](EndpointLossDetected& lost) {
                     Apply(now, endpoints_.OnEndpointUnreachable(
                                    now, lost.endpoint));
                   },
                   [this](RequestStartedOnEndpoint& started) {
                     endpoints_.OnRequestStarted(started.endpoint);
                   },
                   [this, now](RequestEndedOnEndpoint& ended) {
                     Apply(now, endpoints_.OnRequestEnded(now, ended.endpoint));
                   },
                   [this](OncePeerSend& send) {
                     Send(send.to, std::move(send.message));
                   },
                   [this, now](GuardBroadcast& spread) {
                     membership_.Broadcast(spread.delta);
                   },
                   [this](GuardPeerSend& send) {
                     Send(send.to, std::move(send.message));
                   }},
        action);
  }
}

void NodeCore::OnDelta(Time now, const DeltaReceived& received) {
  std::visit(
      Overloaded{
          [&](const FingerprintDelta& delta) { guard_->OnDelta(now, delta); },
          [&](const RoleHolderDelta& holder) {
            if (const std::optional<LimitShard> shard =
                    LimitShardOf(holder.role)) {
              limits_.OnOwner(*shard, received.origin, holder.fence);
            }
          }},
      received.delta);
}

void NodeCore::OnConfigApplied(Time now, const ConfigEntry& entry) {
  if (entry.key.starts_with(kContractPrefix)) {
    OnContractEntry(now, entry);
  } else if (entry.key.starts_with(kModelPrefix)) {
    OnModelEntry(entry);
  } else if (entry.key.starts_with(kDomainPrefix) && entry.record.value) {
    if (const std::optional<DomainRecord> record =
            codecs_.domain_record.decode(*entry.record.value)) {
      Apply(now, endpoints_.OnDomainRecord(now, *record, entry.revision));
    }
  }
}

void NodeCore::OnContractEntry(Time now, const ConfigEntry& entry) {
  const ContractId id(entry.key.substr(kContractPrefix.size()));
  std::optional<Contract> contract;
  if (entry.record.value) {
    contract = codecs_.decode_contract(*entry.record.value);
  }
  Apply(now, requests_.OnAdmissionActions(
                 now, contract ? admission_.OnContract(now, *contract)
                               : admission_.OnContractWithdrawn(now, id)));
}

void NodeCore::OnModelEntry(const ConfigEntry& entry) {
  models_.erase(entry.key);
  if (entry.record.value) {
    if (std::optional<DesiredModel> model =
            codecs_.decode_model(*entry.record.value)) {
      models_.emplace(entry.key, std::move(*model));
    }
  }
  std::vector<DesiredModel> models;
  for (const auto& [key, model] : models_) {
    models.push_back(model);
  }
  controller_.OnDesiredModels(std::move(models));
}

void NodeCore::OnProposalFinished(const ProposalFinished& finished) {
  const auto calls = operator_calls_.find(finished.change.id);
  if (calls == operator_calls_.end()) {
    return;
  }
  for (const OperatorCallId& call : calls->second) {
    actions_.emplace_back(AnswerOperator{call, finished.outcome});
  }
  operator_calls_.erase(calls);
}

}  // namespace gcw
