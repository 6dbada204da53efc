// Paths to endpoints, and requests that nodes pass on to each other.

#include <algorithm>
#include <utility>

#include "coordination/gateway/gateway_core.h"

namespace gcw {

void GatewayCore::UpdateReachability(Time now) {
  if (last_tick_ && now - *last_tick_ > settings_.max_tick_delay) {
    relay_pause_until_ = now + settings_.relay_pause;
  }
  last_tick_ = now;
  relays_.Tick(now);
  reachability_.Tick(now,
                     selector_.AwaitsAnswers(now, reachability_.last_contact()),
                     selector_.size());
  if (const std::size_t count = reachability_.TakeChecks(now); count > 0) {
    std::set<VmId> checked;
    for (const Replica& replica : selector_.DrawReplicas(count)) {
      checked.insert(replica.vm);
      actions_.emplace_back(
          CheckEndpoint{.purpose = CheckPurpose::kReach,
                        .vm = replica.vm,
                        .address = replica.address,
                        .timeout = reachability_.check_timeout()});
    }
    reachability_.OnChecksSent(std::move(checked));
  }
  if (relays_.TakeQuery(now, reachability_.is_suspected())) {
    std::vector<Address> nodes = relays_.TakeNodesToAsk();
    for (Address& node : DrawOtherNodes(relays_.queries())) {
      if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
        nodes.push_back(std::move(node));
      }
    }
    for (Address& node : nodes) {
      if (node != settings_.self.peer_address) {
        actions_.emplace_back(QueryReach{std::move(node)});
      }
    }
  }
  for (const ForwardId id : forwards_.FindLostRelays(now)) {
    actions_.emplace_back(FailOverForward{id});
  }
}

ReachReport GatewayCore::Reach(Time now) const {
  ReachReport report;
  report.accepts_relays = !FindRelayRefusal(now);
  report.open_requests = static_cast<std::int64_t>(forwards_.open_requests());
  if (reachability_.is_cut()) {
    report.relays = relays_.Suggestions(now);
  } else {
    report.services = selector_.Reach(now);
  }
  return report;
}

GatewayActions GatewayCore::OnReachReport(Time now,
                                          const Address& node,
                                          const ReachReport& report) {
  relays_.OnReport(now, node, ZoneOf(node), report);
  for (const ServiceReach& reach : report.services) {
    reachability_.OnPeerContact(now - reach.contact_age);
  }
  return TakeActions();
}

// What runs at endpoints when the node finds itself cut off is lost, or hangs
// until the paths are back.
void GatewayCore::OnReachabilityChanged(bool was_cut) {
  if (reachability_.is_cut() && !was_cut) {
    crash_guard_.OnPathsLost();
    for (const ForwardId id : forwards_.RunningRequests()) {
      actions_.emplace_back(FailOverForward{id});
    }
  }
}

std::optional<RefusalKind> GatewayCore::FindRelayRefusal(Time now) const {
  if (stopping()) {
    return RefusalKind::kDraining;
  }
  if (reachability_.is_cut()) {
    return RefusalKind::kNoEndpoint;
  }
  if (now < relay_pause_until_ ||
      forwards_.accepted_relays() >= settings_.max_accepted_relays) {
    return RefusalKind::kQueueFull;
  }
  return std::nullopt;
}

ForwardAdmission GatewayCore::RefuseArrival(const ForwardRequest& request,
                                            RefusalKind kind) {
  events_({EventKind::kRequestRefused,
           request.id.value(),
           {},
           {{"reason", std::string(RefusalKindName(kind))},
            {"is_relayed", request.relay.has_value()}}});
  return {ForwardId(),
          ForwardRefused{kind, settings_.requests.retry_after, true}};
}

ZoneId GatewayCore::ZoneOf(const Address& node) const {
  const auto found = std::find_if(
      view_.nodes().begin(), view_.nodes().end(),
      [&](const auto& entry) { return entry.second.peer_address == node; });
  return found == view_.nodes().end() ? ZoneId() : found->second.zone;
}

}  // namespace gcw
