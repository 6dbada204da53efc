#include "programs/gcw_standin/standin_engine.h"

#include <algorithm>
#include <utility>

namespace gcw {

StandinEngine::StandinEngine(Settings settings, const Faults& faults)
    : settings_(std::move(settings)),
      faults_(&faults),
      events_(settings_.events),
      member_(settings_.member),
      batch_(settings_.batch, [this](CacheEventKind kind, std::uint64_t block) {
        events_.Append(now_, kind, block);
      }) {}

EngineOrderResult StandinEngine::OnOrder(Time now, const EngineOrder& order) {
  now_ = now;
  const ModelId old_model = member_.own().model;
  OrderOutcome outcome = member_.OnOrder(now, order, faults_->ignore_fence);
  EngineOrderResult result{std::move(outcome.reply), {}};
  Apply(outcome.actions, result.actions);
  if (member_.own().model != old_model) {
    batch_.ClearCache();
  }
  return result;
}

std::vector<EngineAction> StandinEngine::OnChat(Time now,
                                                Ticket ticket,
                                                EngineCall call) {
  now_ = now;
  if (const auto reason = FindRefusal(call)) {
    return {RefuseCall{ticket, *reason}};
  }
  Held held;
  held.call = std::move(call);
  held.prompt = PromptOf(held.call.chat);
  held.prompt_hash = HashOf(held.prompt);
  batch_.Add(now, MakeBatchRequest(ticket, held));
  held_.emplace(ticket, std::move(held));
  return {};
}

void StandinEngine::Forget(Ticket ticket) {
  batch_.Cancel(ticket);
  held_.erase(ticket);
}

bool StandinEngine::OnCancel(const AttemptId& attempt,
                             std::vector<EngineAction>& actions) {
  const auto found = std::find_if(
      held_.begin(), held_.end(),
      [&](const auto& item) { return item.second.call.attempt == attempt; });
  if (found == held_.end()) {
    return false;
  }
  const Ticket ticket = found->first;
  Forget(ticket);
  actions.emplace_back(BreakAnswer{ticket});
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
  if (next_report_ <= now) {
    TakeLoadReport(now);
  }
  return actions;
}

EngineStatus StandinEngine::Status(Time now) const {
  EngineStatus status = member_.Status(now);
  status.active = static_cast<std::int64_t>(held_.size());
  return status;
}

LoadReport StandinEngine::Load(Time now) const {
  return reports_.empty() ? LoadReport{}
                          : reports_.At(now - faults_->lag).value;
}

CacheEventBatch StandinEngine::CacheEvents(Time now, std::int64_t after) const {
  return events_.Read(now, after, faults_->lag);
}

std::optional<NotRunReason> StandinEngine::FindRefusal(
    const EngineCall& call) const {
  if (!member_.IsServing()) {
    return NotRunReason::kNotServing;
  }
  const EngineStatus& own = member_.own();
  if (call.generation && *call.generation != own.generation) {
    return NotRunReason::kOtherGeneration;
  }
  if (call.chat.model != own.model) {
    return NotRunReason::kOtherModel;
  }
  if (batch_.queued() >= settings_.queue_limit) {
    return NotRunReason::kQueueFull;
  }
  return std::nullopt;
}

BatchRequest StandinEngine::MakeBatchRequest(Ticket ticket,
                                             const Held& held) const {
  BatchRequest request;
  request.ticket = ticket;
  request.priority = held.call.priority;
  request.blocks = PrefixBlocks(held.prompt);
  request.prompt_tokens = PromptTokens(held.prompt).value();
  request.end_token = held.call.chat.max_tokens.value();
  request.next_token = std::min(held.call.resume_from, request.end_token);
  request.deadline = held.call.deadline;
  return request;
}

void StandinEngine::Apply(const BatchEvent& event,
                          std::vector<EngineAction>& actions) {
  std::visit(
      Overloaded{
          [&](const BatchStarted& started) {
            const auto held = held_.find(started.ticket);
            if (held != held_.end()) {
              executions_.Count(held->second.call.attempt.value(),
                                held->second.prompt);
            }
          },
          [&](const BatchToken& token) { ApplyToken(token, actions); },
          [&](const BatchEnded& ended) { Finish(ended.ticket, actions); },
          [&](const BatchExpired& expired) {
            held_.erase(expired.ticket);
            actions.emplace_back(
                RefuseCall{expired.ticket, NotRunReason::kDeadline});
          }},
      event);
}

void StandinEngine::ApplyToken(const BatchToken& token,
                               std::vector<EngineAction>& actions) {
  const auto found = held_.find(token.ticket);
  if (found == held_.end()) {
    return;
  }
  Held& held = found->second;
  const std::int64_t cut_after = faults_->cut_stream_after;
  if (cut_after > 0 && held.tokens_sent >= cut_after) {
    actions.emplace_back(BreakAnswer{token.ticket});
    Forget(token.ticket);
    return;
  }
  ++held.tokens_sent;
  std::string text = ReferenceToken(held.prompt_hash, token.index);
  if (!held.call.chat.stream) {
    held.text += text;
    return;
  }
  actions.emplace_back(SendToken{
      token.ticket, {held.call.attempt, token.index, std::move(text)}});
}

void StandinEngine::Finish(Ticket ticket, std::vector<EngineAction>& actions) {
  const auto found = held_.find(ticket);
  if (found == held_.end()) {
    return;
  }
  Held held = std::move(found->second);
  held_.erase(found);
  ChatAnswer answer{.attempt = held.call.attempt,
                    .model = held.call.chat.model,
                    .text = std::move(held.text),
                    .prompt_tokens = PromptTokens(held.prompt),
                    .generated_tokens = TokenCount(held.tokens_sent)};
  actions.emplace_back(FinishAnswer{ticket, std::move(answer)});
}

void StandinEngine::Apply(const std::vector<MemberAction>& member_actions,
                          std::vector<EngineAction>& actions) {
  for (const MemberAction& action : member_actions) {
    std::visit(
        Overloaded{[&](const BreakAnswers&) { BreakAll(actions); },
                   [&](const auto& other) { actions.emplace_back(other); }},
        action);
  }
}

void StandinEngine::BreakAll(std::vector<EngineAction>& actions) {
  for (const auto& [ticket, held] : held_) {
    actions.emplace_back(BreakAnswer{ticket});
  }
  held_.clear();
  batch_.DropRequests();
}

void StandinEngine::TakeLoadReport(Time now) {
  next_report_ = now + settings_.load_report_period;
  LoadReport report;
  report.endpoint = EndpointId(member_.own().group.value());
  report.generation = member_.own().generation;
  report.taken_at = now;
  report.queued_requests = batch_.queued();
  report.running_requests = batch_.running();
  report.batch_limit = batch_.settings().batch_limit;
  report.queued_prompt_tokens = TokenCount(batch_.queued_prompt_tokens());
  report.cache_used = TokenCount(batch_.cache_used());
  report.cache_capacity = TokenCount(batch_.cache_capacity());
  reports_.Put(now, std::move(report));
}

}  // namespace gcw
