#include "coordination/gateway/forward_desk.h"

#include <algorithm>
#include <utility>

namespace gcw {

ForwardDesk::ForwardDesk(ForwardDeskSettings settings,
                         ReplicaSelector* selector,
                         SharedRetryBudget* budget,
                         Random random,
                         EventSink events)
    : settings_(settings),
      selector_(selector),
      budget_(budget),
      random_(std::move(random)),
      events_(std::move(events)),
      deferral_(settings.deferral) {}

ForwardBegun ForwardDesk::OnArrived(Time now,
                                    ForwardRequest request,
                                    std::shared_ptr<const RouteTable> routes) {
  ++last_id_;
  Open open;
  open.request = std::move(request);
  open.routes = std::move(routes);
  open.arrived = now;
  ForwardStep step = Admit(now, open);
  if (std::holds_alternative<SendForward>(step)) {
    by_attempt_[open.attempt] = last_id_;
    open_.emplace(last_id_, std::move(open));
  }
  return {last_id_, std::move(step)};
}

ForwardStep ForwardDesk::Admit(Time now, Open& open) {
  // A node without a configuration cannot tell an unknown route or key from one
  // that it has not received yet.
  if (!open.routes) {
    return Refuse(now, open, RefusalKind::kNotReady);
  }
  open.route = open.routes->Find(open.request.host, open.request.path);
  if (open.route == nullptr) {
    return Refuse(now, open, RefusalKind::kUnknownService);
  }
  const CustomerMatch* customer =
      open.request.key.empty() ? nullptr
                               : open.routes->FindCustomer(open.request.key);
  if (customer == nullptr && open.routes->needs_keys() &&
      !open.route->open_to_all) {
    return Refuse(now, open, RefusalKind::kUnknownKey);
  }
  open.rank = open.route->rank;
  if (customer != nullptr) {
    open.customer = customer->customer;
    open.rank = customer->rank.value_or(open.rank);
  }
  open.deadline =
      now + std::min(open.request.patience.value_or(open.route->time_limit),
                     open.route->time_limit);
  open.service = ChooseService(*open.route);
  if (HasModels(open)) {
    open.urgency = open.request.resume_after
                       ? Urgency::kDeferred
                       : deferral_.Grade(now, open.service, open.request.model,
                                         open.route->latency_objective);
  }
  budget_->OnRequest(now, open.service);
  Result<SendForward, RefusalKind> send =
      Send(now, open, open.request.resume_after);
  if (!IsOk(send)) {
    return Refuse(now, open, ErrorOf(send));
  }
  if (HasModels(open) && open.urgency == Urgency::kOnTime) {
    open.is_awaited = true;
    deferral_.OnWaits(open.service, open.request.model);
  }
  return std::move(ValueOf(send));
}

ServiceId ForwardDesk::ChooseService(const RouteRule& route) {
  std::int64_t total = 0;
  for (const ServiceShare& share : route.shares) {
    total += share.weight;
  }
  if (total <= 0) {
    return route.shares.front().service;
  }
  auto draw = static_cast<std::int64_t>(
      DrawBelow(random_, static_cast<std::uint64_t>(total)));
  for (const ServiceShare& share : route.shares) {
    draw -= share.weight;
    if (draw < 0) {
      return share.service;
    }
  }
  return route.shares.back().service;
}

Result<SendForward, RefusalKind>
ForwardDesk::Send(Time now, Open& open, std::optional<std::int64_t> resume) {
  const Result<ReplicaChoice, RefusalKind> choice =
      selector_->Choose(now, DemandOf(open), open.excluded);
  if (!IsOk(choice)) {
    return ErrorOf(choice);
  }
  const Replica& replica = ValueOf(choice).replica;
  open.vm = replica.vm;
  open.attempt = selector_->OnSent(now, replica.vm, open.request.prompt_tokens,
                                   open.route->streams);
  ++open.sends;
  SendForward send;
  send.vm = replica.vm;
  send.address = replica.address;
  send.customer = open.customer;
  send.time_left = open.deadline - now;
  send.resume_after = resume;
  send.fresh_connection = open.route->repetition == Repetition::kNever;
  send.streams = open.route->streams;
  if (HasModels(open)) {
    send.precedence = Precedence{open.rank, open.urgency};
  }
  return send;
}

bool ForwardDesk::HasModels(const Open& open) {
  const ServiceRule* service = open.routes->FindService(open.service);
  return service != nullptr && service->engine.has_value();
}

ReplicaDemand ForwardDesk::DemandOf(const Open& open) {
  ReplicaDemand demand;
  demand.service = open.service;
  demand.prompt_tokens = open.request.prompt_tokens;
  // A plain service has no models, even if the request names one.
  if (HasModels(open)) {
    demand.model = open.request.model;
    demand.urgency = open.urgency;
  }
  return demand;
}

void ForwardDesk::NoteBeginning(Time now, Open& open) {
  EndWait(open);
  if (!open.has_begun && HasModels(open)) {
    deferral_.OnBegan(now, open.service, open.request.model);
  }
  open.has_begun = true;
}

void ForwardDesk::EndWait(Open& open) {
  if (std::exchange(open.is_awaited, false)) {
    deferral_.OnWaitOver(open.service, open.request.model);
  }
}

ForwardStep ForwardDesk::OnEnded(Time now,
                                 ForwardId id,
                                 const ForwardEnd& end) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return ForwardCut{};
  }
  Open& open = found->second;
  selector_->OnEnded(now, open.attempt, end.kind);
  by_attempt_.erase(open.attempt);
  open.excluded.push_back(open.vm);
  if (!end.at_fault.empty() && end.at_fault != open.vm) {
    open.excluded.push_back(end.at_fault);
  }
  ForwardStep step = NextStep(now, open, end);
  if (std::holds_alternative<SendForward>(step)) {
    by_attempt_[open.attempt] = id;
    return step;
  }
  EndWait(open);
  open_.erase(found);
  return step;
}

ForwardStep ForwardDesk::NextStep(Time now, Open& open, const ForwardEnd& end) {
  switch (end.kind) {
    case ForwardEndKind::kSucceeded:
      return PassAnswer{};
    case ForwardEndKind::kFailedThere: {
      ++open.runs;
      if (end.is_callers_fault || !MayRunAgain(now, open, end)) {
        return PassAnswer{};
      }
      // If no other endpoint is available, the failure itself is the most
      // accurate answer.
      Result<SendForward, RefusalKind> send = SendAgain(now, open, end, true);
      return IsOk(send) ? ForwardStep(std::move(ValueOf(send)))
                        : ForwardStep(PassAnswer{});
    }
    case ForwardEndKind::kNotRun:
    case ForwardEndKind::kOtherVm:
      return SendAgainOrGiveUp(now, open, end, true);
    case ForwardEndKind::kNothingSent:
      return SendAgainOrGiveUp(now, open, end, false);
    case ForwardEndKind::kBroke:
    case ForwardEndKind::kSilent:
      ++open.runs;
      return MayRunAgain(now, open, end)
                 ? SendAgainOrGiveUp(now, open, end, true)
                 : GiveUp(now, open, end, RefusalKind::kNoEndpoint);
    case ForwardEndKind::kOutOfTime:
      ++open.runs;
      return GiveUp(now, open, end, RefusalKind::kDeadline);
  }
  return ForwardCut{};
}

ForwardStep ForwardDesk::SendAgainOrGiveUp(Time now,
                                           Open& open,
                                           const ForwardEnd& end,
                                           bool arrived_there) {
  Result<SendForward, RefusalKind> send =
      SendAgain(now, open, end, arrived_there);
  if (!IsOk(send)) {
    return GiveUp(now, open, end, ErrorOf(send));
  }
  return std::move(ValueOf(send));
}

bool ForwardDesk::MayRunAgain(Time now,
                              const Open& open,
                              const ForwardEnd& end) const {
  if (open.route->repetition == Repetition::kNever ||
      open.runs >= open.route->most_attempts ||
      now + settings_.least_time >= open.deadline) {
    return false;
  }
  return !end.delivered ||
         (open.route->repetition == Repetition::kResume && end.last_event);
}

Result<SendForward, RefusalKind> ForwardDesk::SendAgain(Time now,
                                                        Open& open,
                                                        const ForwardEnd& end,
                                                        bool arrived_there) {
  const bool refused = end.kind == ForwardEndKind::kNotRun ||
                       end.kind == ForwardEndKind::kOtherVm ||
                       end.kind == ForwardEndKind::kNothingSent;
  if (refused && ++open.refusals > settings_.most_refusals) {
    return RefusalKind::kEndpointRefused;
  }
  if (now + settings_.least_time >= open.deadline) {
    return RefusalKind::kDeadline;
  }
  const std::optional<std::int64_t> resume =
      end.delivered ? end.last_event : open.request.resume_after;
  if (end.delivered) {
    open.urgency = now - open.last_event < open.route->pause_objective
                       ? Urgency::kResumed
                       : Urgency::kDeferred;
  } else if (now - open.arrived >= open.route->latency_objective) {
    open.urgency = Urgency::kDeferred;
  }
  Result<SendForward, RefusalKind> send = Send(now, open, resume);
  if (!IsOk(send)) {
    return ErrorOf(send);
  }
  // A retry counts against the budget only if the attempt before it may have
  // reached an endpoint.
  if (arrived_there && !budget_->Spend(now, open.service)) {
    selector_->OnCancelled(open.attempt);
    return RefusalKind::kRetryBudget;
  }
  Report(EventKind::kRequestRetried, open,
         {{"after", std::string(ForwardEndKindName(end.kind))},
          {"vm", open.vm.value()},
          {"sends", open.sends},
          {"resume_after", resume.value_or(-1)}});
  return send;
}

ForwardStep ForwardDesk::GiveUp(Time now,
                                const Open& open,
                                const ForwardEnd& end,
                                RefusalKind reason) {
  if (end.delivered) {
    Report(EventKind::kRequestOutcomeUnknown, open,
           {{"end", std::string(ForwardEndKindName(end.kind))},
            {"reason", std::string(RefusalKindName(reason))},
            {"vm", open.vm.value()},
            {"sends", open.sends},
            {"answer", std::string("cut")}});
    return ForwardCut{};
  }
  if (open.runs == 0) {
    return Refuse(now, open, reason);
  }
  Report(EventKind::kRequestOutcomeUnknown, open,
         {{"end", std::string(ForwardEndKindName(end.kind))},
          {"reason", std::string(RefusalKindName(reason))},
          {"vm", open.vm.value()},
          {"sends", open.sends},
          {"waited_ms", (now - open.arrived).millis()}});
  return ForwardUnknown{end.kind == ForwardEndKind::kOutOfTime};
}

ForwardStep ForwardDesk::Refuse(Time now, const Open& open, RefusalKind kind) {
  const bool helps =
      kind != RefusalKind::kUnknownKey && kind != RefusalKind::kUnknownService;
  const Duration retry_after = helps ? RetryAfter() : Duration();
  Report(EventKind::kRequestRefused, open,
         {{"reason", std::string(RefusalKindName(kind))},
          {"sends", open.sends},
          {"waited_ms", (now - open.arrived).millis()},
          {"retry_after_ms", retry_after.millis()}});
  return ForwardRefused{kind, retry_after};
}

Duration ForwardDesk::RetryAfter() {
  const double spread =
      1 + settings_.retry_spread * (2 * DrawUnit(random_) - 1);
  return Duration::Millis(static_cast<std::int64_t>(
      static_cast<double>(settings_.retry_after.millis()) * spread));
}

void ForwardDesk::OnProgress(Time now, ForwardId id) {
  const auto found = open_.find(id);
  if (found != open_.end()) {
    NoteBeginning(now, found->second);
    found->second.last_event = now;
    selector_->OnProgress(now, found->second.attempt);
  }
}

void ForwardDesk::OnLoad(Time now, ForwardId id, const LoadReading& load) {
  const auto found = open_.find(id);
  if (found != open_.end()) {
    selector_->OnLoad(now, found->second.vm, load);
  }
}

void ForwardDesk::OnCallerGone(Time, ForwardId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  EndWait(found->second);
  selector_->OnCancelled(found->second.attempt);
  by_attempt_.erase(found->second.attempt);
  open_.erase(found);
}

std::vector<ForwardId> ForwardDesk::MovableOf(
    Time now,
    const std::vector<AttemptNumber>& stuck) {
  std::vector<ForwardId> movable;
  for (const AttemptNumber attempt : stuck) {
    const auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) {
      continue;
    }
    const Open& open = open_.at(found->second);
    const bool may_repeat = open.route->repetition != Repetition::kNever &&
                            open.runs + 1 < open.route->most_attempts &&
                            now + settings_.least_time < open.deadline;
    const std::vector<VmId> excluded = {open.vm};
    if (may_repeat && IsOk(selector_->Choose(now, DemandOf(open), excluded))) {
      movable.push_back(found->second);
    }
  }
  return movable;
}

void ForwardDesk::Report(EventKind kind,
                         const Open& open,
                         std::vector<EventField> fields) {
  if (open.route != nullptr) {
    fields.push_back({"route", open.route->name});
    fields.push_back({"version", open.routes->configuration().version.value()});
  }
  events_({kind, open.request.id.value(), {}, std::move(fields)});
}

}  // namespace gcw
