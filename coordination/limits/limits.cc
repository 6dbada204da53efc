#include "coordination/limits/limits.h"

#include <utility>

namespace gcw {
namespace {

// Expired grants no longer count; they are dropped only to save memory.
constexpr Duration kExpiryInterval = Duration::Seconds(1);

}  // namespace

Limits::Limits(const LimitParty& self,
               ZoneId zone,
               const LimitSettings& settings,
               EventSink sink,
               Time started)
    : topology_(std::make_unique<LimitTopology>(self.node,
                                                std::move(zone),
                                                settings)),
      limits_(std::make_unique<ContractLimits>()),
      shares_(topology_.get(), limits_.get(), self, std::move(sink), started),
      owner_(topology_.get(), limits_.get(), self.incarnation),
      relay_(topology_.get(), limits_.get(), self),
      self_(self.node) {}

void Limits::OnContract(Time now, const Contract& contract) {
  limits_->Set(contract.id, LimitVector::FromContract(contract));
  shares_.OnContractChanged(now, contract.id);
}

void Limits::OnContractWithdrawn(const ContractId& contract) {
  limits_->Remove(contract);
  shares_.OnContractWithdrawn(contract);
}

void Limits::OnView(Time now, const std::vector<LimitPeer>& peers) {
  topology_->OnView(now, peers);
}

void Limits::OnRoleHeld(LimitShard shard,
                        FencingToken fence,
                        Time valid_until) {
  owner_.OnRoleHeld(shard, fence, valid_until);
}

void Limits::OnRoleLost(LimitShard shard) {
  owner_.OnRoleLost(shard);
}

Time Limits::PrepareRelease(Time now, LimitShard shard) {
  return owner_.PrepareRelease(now, shard);
}

void Limits::OnOwner(LimitShard shard,
                     const NodeId& owner,
                     FencingToken fence) {
  topology_->OnOwner(shard, owner, fence);
}

// A node that is asked as the owner answers as the owner or not at all. If it
// answered as a relay, the relay would become a party of itself.
void Limits::HandleReport(Time now, const LimitReport& report, Outbox& outbox) {
  const bool is_for_owner =
      report.kind == LimitReporter::kRelay ||
      !topology_->settings().HasRelays(topology_->live_nodes());
  auto answer = is_for_owner ? owner_.OnReport(now, report)
                             : relay_.OnReport(now, report);
  if (!answer) {
    return;
  }
  if (report.sender.node == self_) {
    HandleGrants(now, self_, *answer);
    return;
  }
  outbox[report.sender.node].grants.push_back(std::move(*answer));
}

// A node may report both for itself and as a relay; each takes only the answers
// to its own reports.
void Limits::HandleGrants(Time now,
                          const NodeId& from,
                          const LimitGrants& grants) {
  if (grants.receiver_kind == LimitReporter::kRelay) {
    relay_.OnGrants(now, from, grants);
  } else {
    shares_.OnGrants(now, from, grants);
  }
}

void Limits::Deliver(Time now,
                     const NodeId& to,
                     LimitReport report,
                     Outbox& outbox) {
  if (to == self_) {
    HandleReport(now, report, outbox);
    return;
  }
  outbox[to].reports.push_back(std::move(report));
}

std::vector<LimitsAction> Limits::MakeActions(Outbox&& outbox) {
  std::vector<LimitsAction> actions;
  actions.reserve(outbox.size());
  for (auto& [node, batch] : outbox) {
    actions.emplace_back(PeerSend<LimitBatch>{node, std::move(batch)});
  }
  return actions;
}

std::vector<LimitsAction> Limits::OnBatch(Time now,
                                          const NodeId& from,
                                          const LimitBatch& batch) {
  Outbox outbox;
  for (const LimitGrants& grants : batch.grants) {
    HandleGrants(now, from, grants);
  }
  for (const LimitReport& report : batch.reports) {
    if (report.sender.node == from) {
      HandleReport(now, report, outbox);
    }
  }
  return MakeActions(std::move(outbox));
}

std::vector<LimitsAction> Limits::Tick(Time now) {
  Outbox outbox;
  if (expiry_schedule_.TakeDue(now, kExpiryInterval)) {
    owner_.DropExpired(now);
  }
  for (LimitReport& report : relay_.Tick(now)) {
    const NodeId to = topology_->Owner(report.shard);
    Deliver(now, to, std::move(report), outbox);
  }
  for (LimitReport& report : shares_.Tick(now)) {
    const NodeId to = topology_->Upstream(report.shard);
    Deliver(now, to, std::move(report), outbox);
  }
  return MakeActions(std::move(outbox));
}

ShareDecision Limits::TryAcquire(Time now,
                                 const ContractId& contract,
                                 TokenCount estimate,
                                 AcquireAttempt attempt) {
  return shares_.TryAcquire(now, contract, estimate, attempt);
}

void Limits::Release(const ContractId& contract,
                     TokenCount estimate,
                     TokenCount actual) {
  shares_.Release(contract, estimate, actual);
}

void Limits::Leave() {
  shares_.Leave();
}

std::vector<ShareView> Limits::ShareViews(Time now) const {
  return shares_.View(now);
}

LimitVector Limits::GrantedBy(Time now, const ContractId& contract) const {
  return owner_.Held(now, contract) * limits_->LimitOf(contract);
}

LimitVector Limits::ShareOf(Time now, const ContractId& contract) const {
  return shares_.ShareOf(now, contract);
}

Limits::Builder& Limits::Builder::SetSelf(NodeId node,
                                          ZoneId zone,
                                          Incarnation incarnation) {
  node_ = std::move(node);
  zone_ = std::move(zone);
  incarnation_ = incarnation;
  return *this;
}

Limits::Builder& Limits::Builder::SetSettings(LimitSettings settings) {
  settings_ = settings;
  return *this;
}

Limits::Builder& Limits::Builder::SetEventSink(EventSink sink) {
  sink_ = std::move(sink);
  return *this;
}

Limits Limits::Builder::Build(Time started) const {
  return {LimitParty{node_, incarnation_}, zone_, settings_, sink_, started};
}

}  // namespace gcw
