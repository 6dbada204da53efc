#include "programs/gcw_standin/standin_engine.h"

#include <algorithm>
#include <utility>

namespace gcw {

StandinEngine::StandinEngine(Settings settings, const Faults& faults)
    : settings_(std::move(settings)),
      faults_(&faults),
      cache_events_(settings_.events),
      member_(settings_.member),
      batch_(settings_.batch, [this](CacheEventKind kind, std::uint64_t block) {
        cache_events_.Append(now_, kind, block);
      }) {}

EngineOrderResult StandinEngine::OnOrder(Time now, const EngineOrder& order) {
  now_ = now;
  const ModelId old_model = member_.local_status().model;
  OrderOutcome outcome = member_.OnOrder(now, order, faults_->ignore_fence);
  EngineOrderResult result{std::move(outcome.reply), {}};
  Apply(outcome.actions, result.actions);
  if (member_.local_status().model != old_model) {
    batch_.ClearCache();
  }
  return result;
}

std::vector<EngineAction> StandinEngine::OnChat(Time now,
                                                Ticket ticket,
                                                EngineCall call) {
  now_ = now;
  if (const auto reason = FindRefusal(call)) {
    return {RejectCall{ticket, *reason}};
  }
  PendingRequest pending;
  pending.call = std::move(call);
  pending.prompt = BuildPrompt(pending.call.chat);
  pending.prompt_hash = Xxh3Hash(pending.prompt);
  batch_.Add(now, MakeBatchRequest(ticket, pending));
  pending_requests_.emplace(ticket, std::move(pending));
  return {};
}

void StandinEngine::DropRequest(Ticket ticket) {
  batch_.Cancel(ticket);
  pending_requests_.erase(ticket);
}

bool StandinEngine::OnCancel(const AttemptId& attempt,
                             std::vector<EngineAction>& actions) {
  const auto found = std::find_if(
      pending_requests_.begin(), pending_requests_.end(),
      [&](const auto& item) { return item.second.call.attempt == attempt; });
  if (found == pending_requests_.end()) {
    return false;
  }
  const Ticket ticket = found->first;
  DropRequest(ticket);
  actions.emplace_back(AbortAnswer{ticket});
  return true;
}

std::vector<EngineAction> StandinEngine::OnMemberStatus(
    Time now,
    const EngineStatus& status) {
  now_ = now;
  std::vector<EngineAction> actions;
  Apply(member_.OnMemberStatus(now, status), actions);
  return actions;
}

void StandinEngine::OnWeights(Time now, Generation generation) {
  member_.OnWeights(now, generation);
}

std::vector<EngineAction> StandinEngine::Tick(Time now) {
  now_ = now;
  std::vector<EngineAction> actions;
  Apply(member_.Tick(now), actions);
  for (const BatchEvent& event : batch_.Tick(now)) {
    Apply(event, actions);
  }
  if (next_load_report_ <= now) {
    RecordLoadReport(now);
  }
  return actions;
}

EngineStatus StandinEngine::Status(Time now) const {
  EngineStatus status = member_.Status(now);
  status.active = static_cast<std::int64_t>(pending_requests_.size());
  return status;
}

LoadReport StandinEngine::DelayedLoadReport(Time now) const {
  return load_reports_.empty() ? LoadReport{}
                               : load_reports_.At(now - faults_->lag).value;
}

CacheEventBatch StandinEngine::CacheEvents(Time now, std::int64_t after) const {
  return cache_events_.Read(now, after, faults_->lag);
}

std::optional<NotRunReason> StandinEngine::FindRefusal(
    const EngineCall& call) const {
  if (!member_.IsServing()) {
    return NotRunReason::kNotServing;
  }
  const EngineStatus& status = member_.local_status();
  if (call.generation && *call.generation != status.generation) {
    return NotRunReason::kOtherGeneration;
  }
  if (call.chat.model != status.model) {
    return NotRunReason::kOtherModel;
  }
  if (batch_.queued() >= settings_.queue_limit) {
    return NotRunReason::kQueueFull;
  }
  return std::nullopt;
}

BatchRequest StandinEngine::MakeBatchRequest(
    Ticket ticket,
    const PendingRequest& pending) const {
  BatchRequest request;
  request.ticket = ticket;
  request.priority = pending.call.priority;
  request.blocks = PrefixBlocks(pending.prompt);
  request.prompt_tokens = EstimatePromptTokens(pending.prompt).value();
  request.end_token = pending.call.chat.max_tokens.value();
  request.next_token = std::min(pending.call.resume_from, request.end_token);
  request.deadline = pending.call.deadline;
  return request;
}

void StandinEngine::Apply(const BatchEvent& event,
                          std::vector<EngineAction>& actions) {
  std::visit(
      Overloaded{[&](const BatchStarted& started) {
                   const auto pending = pending_requests_.find(started.ticket);
                   if (pending != pending_requests_.end()) {
                     executions_.Count(pending->second.call.attempt.value(),
                                       pending->second.prompt);
                   }
                 },
                 [&](const BatchToken& token) { ApplyToken(token, actions); },
                 [&](const BatchEnded& ended) {
                   FinishRequest(ended.ticket, actions);
                 },
                 [&](const BatchExpired& expired) {
                   pending_requests_.erase(expired.ticket);
                   actions.emplace_back(
                       RejectCall{expired.ticket, NotRunReason::kDeadline});
                 }},
      event);
}

void StandinEngine::ApplyToken(const BatchToken& token,
                               std::vector<EngineAction>& actions) {
  const auto found = pending_requests_.find(token.ticket);
  if (found == pending_requests_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  const std::int64_t cut_after = faults_->cut_stream_after;
  if (cut_after > 0 && pending.tokens_sent >= cut_after) {
    actions.emplace_back(AbortAnswer{token.ticket});
    DropRequest(token.ticket);
    return;
  }
  ++pending.tokens_sent;
  std::string text = ReferenceToken(pending.prompt_hash, token.index);
  if (!pending.call.chat.stream) {
    pending.text += text;
    return;
  }
  actions.emplace_back(SendToken{
      token.ticket, {pending.call.attempt, token.index, std::move(text)}});
}

void StandinEngine::FinishRequest(Ticket ticket,
                                  std::vector<EngineAction>& actions) {
  const auto found = pending_requests_.find(ticket);
  if (found == pending_requests_.end()) {
    return;
  }
  PendingRequest pending = std::move(found->second);
  pending_requests_.erase(found);
  ChatAnswer answer{.attempt = pending.call.attempt,
                    .model = pending.call.chat.model,
                    .text = std::move(pending.text),
                    .prompt_tokens = EstimatePromptTokens(pending.prompt),
                    .generated_tokens = TokenCount(pending.tokens_sent)};
  actions.emplace_back(FinishAnswer{ticket, std::move(answer)});
}

void StandinEngine::Apply(const std::vector<MemberAction>& member_actions,
                          std::vector<EngineAction>& actions) {
  for (const MemberAction& action : member_actions) {
    std::visit(
        Overloaded{[&](const AbortAnswers&) { AbortAll(actions); },
                   [&](const auto& other) { actions.emplace_back(other); }},
        action);
  }
}

void StandinEngine::AbortAll(std::vector<EngineAction>& actions) {
  for (const auto& [ticket, pending] : pending_requests_) {
    actions.emplace_back(AbortAnswer{ticket});
  }
  pending_requests_.clear();
  batch_.DropRequests();
}

void StandinEngine::RecordLoadReport(Time now) {
  next_load_report_ = now + settings_.load_report_interval;
  LoadReport report;
  report.endpoint = EndpointId(member_.local_status().group.value());
  report.generation = member_.local_status().generation;
  report.taken_at = now;
  report.queued_requests = batch_.queued();
  report.running_requests = batch_.running();
  report.batch_limit = batch_.settings().batch_limit;
  report.queued_prompt_tokens = TokenCount(batch_.queued_prompt_tokens());
  report.cache_used = TokenCount(batch_.cache_used());
  report.cache_capacity = TokenCount(batch_.cache_capacity());
  load_reports_.Append(now, std::move(report));
}

}  // namespace gcw
