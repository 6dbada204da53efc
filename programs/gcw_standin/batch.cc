#include "programs/gcw_standin/batch.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;
// After a pause of the process, older steps than these are skipped.
constexpr std::int64_t kMaxStepsPerTick = 5;

}  // namespace

Batch::Batch(Settings settings, PrefixCache::EventCallback on_cache_event)
    : settings_(settings),
      cache_(settings.cache_blocks, std::move(on_cache_event)) {}

void Batch::Add(Time now, BatchRequest request) {
  if (IsIdle()) {
    next_step_ = now + settings_.step;
  }
  const std::int64_t priority = request.priority;
  queue_.emplace(priority, std::move(request));
}

bool Batch::Cancel(Ticket ticket) {
  const auto has_ticket = [ticket](const auto& item) {
    return item.second.ticket == ticket;
  };
  const auto queued = std::find_if(queue_.begin(), queue_.end(), has_ticket);
  if (queued != queue_.end()) {
    queue_.erase(queued);
    return true;
  }
  return std::erase_if(running_, [ticket](const Running& running) {
           return running.request.ticket == ticket;
         }) > 0;
}

void Batch::DropRequests() {
  queue_.clear();
  running_.clear();
}

void Batch::ClearCache() {
  cache_.Clear();
}

std::vector<BatchEvent> Batch::Tick(Time now) {
  std::vector<BatchEvent> events;
  next_step_ =
      std::max(next_step_, now - settings_.step * (kMaxStepsPerTick - 1));
  while (!IsIdle() && next_step_ <= now) {
    Step(next_step_, events);
    next_step_ = next_step_ + settings_.step;
  }
  return events;
}

std::int64_t Batch::queued() const {
  return static_cast<std::int64_t>(queue_.size());
}

std::int64_t Batch::running() const {
  return static_cast<std::int64_t>(running_.size());
}

std::int64_t Batch::queued_prompt_tokens() const {
  std::int64_t tokens = 0;
  for (const auto& [priority, request] : queue_) {
    tokens += request.prompt_tokens;
  }
  for (const Running& running : running_) {
    tokens += running.prefill_left;
  }
  return tokens;
}

std::int64_t Batch::cache_used() const {
  return static_cast<std::int64_t>(cache_.size()) * kTokensPerBlock;
}

std::int64_t Batch::cache_capacity() const {
  return static_cast<std::int64_t>(cache_.capacity()) * kTokensPerBlock;
}

void Batch::Step(Time now, std::vector<BatchEvent>& events) {
  DropExpired(now, events);
  Admit(events);
  Prefill();
  Decode(events);
}

void Batch::DropExpired(Time now, std::vector<BatchEvent>& events) {
  for (auto item = queue_.begin(); item != queue_.end();) {
    const BatchRequest& request = item->second;
    if (!request.deadline || now < *request.deadline) {
      ++item;
      continue;
    }
    events.emplace_back(BatchExpired{request.ticket});
    item = queue_.erase(item);
  }
}

void Batch::Admit(std::vector<BatchEvent>& events) {
  while (running() < settings_.batch_limit && !queue_.empty()) {
    BatchRequest request = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    events.emplace_back(BatchStarted{request.ticket});
    const auto cached =
        static_cast<std::int64_t>(cache_.MatchPrefix(request.blocks));
    const std::int64_t tokens =
        request.prompt_tokens + request.next_token - cached * kTokensPerBlock;
    running_.push_back({std::move(request), std::max<std::int64_t>(tokens, 0)});
  }
}

void Batch::Prefill() {
  std::int64_t budget = settings_.prefill_tokens_per_second *
                        settings_.step.millis() / kMillisPerSecond;
  for (Running& running : running_) {
    if (running.prefill_left == 0) {
      continue;
    }
    const std::int64_t spent = std::min(budget, running.prefill_left);
    running.prefill_left -= spent;
    budget -= spent;
    if (running.prefill_left == 0) {
      cache_.Store(running.request.blocks);
    }
  }
}

void Batch::Decode(std::vector<BatchEvent>& events) {
  for (Running& running : running_) {
    BatchRequest& request = running.request;
    if (running.prefill_left > 0) {
      continue;
    }
    if (request.next_token < request.end_token) {
      events.emplace_back(BatchToken{request.ticket, request.next_token});
      ++request.next_token;
    }
    if (request.next_token >= request.end_token) {
      events.emplace_back(BatchEnded{request.ticket});
    }
  }
  std::erase_if(running_, [](const Running& running) {
    return running.prefill_left == 0 &&
           running.request.next_token >= running.request.end_token;
  });
}

}  // namespace gcw
