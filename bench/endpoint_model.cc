#include "bench/endpoint_model.h"

#include <algorithm>
#include <utility>

namespace gcw::bench {

EndpointModel::EndpointModel(EventQueue& events, EngineSettings settings)
    : events_(events),
      settings_(std::move(settings)),
      cache_(settings_.cache_blocks, [this](bool stored, PrefixBlock block) {
        if (on_cache_event_) {
          on_cache_event_(next_cache_sequence_++, stored, block);
        }
      }) {}

void EndpointModel::Submit(EngineRequest request) {
  if (is_down_) {
    if (request.on_failed) {
      request.on_failed();
    }
    return;
  }
  auto job = std::make_unique<Job>();
  job->request = std::move(request);
  job->order = next_order_++;
  Enqueue(std::move(job));
  if (!is_stepping_) {
    StartStep();
  }
}

void EndpointModel::Enqueue(JobPointer job) {
  const QueueKey key{job->request.priority, job->order};
  queue_.emplace(key, std::move(job));
}

bool EndpointModel::Cancel(std::uint64_t id) {
  const auto in_queue = std::find_if(
      queue_.begin(), queue_.end(),
      [id](const auto& entry) { return entry.second->request.id == id; });
  if (in_queue != queue_.end()) {
    queue_.erase(in_queue);
    return true;
  }
  return std::erase_if(running_, [id](const JobPointer& job) {
           return job->request.id == id;
         }) > 0;
}

bool EndpointModel::Preempt(std::uint64_t id) {
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [id](const JobPointer& job) { return job->request.id == id; });
  if (found == running_.end()) {
    return false;
  }
  JobPointer job = std::move(*found);
  running_.erase(found);
  Enqueue(std::move(job));
  return true;
}

std::int64_t EndpointModel::in_system() const {
  return static_cast<std::int64_t>(queue_.size() + running_.size());
}

std::int64_t EndpointModel::QueuedPromptTokens() const {
  std::int64_t tokens = 0;
  for (const auto& [key, job] : queue_) {
    const auto& blocks = job->request.prefix_blocks;
    const auto cached = static_cast<std::int64_t>(cache_.MatchedBlocks(blocks));
    tokens += job->request.prompt_tokens - cached * settings_.tokens_per_block;
  }
  for (const JobPointer& job : running_) {
    tokens += job->prefill_left;
  }
  return tokens;
}

LoadReport EndpointModel::Load() const {
  const std::int64_t per_block = settings_.tokens_per_block;
  return {.endpoint = settings_.id,
          .generation = settings_.generation,
          .taken_at = events_.time(),
          .queued_requests = static_cast<std::int64_t>(queue_.size()),
          .running_requests = static_cast<std::int64_t>(running_.size()),
          .batch_limit = settings_.batch_limit,
          .queued_prompt_tokens = TokenCount(QueuedPromptTokens()),
          .cache_used =
              TokenCount(static_cast<std::int64_t>(cache_.size()) * per_block),
          .cache_capacity = TokenCount(
              static_cast<std::int64_t>(cache_.capacity()) * per_block)};
}

void EndpointModel::PublishLoad(Micros first,
                                Micros period,
                                Micros lag,
                                ReportHook hook) {
  events_.ScheduleAt(first, [this, first, period, lag, hook = std::move(hook)] {
    if (!is_down_) {
      events_.ScheduleAfter(lag, [hook, report = Load()] { hook(report); });
    }
    PublishLoad(first + period, period, lag, hook);
  });
}

void EndpointModel::GoDown() {
  is_down_ = true;
  is_stepping_ = false;
  ++epoch_;
  cache_.Clear();
  auto queued = std::exchange(queue_, {});
  auto running = std::exchange(running_, {});
  for (auto& [key, job] : queued) {
    running.push_back(std::move(job));
  }
  for (const JobPointer& job : running) {
    if (job->request.on_failed) {
      job->request.on_failed();
    }
  }
}

void EndpointModel::RestartAsNextGeneration() {
  ++settings_.generation;
  Restart();
}

void EndpointModel::Restart() {
  is_down_ = false;
  next_cache_sequence_ = 1;
}

void EndpointModel::StartStep() {
  Admit();
  is_stepping_ = !running_.empty();
  if (!is_stepping_) {
    return;
  }
  const double prefill_millis = AssignPrefill();
  const auto decoding = static_cast<double>(std::count_if(
      running_.begin(), running_.end(),
      [](const JobPointer& job) { return job->prefill_left == 0; }));
  const double millis = settings_.decode_base_millis +
                        settings_.decode_per_request_millis * decoding +
                        prefill_millis;
  const std::uint64_t epoch = epoch_;
  events_.ScheduleAfter(MicrosFromMillis(millis * slowdown_),
                        [this, epoch] { EndStep(epoch); });
}

void EndpointModel::Admit() {
  const auto limit = static_cast<std::size_t>(settings_.batch_limit);
  while (running_.size() < limit && !queue_.empty()) {
    JobPointer job = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    const auto blocks = static_cast<std::int64_t>(
        cache_.MatchedBlocks(job->request.prefix_blocks));
    // At least one prompt token must be computed to produce an answer.
    job->cached_tokens = std::min(blocks * settings_.tokens_per_block,
                                  job->request.prompt_tokens - 1);
    job->prefill_left = job->request.prompt_tokens - job->cached_tokens;
    running_.push_back(std::move(job));
  }
}

double EndpointModel::AssignPrefill() {
  std::int64_t room = settings_.prefill_chunk_tokens;
  for (const JobPointer& job : running_) {
    job->chunk = std::min(room, job->prefill_left);
    room -= job->chunk;
  }
  const auto used = static_cast<double>(settings_.prefill_chunk_tokens - room);
  return used * 1000.0 / settings_.prefill_tokens_per_second;
}

void EndpointModel::EndStep(std::uint64_t epoch) {
  if (epoch != epoch_) {
    return;
  }
  std::vector<std::uint64_t> reached;
  for (const JobPointer& job : running_) {
    if (Advance(*job)) {
      reached.push_back(job->request.id);
    }
  }
  for (const std::uint64_t id : reached) {
    CallHooks(id);
  }
  if (epoch == epoch_) {
    StartStep();
  }
}

bool EndpointModel::Advance(Job& job) {
  if (job.prefill_left > job.chunk) {
    job.prefill_left -= job.chunk;
    return false;
  }
  if (job.prefill_left > 0) {
    job.prefill_left = 0;
    cache_.UseOrStore(job.request.prefix_blocks);
  }
  job.chunk = 0;
  ++job.generated;
  ++generated_tokens_;
  if (on_token_) {
    on_token_(job.request.id);
  }
  return job.generated == 1 || IsDone(job);
}

bool EndpointModel::IsDone(const Job& job) {
  return job.generated >= job.request.generated_tokens;
}

// A hook may cancel any request or bring the engine down, so each request is
// looked up again before its hook is called.
void EndpointModel::CallHooks(std::uint64_t id) {
  const auto find = [this, id] {
    return std::find_if(
        running_.begin(), running_.end(),
        [id](const JobPointer& job) { return job->request.id == id; });
  };
  auto found = find();
  if (found == running_.end()) {
    return;
  }
  if (auto hook = std::exchange((*found)->request.on_first_token, {})) {
    hook((*found)->cached_tokens);
    found = find();
  }
  if (found == running_.end() || !IsDone(**found)) {
    return;
  }
  const JobPointer done = std::move(*found);
  running_.erase(found);
  if (done->request.on_finished) {
    done->request.on_finished();
  }
}

}  // namespace gcw::bench
