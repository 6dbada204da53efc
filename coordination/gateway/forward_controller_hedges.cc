// Second attempts beside silent ones, and attempts that replace lost ones.
// Silence alone never ends an attempt: the endpoint may only have paused.

#include <algorithm>
#include <utility>

#include "coordination/gateway/forward_controller.h"

namespace gcw {
namespace {

bool MayHaveRun(ForwardEndKind end) {
  return end != ForwardEndKind::kNotRun && end != ForwardEndKind::kOtherVm &&
         end != ForwardEndKind::kNothingSent;
}

}  // namespace

bool ForwardController::IsHedgeable(Time now,
                                    const OpenRequest& open_request) const {
  const RetryPolicy policy = open_request.route->retry_policy;
  const bool streams = open_request.route->streams;
  // A trial shows whether the request crashes its endpoint, so it runs alone.
  if (open_request.second || open_request.is_trial ||
      policy == RetryPolicy::kNever || now < open_request.next_hedge ||
      open_request.refusals > settings_.max_refusals ||
      open_request.possible_runs + 1 >= open_request.max_runs ||
      now + settings_.min_time_left >= open_request.deadline) {
    return false;
  }
  const Duration silence = SilenceOf(now, open_request);
  if (!streams) {
    return silence >= settings_.service_hedge_delay && !open_request.has_head;
  }
  return (silence >= settings_.stream_hedge_delay &&
          selector_->IsInDoubt(open_request.attempt)) ||
         (silence >= settings_.lost_path_hedge_delay &&
          selector_->IsPathLost(open_request.attempt));
}

std::vector<ForwardId> ForwardController::FindHedgeable(Time now) {
  std::vector<ForwardId> hedgeable;
  for (const auto& [attempt, id] : by_attempt_) {
    OpenRequest& open_request = open_requests_.at(id);
    if (IsHedgeable(now, open_request)) {
      open_request.next_hedge = now + settings_.hedge_retry_interval;
      hedgeable.push_back(id);
    }
  }
  return hedgeable;
}

std::optional<SendForward> ForwardController::StartSecondAttempt(
    Time now,
    ForwardId id,
    const ForwardEnd& silent) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end() || found->second.second ||
      found->second.relay_node) {
    return std::nullopt;
  }
  OpenRequest& open_request = found->second;
  OpenRequest next = open_request;
  ++next.possible_runs;
  next.excluded.push_back(open_request.endpoint.vm);
  UpdateUrgency(now, next, silent.delivered);
  // The budget is asked first, because a place that is taken and given back
  // counts as a request of this node.
  if (!MayRunAgain(now, next, silent) ||
      crash_guard_->Judge(now, next.suspects).verdict > CrashVerdict::kApart ||
      !budget_->TrySpend(now, open_request.service)) {
    return std::nullopt;
  }
  const std::optional<std::int64_t> resume =
      silent.delivered ? silent.last_event : open_request.request.resume_after;
  // An endpoint that fell silent at the same moment is heard just as late as
  // this one, so only the second half of the silence counts.
  const Time heard_since = now - SilenceOf(now, open_request) / 2;
  Result<SendForward, RefusalKind> send =
      Dispatch(now, next, resume, heard_since);
  if (!IsOk(send)) {
    budget_->Refund(now, open_request.service);
    return std::nullopt;
  }
  open_request.sends = next.sends;
  open_request.urgency = next.urgency;
  open_request.second = {next.endpoint, next.address, next.attempt, now};
  EmitEvent(EventKind::kRequestHedged, open_request,
            {{"vm", next.endpoint.vm.value()},
             {"silent_vm", open_request.endpoint.vm.value()},
             {"silent_ms", SilenceOf(now, open_request).millis()},
             {"sends", open_request.sends},
             {"resume_after", resume.value_or(-1)}});
  return std::move(ValueOf(send));
}

void ForwardController::PromoteSecondAttempt(ForwardId id,
                                             OpenRequest& open_request) {
  const SecondAttempt second = *std::exchange(open_request.second, {});
  open_request.endpoint = second.endpoint;
  open_request.address = second.address;
  open_request.attempt = second.number;
  open_request.sent = second.sent;
  open_request.first_event.reset();
  open_request.has_head = false;
  open_request.are_parts_proven = false;
  by_attempt_[second.number] = id;
}

void ForwardController::CancelSecondAttempt(OpenRequest& open_request) {
  if (open_request.second) {
    selector_->OnCancelled(open_request.second->number);
    open_request.second.reset();
    ++open_request.possible_runs;
  }
}

void ForwardController::OnSecondAttemptWon(Time now, ForwardId id) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end() || !found->second.second) {
    return;
  }
  OpenRequest& open_request = found->second;
  const VmId silent = open_request.endpoint.vm;
  const Duration silence = SilenceOf(now, open_request);
  // A silent replica of a model is not known to have failed: the selector has
  // excluded it until it makes progress. A plain service is only backed off.
  if (open_request.route->streams) {
    selector_->OnCancelled(open_request.attempt);
  } else {
    selector_->OnEnded(now, open_request.attempt, ForwardEndKind::kSilent);
  }
  by_attempt_.erase(open_request.attempt);
  open_request.excluded.push_back(silent);
  ++open_request.possible_runs;
  PromoteSecondAttempt(id, open_request);
  EmitEvent(
      EventKind::kRequestRetried, open_request,
      {{"after", std::string(ForwardEndKindName(ForwardEndKind::kSilent))},
       {"vm", open_request.endpoint.vm.value()},
       {"failed_vm", silent.value()},
       {"silent_ms", silence.millis()},
       {"sends", open_request.sends}});
}

void ForwardController::OnSecondAttemptEnded(Time now,
                                             ForwardId id,
                                             const ForwardEnd& end) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end() || !found->second.second) {
    return;
  }
  OpenRequest& open_request = found->second;
  OpenRequest second = open_request;
  second.endpoint = open_request.second->endpoint;
  second.address = open_request.second->address;
  second.attempt = open_request.second->number;
  second.first_event.reset();
  second.are_parts_proven = false;
  RecordAttemptEnd(now, second, end);
  open_request.second.reset();
  open_request.excluded = std::move(second.excluded);
  open_request.has_reached_endpoint = second.has_reached_endpoint;
  open_request.possible_runs += MayHaveRun(end.kind) ? 1 : 0;
  open_request.refusals += MayHaveRun(end.kind) ? 0 : 1;
}

void ForwardController::OnSecondAttemptReport(Time now,
                                              ForwardId id,
                                              const EndpointReport& report) {
  const auto found = open_requests_.find(id);
  if (found != open_requests_.end() && found->second.second) {
    reachability_->OnContact(now);
    selector_->OnReport(now, found->second.second->number, report);
  }
}

ForwardStep ForwardController::OnFirstAttemptFailed(Time now,
                                                    ForwardId id,
                                                    OpenRequest& open_request,
                                                    const ForwardEnd& end) {
  const VmId failed = open_request.endpoint.vm;
  const Duration silence = SilenceOf(now, open_request);
  RecordAttemptEnd(now, open_request, end);
  if (end.kind == ForwardEndKind::kEndpointFailed) {
    ReportHarmless(now, open_request);
  }
  open_request.possible_runs += MayHaveRun(end.kind) ? 1 : 0;
  PromoteSecondAttempt(id, open_request);
  EmitEvent(EventKind::kRequestRetried, open_request,
            {{"after", std::string(ForwardEndKindName(end.kind))},
             {"vm", open_request.endpoint.vm.value()},
             {"failed_vm", failed.value()},
             {"silent_ms", silence.millis()},
             {"sends", open_request.sends}});
  return KeepSecondAttempt{};
}

bool ForwardController::MayWaitToResume(Time now,
                                        const OpenRequest& open_request,
                                        const ForwardEnd& end,
                                        RefusalKind lacking) const {
  const bool may_pass = lacking == RefusalKind::kNoCapacity ||
                        lacking == RefusalKind::kNoEndpoint ||
                        lacking == RefusalKind::kRetryBudget ||
                        lacking == RefusalKind::kEndpointLimit ||
                        lacking == RefusalKind::kEndpointCooldown;
  return may_pass && end.delivered && MayRunAgain(now, open_request, end) &&
         now - open_request.last_event < settings_.max_resume_wait;
}

std::vector<std::pair<ForwardId, ForwardStep>> ForwardController::ResumeWaiting(
    Time now) {
  std::vector<std::pair<ForwardId, ForwardStep>> steps;
  const std::set<ForwardId> waiting = resuming_;
  for (const ForwardId id : waiting) {
    OpenRequest& open_request = open_requests_.at(id);
    if (now < open_request.next_hedge) {
      continue;
    }
    open_request.next_hedge = now + settings_.hedge_retry_interval;
    const ForwardEnd end = *open_request.resume_from;
    Result<ForwardStep, RefusalKind> step = RefusalKind::kDeadline;
    if (MayRunAgain(now, open_request, end)) {
      step = Retry(now, open_request, end, true);
    }
    if (IsOk(step)) {
      resuming_.erase(id);
      open_request.resume_from.reset();
      if (std::holds_alternative<SendForward>(ValueOf(step))) {
        by_attempt_[open_request.attempt] = id;
      } else {
        relayed_.insert(id);
      }
      steps.emplace_back(id, std::move(ValueOf(step)));
    } else if (!MayWaitToResume(now, open_request, end, ErrorOf(step))) {
      steps.emplace_back(id, GiveUp(now, open_request, end, ErrorOf(step)));
      Remove(id);
    }
  }
  return steps;
}

std::vector<ForwardId> ForwardController::RunningRequests() const {
  std::vector<ForwardId> running;
  running.reserve(by_attempt_.size());
  for (const auto& [attempt, id] : by_attempt_) {
    running.push_back(id);
  }
  return running;
}

std::optional<ForwardStep>
ForwardController::FailOver(Time now, ForwardId id, const ForwardEnd& silent) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end() || now < found->second.next_hedge) {
    return std::nullopt;
  }
  OpenRequest& open_request = found->second;
  open_request.next_hedge = now + settings_.hedge_retry_interval;
  // Everything that the next attempt needs is taken before the running one is
  // given up.
  OpenRequest next = open_request;
  next.second.reset();
  next.relay_node.reset();
  next.possible_runs += open_request.relay_node ? open_request.relay_runs
                        : open_request.second   ? 2
                                                : 1;
  if (!open_request.relay_node) {
    next.excluded.push_back(open_request.endpoint.vm);
  }
  if (open_request.second) {
    next.excluded.push_back(open_request.second->endpoint.vm);
  }
  // A node that reaches no endpoint gains nothing by another attempt of its
  // own.
  if (!MayRunAgain(now, next, silent) ||
      !budget_->MaySpend(now, open_request.service) ||
      (reachability_->is_cut() && !FindRelay(now, next))) {
    return std::nullopt;
  }
  Result<ForwardStep, RefusalKind> step = Retry(now, next, silent, true);
  if (!IsOk(step)) {
    return std::nullopt;
  }
  if (open_request.relay_node) {
    relays_->OnFailed(now, *open_request.relay_node);
    EndRelay(id, open_request);
  } else {
    CancelSecondAttempt(open_request);
    RecordAttemptEnd(now, open_request, silent);
  }
  next.has_reached_endpoint = true;
  if (std::holds_alternative<RelayForward>(ValueOf(step))) {
    StopWaiting(next);
    next.is_trial = false;
  }
  Track(id, std::move(next), ValueOf(step));
  return std::move(ValueOf(step));
}

}  // namespace gcw
