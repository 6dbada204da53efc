#include "coordination/gateway/forward_controller.h"

#include <algorithm>
#include <string>
#include <utility>

namespace gcw {

ForwardController::ForwardController(ForwardControllerSettings settings,
                                     const Parts& parts,
                                     Random random,
                                     EventSink events)
    : settings_(settings),
      selector_(parts.selector),
      budget_(parts.budget),
      crash_guard_(parts.crash_guard),
      run_locks_(parts.run_locks),
      relays_(parts.relays),
      reachability_(parts.reachability),
      on_model_request_(parts.on_model_request),
      random_(std::move(random)),
      events_(std::move(events)),
      deferral_policy_(settings.deferral),
      returning_callers_(settings.overload.returning_callers),
      ranked_admission_(settings.deferral, settings.overload.ranked_admission),
      customer_shares_(settings.overload.customer_shares),
      run_times_(settings.run_times) {}

ForwardAdmission ForwardController::OnArrived(
    Time now,
    ForwardRequest request,
    std::shared_ptr<const RouteTable> routes) {
  ++last_id_;
  OpenRequest open_request;
  open_request.id = last_id_;
  open_request.request = std::move(request);
  open_request.routes = std::move(routes);
  open_request.arrived = now;
  if (const auto& terms = open_request.request.relay) {
    open_request.arrived = now - terms->age;
    open_request.excluded = terms->excluded;
  }
  ForwardStep step = Admit(now, last_id_, open_request);
  Track(last_id_, std::move(open_request), step);
  return {last_id_, std::move(step)};
}

void ForwardController::Track(ForwardId id,
                              OpenRequest open_request,
                              const ForwardStep& step) {
  const bool is_open = std::holds_alternative<SendForward>(step) ||
                       std::holds_alternative<RelayForward>(step) ||
                       std::holds_alternative<AwaitDecision>(step);
  if (!is_open) {
    Remove(id);
    return;
  }
  if (std::holds_alternative<SendForward>(step)) {
    by_attempt_[open_request.attempt] = id;
  } else if (std::holds_alternative<RelayForward>(step)) {
    relayed_.insert(id);
  }
  const bool is_accepted_relay = open_request.request.relay.has_value();
  const bool is_new =
      open_requests_.insert_or_assign(id, std::move(open_request)).second;
  accepted_relays_ += is_new && is_accepted_relay ? 1 : 0;
}

void ForwardController::Remove(ForwardId id) {
  run_locks_->OnEnded(id);
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) {
    return;
  }
  EndRelay(id, found->second);
  resuming_.erase(id);
  CancelSecondAttempt(found->second);
  accepted_relays_ -= found->second.request.relay ? 1 : 0;
  open_requests_.erase(found);
}

ForwardStep ForwardController::Admit(Time now,
                                     ForwardId id,
                                     OpenRequest& open_request) {
  // A node without a configuration cannot tell an unknown route or key from one
  // that it has not received yet.
  if (!open_request.routes) {
    return Refuse(now, open_request, RefusalKind::kNotReady);
  }
  open_request.route = open_request.routes->Find(open_request.request.host,
                                                 open_request.request.path);
  if (open_request.route == nullptr) {
    return Refuse(now, open_request, RefusalKind::kUnknownService);
  }
  const CustomerMatch* customer =
      open_request.request.key.empty()
          ? nullptr
          : open_request.routes->FindCustomer(open_request.request.key);
  if (customer == nullptr && open_request.routes->needs_keys() &&
      !open_request.route->allows_anonymous) {
    return Refuse(now, open_request, RefusalKind::kUnknownKey);
  }
  open_request.rank = open_request.route->rank;
  if (customer != nullptr) {
    open_request.customer = customer->customer;
    open_request.rank = customer->rank.value_or(open_request.rank);
  }
  open_request.fingerprint = MakeFingerprint(open_request);
  open_request.deadline =
      now + std::min(open_request.request.caller_timeout.value_or(
                         open_request.route->time_limit),
                     open_request.route->time_limit);
  open_request.service = ChooseService(*open_request.route);
  if (!FitsIntoDrain(now, open_request)) {
    return Refuse(now, open_request, RefusalKind::kDraining);
  }
  AddSuspects(open_request);
  open_request.max_runs = open_request.route->max_attempts;
  const std::optional<RelayTerms>& relay = open_request.request.relay;
  if (relay) {
    open_request.max_runs = std::min(open_request.max_runs, relay->max_runs);
  }
  if (HasModels(open_request)) {
    open_request.is_ranked = IsRanked(open_request);
    open_request.urgency = relay && relay->urgency ? *relay->urgency
                           : open_request.request.resume_after
                               ? Urgency::kDeferred
                               : ClassifyArrival(now, open_request);
  }
  // The node that a relayed request arrived at has counted it.
  if (!relay) {
    budget_->OnRequest(now, open_request.service);
    if (HasModels(open_request)) {
      on_model_request_(open_request.request.model, open_request.rank,
                        open_request.request.prompt_tokens);
    }
  }
  return DispatchOrWait(now, id, open_request);
}

ForwardStep ForwardController::DispatchFirst(Time now,
                                             OpenRequest& open_request) {
  Result<ForwardStep, RefusalKind> step =
      Place(now, open_request, open_request.request.resume_after,
            reachability_->is_cut());
  if (!IsOk(step)) {
    return Refuse(now, open_request, ErrorOf(step));
  }
  if (std::holds_alternative<SendForward>(ValueOf(step)) &&
      HasModels(open_request)) {
    StartWaiting(open_request);
  }
  return std::move(ValueOf(step));
}

ServiceId ForwardController::ChooseService(const RouteRule& route) {
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

Result<SendForward, RefusalKind> ForwardController::Dispatch(
    Time now,
    OpenRequest& open_request,
    std::optional<std::int64_t> resume,
    std::optional<Time> heard_since) {
  ReplicaDemand demand = MakeDemand(open_request);
  demand.apart = KeepApart(now, open_request);
  demand.heard_since = heard_since;
  const Result<ReplicaChoice, RefusalKind> choice =
      selector_->Choose(now, demand, open_request.excluded);
  if (!IsOk(choice)) {
    return ErrorOf(choice);
  }
  const Replica& replica = ValueOf(choice).replica;
  open_request.endpoint = {replica.vm, replica.incarnation, replica.zone};
  open_request.address = replica.address;
  open_request.first_event.reset();
  open_request.has_head = false;
  open_request.sent = now;
  open_request.are_parts_proven = false;
  open_request.attempt =
      selector_->OnSent(now, replica.vm, open_request.request.prompt_tokens,
                        open_request.route->streams);
  ++open_request.sends;
  if (open_request.is_trial) {
    crash_guard_->OnTrialSent(open_request.restricting.fingerprint,
                              open_request.endpoint);
  }
  SendForward send;
  send.vm = replica.vm;
  send.address = replica.address;
  send.customer = open_request.customer;
  send.time_left = open_request.deadline - now;
  send.resume_after = resume;
  // A stream that was lost once must not hang on an idle connection that has
  // died unnoticed too.
  send.fresh_connection =
      open_request.route->retry_policy == RetryPolicy::kNever ||
      (open_request.route->streams && open_request.possible_runs > 0);
  send.streams = open_request.route->streams;
  send.is_repeatable = open_request.route->retry_policy != RetryPolicy::kNever;
  if (HasModels(open_request)) {
    send.precedence = Precedence{open_request.rank, open_request.urgency};
  }
  return send;
}

bool ForwardController::HasModels(const OpenRequest& open_request) {
  const ServiceRule* service =
      open_request.routes->FindService(open_request.service);
  return service != nullptr && service->engine.has_value();
}

ReplicaDemand ForwardController::MakeDemand(const OpenRequest& open_request) {
  ReplicaDemand demand;
  demand.service = open_request.service;
  demand.prompt_tokens = open_request.request.prompt_tokens;
  // A plain service has no models, even if the request names one.
  if (HasModels(open_request)) {
    demand.model = open_request.request.model;
    demand.urgency = open_request.urgency;
  }
  return demand;
}

Duration ForwardController::SilenceOf(Time now,
                                      const OpenRequest& open_request) {
  return now - std::max(open_request.sent, open_request.last_event);
}

ForwardStep ForwardController::OnEnded(Time now,
                                       ForwardId id,
                                       const ForwardEnd& end) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) {
    return ForwardTruncated{};
  }
  OpenRequest& open_request = found->second;
  // The caller gets the endpoint's answer, or its time is over.
  const bool is_final =
      end.kind == ForwardEndKind::kSucceeded ||
      end.kind == ForwardEndKind::kDeadlineExceeded ||
      (end.kind == ForwardEndKind::kEndpointFailed && end.is_client_error);
  if (open_request.second && !is_final) {
    return OnFirstAttemptFailed(now, id, open_request, end);
  }
  CancelSecondAttempt(open_request);
  ForwardStep step = open_request.relay_node
                         ? OnRelayEnded(now, id, open_request, end)
                         : OnAttemptEnded(now, open_request, end);
  if (std::holds_alternative<SendForward>(step)) {
    by_attempt_[open_request.attempt] = id;
    return step;
  }
  StopWaiting(open_request);
  if (open_request.is_trial && IsTrialUnused(open_request, end)) {
    crash_guard_->OnTrialUnused(now, open_request.restricting.fingerprint);
  }
  if (std::holds_alternative<RelayForward>(step)) {
    open_request.is_trial = false;
    relayed_.insert(id);
    return step;
  }
  if (open_request.awaits_trial) {
    if (crash_guard_->Wait(now, id, open_request.restricting)) {
      return step;
    }
    step = GiveUp(now, open_request, end, RefusalKind::kFingerprintBlocked);
  } else if (std::holds_alternative<AwaitDecision>(step)) {
    resuming_.insert(id);
    return step;
  }
  Remove(id);
  return step;
}

ForwardStep ForwardController::OnAttemptEnded(Time now,
                                              OpenRequest& open_request,
                                              const ForwardEnd& end) {
  RecordAttemptEnd(now, open_request, end);
  return NextStep(now, open_request, end);
}

void ForwardController::RecordAttemptEnd(Time now,
                                         OpenRequest& open_request,
                                         const ForwardEnd& end) {
  selector_->OnEnded(now, open_request.attempt, end.kind);
  ReportReachability(now, open_request, end);
  ReportBreak(now, open_request, end);
  const bool has_reached_endpoint = end.kind != ForwardEndKind::kNothingSent;
  open_request.has_reached_endpoint |= has_reached_endpoint;
  open_request.has_trial_reached_endpoint |=
      open_request.is_trial && has_reached_endpoint;
  by_attempt_.erase(open_request.attempt);
  open_request.excluded.push_back(open_request.endpoint.vm);
  if (!end.at_fault.empty() && end.at_fault != open_request.endpoint.vm) {
    open_request.excluded.push_back(end.at_fault);
  }
}

void ForwardController::ReportReachability(Time now,
                                           const OpenRequest& open_request,
                                           const ForwardEnd& end) {
  switch (end.kind) {
    case ForwardEndKind::kSucceeded:
    case ForwardEndKind::kEndpointFailed:
    case ForwardEndKind::kNotRun:
    case ForwardEndKind::kOtherVm:
      reachability_->OnContact(now);
      return;
    case ForwardEndKind::kNothingSent:
    case ForwardEndKind::kConnectionBroken:
    case ForwardEndKind::kSilent:
      reachability_->OnFailure(now, open_request.endpoint.vm);
      return;
    case ForwardEndKind::kDeadlineExceeded:
      return;
  }
}

ForwardStep ForwardController::NextStep(Time now,
                                        OpenRequest& open_request,
                                        const ForwardEnd& end) {
  switch (end.kind) {
    case ForwardEndKind::kSucceeded:
      ReportHarmless(now, open_request);
      RecordRunTime(now, open_request);
      return PassAnswer{};
    case ForwardEndKind::kEndpointFailed: {
      ++open_request.possible_runs;
      ReportHarmless(now, open_request);
      if (end.is_client_error || !MayRunAgain(now, open_request, end)) {
        return PassAnswer{};
      }
      // If no other endpoint is available, the failure itself is the most
      // accurate answer.
      Result<ForwardStep, RefusalKind> retry =
          Retry(now, open_request, end, true);
      return IsOk(retry) ? std::move(ValueOf(retry))
                         : ForwardStep(PassAnswer{});
    }
    case ForwardEndKind::kNotRun:
    case ForwardEndKind::kOtherVm:
      return RetryOrGiveUp(now, open_request, end, true);
    case ForwardEndKind::kNothingSent:
      return RetryOrGiveUp(now, open_request, end, false);
    case ForwardEndKind::kConnectionBroken:
    case ForwardEndKind::kSilent:
      ++open_request.possible_runs;
      return MayRunAgain(now, open_request, end)
                 ? RetryOrGiveUp(now, open_request, end, true)
                 : GiveUp(now, open_request, end, RefusalKind::kNoEndpoint);
    case ForwardEndKind::kDeadlineExceeded:
      ++open_request.possible_runs;
      return GiveUp(now, open_request, end, RefusalKind::kDeadline);
  }
  return ForwardTruncated{};
}

ForwardStep ForwardController::RetryOrGiveUp(Time now,
                                             OpenRequest& open_request,
                                             const ForwardEnd& end,
                                             bool may_have_reached_endpoint) {
  Result<ForwardStep, RefusalKind> retry =
      Retry(now, open_request, end, may_have_reached_endpoint);
  if (!IsOk(retry) && MayWaitToResume(now, open_request, end, ErrorOf(retry))) {
    open_request.resume_from = end;
    // Only the end itself counts as a refusal.
    open_request.resume_from->kind = ForwardEndKind::kConnectionBroken;
    open_request.next_hedge = now + settings_.hedge_retry_interval;
    EmitEvent(EventKind::kRequestQueued, open_request,
              {{"end", std::string(ForwardEndKindName(end.kind))},
               {"reason", std::string(RefusalKindName(ErrorOf(retry)))},
               {"vm", open_request.endpoint.vm.value()},
               {"sends", open_request.sends}});
    return AwaitDecision{};
  }
  if (!IsOk(retry) && MayWaitForTrial(now, open_request, ErrorOf(retry))) {
    open_request.restricting =
        crash_guard_->Judge(now, open_request.suspects).suspect;
    open_request.resume_from = end;
    open_request.awaits_trial = true;
    return AwaitDecision{};
  }
  if (!IsOk(retry)) {
    return GiveUp(now, open_request, end, ErrorOf(retry));
  }
  return std::move(ValueOf(retry));
}

bool ForwardController::MayRunAgain(Time now,
                                    const OpenRequest& open_request,
                                    const ForwardEnd& end) const {
  if (open_request.route->retry_policy == RetryPolicy::kNever ||
      open_request.possible_runs >= open_request.max_runs ||
      now + settings_.min_time_left >= open_request.deadline) {
    return false;
  }
  return !end.delivered ||
         (open_request.route->retry_policy == RetryPolicy::kResume &&
          end.last_event);
}

Result<ForwardStep, RefusalKind> ForwardController::Retry(
    Time now,
    OpenRequest& open_request,
    const ForwardEnd& end,
    bool may_have_reached_endpoint) {
  const bool refused = end.kind == ForwardEndKind::kNotRun ||
                       end.kind == ForwardEndKind::kOtherVm ||
                       end.kind == ForwardEndKind::kNothingSent;
  const bool has_failed_often =
      refused && ++open_request.refusals > settings_.max_refusals;
  if (has_failed_often && end.kind != ForwardEndKind::kNothingSent) {
    return RefusalKind::kEndpointRefused;
  }
  if (now + settings_.min_time_left >= open_request.deadline) {
    return RefusalKind::kDeadline;
  }
  // A stream that has begun is worth each further event.
  if (!end.delivered && !FitsIntoDrain(now, open_request)) {
    return RefusalKind::kDraining;
  }
  // A trial is one attempt, and any other request stops after the crash that
  // makes trials necessary.
  const bool may_send =
      open_request.is_trial
          ? !may_have_reached_endpoint
          : crash_guard_->Judge(now, open_request.suspects).verdict <=
                CrashVerdict::kApart;
  if (!may_send) {
    return RefusalKind::kFingerprintBlocked;
  }
  return Resend(now, open_request, end, may_have_reached_endpoint,
                has_failed_often);
}

Result<ForwardStep, RefusalKind> ForwardController::Resend(
    Time now,
    OpenRequest& open_request,
    const ForwardEnd& end,
    bool may_have_reached_endpoint,
    bool has_failed_often) {
  const std::optional<std::int64_t> resume =
      end.delivered ? end.last_event : open_request.request.resume_after;
  UpdateUrgency(now, open_request, end.delivered);
  const VmId failed = open_request.endpoint.vm;
  const Duration silence = SilenceOf(now, open_request);
  Result<ForwardStep, RefusalKind> step = RefusalKind::kEndpointRefused;
  if (!has_failed_often) {
    // Each further endpoint that is out of reach costs the timeout of a new
    // connection.
    const bool prefers_relay =
        reachability_->is_cut() || (end.kind == ForwardEndKind::kNothingSent &&
                                    reachability_->is_suspected());
    step = Place(now, open_request, resume, prefers_relay);
  } else if (auto relay = Relay(now, open_request, resume)) {
    step = ForwardStep(*std::move(relay));
  }
  if (!IsOk(step)) {
    return ErrorOf(step);
  }
  // A retry counts against the budget only if the attempt before it may have
  // reached an endpoint.
  if (may_have_reached_endpoint &&
      !budget_->TrySpend(now, open_request.service)) {
    CancelPlacement(open_request, ValueOf(step));
    return RefusalKind::kRetryBudget;
  }
  if (!may_have_reached_endpoint) {
    budget_->OnUncounted(open_request.service);
  }
  EmitEvent(EventKind::kRequestRetried, open_request,
            {{"after", std::string(ForwardEndKindName(end.kind))},
             {"vm", open_request.endpoint.vm.value()},
             {"failed_vm", failed.value()},
             {"silent_ms", silence.millis()},
             {"sends", open_request.sends},
             {"is_counted", may_have_reached_endpoint},
             {"resume_after", resume.value_or(-1)}});
  return step;
}

void ForwardController::CancelPlacement(OpenRequest& open_request,
                                        const ForwardStep& step) {
  if (std::holds_alternative<SendForward>(step)) {
    selector_->OnCancelled(open_request.attempt);
    return;
  }
  relays_->OnEnded(*open_request.relay_node);
  open_request.relay_node.reset();
}

void ForwardController::UpdateUrgency(Time now,
                                      OpenRequest& open_request,
                                      bool is_delivered) {
  if (is_delivered) {
    open_request.urgency =
        now - open_request.last_event < open_request.route->event_gap_objective
            ? Urgency::kResumed
            : Urgency::kDeferred;
  } else if (now - open_request.arrived + open_request.returned_after >=
             open_request.route->latency_objective) {
    open_request.urgency = Urgency::kDeferred;
  }
}

ForwardStep ForwardController::GiveUp(Time now,
                                      const OpenRequest& open_request,
                                      const ForwardEnd& end,
                                      RefusalKind reason) {
  if (end.delivered) {
    EmitEvent(EventKind::kRequestOutcomeUnknown, open_request,
              {{"end", std::string(ForwardEndKindName(end.kind))},
               {"reason", std::string(RefusalKindName(reason))},
               {"vm", open_request.endpoint.vm.value()},
               {"silent_ms", SilenceOf(now, open_request).millis()},
               {"sends", open_request.sends},
               {"runs", open_request.possible_runs},
               {"answer", std::string("cut")}});
    return ForwardTruncated{};
  }
  if (open_request.possible_runs == 0) {
    return Refuse(now, open_request, reason);
  }
  EmitEvent(EventKind::kRequestOutcomeUnknown, open_request,
            {{"end", std::string(ForwardEndKindName(end.kind))},
             {"reason", std::string(RefusalKindName(reason))},
             {"vm", open_request.endpoint.vm.value()},
             {"silent_ms", SilenceOf(now, open_request).millis()},
             {"sends", open_request.sends},
             {"runs", open_request.possible_runs},
             {"waited_ms", (now - open_request.arrived).millis()}});
  return ForwardOutcomeUnknown{end.kind == ForwardEndKind::kDeadlineExceeded};
}

ForwardStep ForwardController::Refuse(Time now,
                                      const OpenRequest& open_request,
                                      RefusalKind kind) {
  const bool retry_helps =
      kind != RefusalKind::kUnknownKey && kind != RefusalKind::kUnknownService;
  const Duration retry_after =
      retry_helps ? RetryAfter(now, open_request, kind) : Duration();
  std::vector<EventField> fields = {
      {"reason", std::string(RefusalKindName(kind))},
      {"sends", open_request.sends},
      {"waited_ms", (now - open_request.arrived).millis()},
      {"retry_after_ms", retry_after.millis()}};
  if (open_request.deferral) {
    fields.push_back(
        {"deferred", std::string(DeferralReasonName(*open_request.deferral))});
    fields.push_back({"rank", open_request.rank.value()});
  }
  EmitEvent(EventKind::kRequestRefused, open_request, std::move(fields));
  return ForwardRefused{kind, retry_after, !open_request.has_reached_endpoint};
}

void ForwardController::SetNodeCount(std::size_t nodes) {
  node_count_ = static_cast<double>(std::max<std::size_t>(1, nodes));
}

Duration ForwardController::RetryAfter(Time now,
                                       const OpenRequest& open_request,
                                       RefusalKind kind) {
  if (kind == RefusalKind::kFingerprintBlocked) {
    return crash_guard_->RetryAfter(now, open_request.restricting.fingerprint);
  }
  if (kind == RefusalKind::kEndpointLimit) {
    return LimitedReturn(now, MakeDemand(open_request));
  }
  Duration delay = settings_.retry_after;
  if (kind == RefusalKind::kEndpointCooldown) {
    const Duration cooldown =
        selector_->FirstCooldownEnd(now, MakeDemand(open_request)) - now;
    delay = std::clamp(cooldown, delay, settings_.limited_returns.max_delay);
  }
  const double factor =
      1 + settings_.retry_jitter * (2 * DrawUnit(random_) - 1);
  return Duration::Millis(
      static_cast<std::int64_t>(static_cast<double>(delay.millis()) * factor));
}

Duration ForwardController::LimitedReturn(Time now,
                                          const ReplicaDemand& demand) {
  RetryAfterPlanner& returns =
      limited_returns_
          .try_emplace({demand.service, demand.model},
                       settings_.limited_returns, random_)
          .first->second;
  // Callers return to any node, so each node plans for its part of the rate.
  returns.SetReturnRate(selector_->LimitedRate(demand).per_second() /
                        node_count_);
  return returns.Plan(now, RefusalKind::kEndpointLimit);
}

void ForwardController::OnProgress(Time now, ForwardId id) {
  const auto found = open_requests_.find(id);
  if (found != open_requests_.end()) {
    RecordStart(now, found->second);
    found->second.last_event = now;
    OpenRequest& open_request = found->second;
    CancelSecondAttempt(open_request);
    if (!open_request.first_event) {
      open_request.first_event = now;
    }
    ReportHarmlessProgress(now, open_request);
    if (!open_request.relay_node) {
      reachability_->OnContact(now);
      selector_->OnProgress(now, found->second.attempt);
    }
  }
}

void ForwardController::OnReport(Time now,
                                 ForwardId id,
                                 const EndpointReport& report) {
  const auto found = open_requests_.find(id);
  if (found != open_requests_.end()) {
    found->second.has_head = true;
    reachability_->OnContact(now);
    selector_->OnReport(now, found->second.attempt, report);
  }
}

void ForwardController::OnCallerGone(Time now, ForwardId id) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) {
    return;
  }
  StopWaiting(found->second);
  crash_guard_->OnWaitCancelled(id);
  if (found->second.is_trial &&
      IsPartFingerprint(found->second.restricting.fingerprint)) {
    crash_guard_->OnTrialUnused(now, found->second.restricting.fingerprint);
  }
  if (!found->second.relay_node) {
    selector_->OnCancelled(found->second.attempt);
    by_attempt_.erase(found->second.attempt);
  }
  Remove(id);
}

void ForwardController::EmitEvent(EventKind kind,
                                  const OpenRequest& open_request,
                                  std::vector<EventField> fields) {
  if (open_request.route != nullptr) {
    fields.push_back({"route", open_request.route->name});
    fields.push_back(
        {"version", open_request.routes->configuration().version.value()});
  }
  fields.push_back({"fingerprint", open_request.fingerprint.value()});
  const EventId cause =
      kind == EventKind::kRequestRefused
          ? crash_guard_->CauseOfRefusal(open_request.restricting.fingerprint)
          : EventId();
  events_({kind, open_request.request.id.value(), cause, std::move(fields)});
}

}  // namespace gcw
