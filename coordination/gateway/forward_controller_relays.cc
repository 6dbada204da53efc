// Requests that are passed on to other nodes, because this node does not reach
// endpoints that others reach.

#include <algorithm>
#include <utility>

#include "coordination/gateway/forward_controller.h"

namespace gcw {
namespace {

// Whether another node may still serve a request that a node refused so.
bool MayServeElsewhere(RefusalKind refusal) {
  switch (refusal) {
    case RefusalKind::kNoEndpoint:
    case RefusalKind::kEndpointRefused:
    case RefusalKind::kNotReady:
    case RefusalKind::kDraining:
    case RefusalKind::kQueueFull:
    case RefusalKind::kUnknownKey:
    case RefusalKind::kUnknownService:
      return true;
    default:
      return false;
  }
}

}  // namespace

Result<ForwardStep, RefusalKind> ForwardController::Place(
    Time now,
    OpenRequest& open_request,
    std::optional<std::int64_t> resume,
    bool prefers_relay) {
  if (prefers_relay) {
    if (auto relay = Relay(now, open_request, resume)) {
      return ForwardStep(*std::move(relay));
    }
  }
  Result<SendForward, RefusalKind> send = Dispatch(now, open_request, resume);
  if (IsOk(send)) {
    return ForwardStep(std::move(ValueOf(send)));
  }
  if (ErrorOf(send) == RefusalKind::kNoEndpoint && !prefers_relay) {
    if (auto relay = Relay(now, open_request, resume)) {
      return ForwardStep(*std::move(relay));
    }
  }
  return ErrorOf(send);
}

std::optional<Address> ForwardController::FindRelay(
    Time now,
    const OpenRequest& open_request) const {
  // A request is passed on once, so that no two nodes can pass it to and fro.
  if (open_request.request.relay ||
      open_request.relays.size() >= settings_.max_relays ||
      open_request.possible_runs >= open_request.max_runs ||
      now + settings_.min_time_left >= open_request.deadline) {
    return std::nullopt;
  }
  // Another node would wait for a trial of its own.
  if (open_request.is_trial && !reachability_->is_cut()) {
    return std::nullopt;
  }
  const ReplicaDemand demand = MakeDemand(open_request);
  std::optional<Time> failing_since = selector_->FailingSince(now, demand);
  if (!failing_since && reachability_->is_cut()) {
    failing_since = reachability_->last_contact();
  }
  if (!failing_since) {
    return std::nullopt;
  }
  relays_->OnDemand(now);
  return relays_->Choose(now, demand.service, demand.model, *failing_since,
                         open_request.relays);
}

std::optional<RelayForward> ForwardController::Relay(
    Time now,
    OpenRequest& open_request,
    std::optional<std::int64_t> resume) {
  const std::optional<Address> node = FindRelay(now, open_request);
  if (!node) {
    return std::nullopt;
  }
  RelayForward relay;
  relay.node = *node;
  relay.time_left = open_request.deadline - now;
  relay.resume_after = resume;
  relay.fresh_connection =
      open_request.route->retry_policy == RetryPolicy::kNever;
  relay.streams = open_request.route->streams;
  relay.is_repeatable = open_request.route->retry_policy != RetryPolicy::kNever;
  // One run is kept back for the case that the other node is lost.
  const std::int64_t runs_left =
      open_request.max_runs - open_request.possible_runs;
  relay.terms.max_runs = std::max<std::int64_t>(1, runs_left - 1);
  relay.terms.age = now - open_request.arrived;
  relay.terms.excluded = open_request.excluded;
  // The other node cannot recognize a caller that returned.
  const bool is_returned = open_request.deferral == DeferralReason::kReturned;
  if ((resume || open_request.sends > 0 || is_returned) &&
      HasModels(open_request)) {
    relay.terms.urgency = open_request.urgency;
  }
  relays_->OnStarted(*node);
  open_request.relay_node = node;
  open_request.relays.push_back(*node);
  open_request.relayed_at = now;
  open_request.sent = now;
  open_request.are_parts_proven = false;
  open_request.relay_runs = relay.terms.max_runs;
  open_request.first_event.reset();
  open_request.endpoint = EndpointRun();
  EmitEvent(EventKind::kRequestRelayed, open_request,
            {{"node", node->value()},
             {"sends", open_request.sends},
             {"resume_after", resume.value_or(-1)}});
  return relay;
}

void ForwardController::EndRelay(ForwardId id, OpenRequest& open_request) {
  if (open_request.relay_node) {
    relays_->OnEnded(*open_request.relay_node);
    open_request.relay_node.reset();
    relayed_.erase(id);
  }
}

ForwardStep ForwardController::OnRelayEnded(Time now,
                                            ForwardId id,
                                            OpenRequest& open_request,
                                            const ForwardEnd& end) {
  const Address node = *open_request.relay_node;
  const std::int64_t runs = open_request.relay_runs;
  EndRelay(id, open_request);
  switch (end.kind) {
    case ForwardEndKind::kSucceeded:
      ReportHarmless(now, open_request);
      RecordRunTime(now, open_request);
      return PassAnswer{};
    case ForwardEndKind::kEndpointFailed:
      // The other node has tried further endpoints.
      open_request.possible_runs += runs;
      return PassAnswer{};
    case ForwardEndKind::kNotRun:
    case ForwardEndKind::kOtherVm:
      if (end.refusal && !MayServeElsewhere(*end.refusal)) {
        return GiveUp(now, open_request, end, *end.refusal);
      }
      [[fallthrough]];
    case ForwardEndKind::kNothingSent: {
      relays_->OnFailed(now, node);
      Result<ForwardStep, RefusalKind> next = Place(
          now, open_request,
          end.delivered ? end.last_event : open_request.request.resume_after,
          true);
      if (!IsOk(next)) {
        return GiveUp(now, open_request, end, ErrorOf(next));
      }
      // An endpoint that rejected it through the other node has received it.
      const bool is_counted =
          end.kind != ForwardEndKind::kNothingSent && !end.is_unsent;
      if (is_counted && !budget_->TrySpend(now, open_request.service)) {
        CancelPlacement(open_request, ValueOf(next));
        return GiveUp(now, open_request, end, RefusalKind::kRetryBudget);
      }
      if (!is_counted) {
        budget_->OnUncounted(open_request.service);
      }
      EmitEvent(EventKind::kRequestRetried, open_request,
                {{"after", std::string(ForwardEndKindName(end.kind))},
                 {"node", node.value()},
                 {"vm", open_request.endpoint.vm.value()},
                 {"sends", open_request.sends},
                 {"is_counted", is_counted}});
      return std::move(ValueOf(next));
    }
    case ForwardEndKind::kConnectionBroken:
    case ForwardEndKind::kSilent:
      relays_->OnFailed(now, node);
      open_request.possible_runs += runs;
      return MayRunAgain(now, open_request, end)
                 ? RetryOrGiveUp(now, open_request, end, true)
                 : GiveUp(now, open_request, end, RefusalKind::kNoEndpoint);
    case ForwardEndKind::kDeadlineExceeded:
      open_request.possible_runs += runs;
      return GiveUp(now, open_request, end, RefusalKind::kDeadline);
  }
  return ForwardTruncated{};
}

void ForwardController::OnRelayedReport(Time now,
                                        ForwardId id,
                                        const VmId& endpoint,
                                        const EndpointReport& report) {
  const auto found = open_requests_.find(id);
  if (found != open_requests_.end()) {
    selector_->OnRelayedReport(now, endpoint, found->second.relayed_at, report);
  }
}

std::vector<ForwardId> ForwardController::FindLostRelays(Time now) const {
  std::vector<ForwardId> lost;
  for (const ForwardId id : relayed_) {
    const OpenRequest& open_request = open_requests_.at(id);
    const Time last =
        std::max(open_request.relayed_at, open_request.last_event);
    if (now - last >= settings_.relay_silence_timeout &&
        !relays_->IsAlive(now, *open_request.relay_node)) {
      lost.push_back(id);
    }
  }
  return lost;
}

}  // namespace gcw
