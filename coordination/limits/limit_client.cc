#include "coordination/limits/limit_client.h"

#include <utility>

namespace gcw {

LimitClient::LimitClient(LimitParty self, LimitReporter kind, LimitShard shard)
    : self_(std::move(self)), kind_(kind), shard_(shard) {}

void LimitClient::SetUpstream(NodeId upstream) {
  if (upstream == upstream_) {
    return;
  }
  upstream_ = std::move(upstream);
  echo_.reset();
  answered_at_.reset();
  reported_at_.reset();
  unanswered_reports_ = 0;
}

LimitReport LimitClient::StartReport(Time now) {
  reported_at_ = now;
  ++last_sequence_;
  ++unanswered_reports_;
  return {.sender = self_,
          .kind = kind_,
          .shard = shard_,
          .sequence = last_sequence_,
          .sent_at = now,
          .applied_sequence = applied_,
          .echo = echo_,
          .ceding_nodes = {},
          .cession_duration = {},
          .weight = 1,
          .demands = {}};
}

bool LimitClient::OnGrants(Time now,
                           const NodeId& from,
                           const LimitGrants& grants) {
  const Time until = grants.report_sent_at + grants.lifetime;
  if (from != upstream_ || grants.receiver != self_.incarnation ||
      grants.sequence <= applied_ || grants.fence < fence_ || until <= now) {
    return false;
  }
  applied_ = grants.sequence;
  fence_ = grants.fence;
  echo_ = grants.echo;
  answered_at_ = now;
  unanswered_reports_ = 0;
  granted_until_ = until;
  grants_.clear();
  for (const LimitGrant& grant : grants.grants) {
    grants_.insert_or_assign(grant.contract, grant.amount);
  }
  return true;
}

LimitVector LimitClient::GrantedFraction(Time now,
                                         const ContractId& contract) const {
  if (now >= granted_until_) {
    return {};
  }
  const auto found = grants_.find(contract);
  return found == grants_.end() ? LimitVector() : found->second;
}

}  // namespace gcw
