#ifndef BENCH_ENDPOINT_MODEL_H_
#define BENCH_ENDPOINT_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "bench/block_cache.h"
#include "bench/event_queue.h"
#include "coordination/coordination.h"

namespace gcw::bench {

// Speed and capacity of a modelled engine.
struct EngineSettings {
  EndpointId id;
  Generation generation{1};
  // Maximum number of requests in one batch.
  std::int64_t batch_limit = 64;
  // Prefill rate, shared by all prompts in the batch.
  double prefill_tokens_per_second = 20000;
  // Maximum number of prompt tokens computed within one step.
  std::int64_t prefill_chunk_tokens = 512;
  // A step that generates one token for each of n requests takes base + n *
  // per_request.
  double decode_base_millis = 18;
  double decode_per_request_millis = 0.25;
  std::int64_t tokens_per_block = 16;
  std::size_t cache_blocks = 6144;
};

// A request as the engine sees it. Each hook may be empty. At most one of
// `on_finished` and `on_failed` is called, and no hook is called after
// `Cancel`.
struct EngineRequest {
  std::uint64_t id = 0;
  // Priority 0 is served first.
  std::int64_t priority = 0;
  std::int64_t prompt_tokens = 0;
  std::vector<PrefixBlock> prefix_blocks;
  std::int64_t generated_tokens = 0;
  // Receives the number of prompt tokens found in the cache.
  std::function<void(std::int64_t cached_tokens)> on_first_token;
  std::function<void()> on_finished;
  std::function<void()> on_failed;
};

// Simulates a model engine in virtual time: continuous batching with chunked
// prefill, a priority queue and a prefix cache of limited size.
class EndpointModel {
 public:
  using CacheHook =
      std::function<void(std::int64_t sequence, bool stored, PrefixBlock)>;
  using ReportHook = std::function<void(const LoadReport&)>;

  EndpointModel(EventQueue& events, EngineSettings settings);

  // Queues the request. If the engine is down, the request fails at once.
  void Submit(EngineRequest request);
  // Removes the request whether it is queued or running. Returns false if the
  // engine does not hold it.
  bool Cancel(std::uint64_t id);
  // Puts a running request back into the queue. It keeps its generated tokens,
  // but its prompt is computed again before it resumes.
  bool Preempt(std::uint64_t id);

  // Returns the current load.
  LoadReport Load() const;
  // Takes a load report every `period` and delivers it `lag` later, so that the
  // newest report a listener holds is between `lag` and `lag + period` old.
  void PublishLoad(Micros first, Micros period, Micros lag, ReportHook hook);
  void set_on_cache_event(CacheHook hook) { on_cache_event_ = std::move(hook); }

  // The hook is called for each token with the id of its request. It must not
  // change the engine.
  void set_on_token(std::function<void(std::uint64_t id)> hook) {
    on_token_ = std::move(hook);
  }

  // Steps take `factor` times as long: 1 is full speed, 4 a quarter of it.
  void set_slowdown(double factor) { slowdown_ = factor; }
  // Fails all queued and running requests and empties the cache. New requests
  // fail until the engine is up again.
  void GoDown();
  // Brings the engine back up, empty, as the next generation.
  void RestartAsNextGeneration();
  // Brings the engine back up, empty, as the same generation.
  void Restart();

  bool is_down() const { return is_down_; }
  const EngineSettings& settings() const { return settings_; }
  std::int64_t in_system() const;
  std::int64_t generated_tokens() const { return generated_tokens_; }

 private:
  struct Job {
    EngineRequest request;
    std::uint64_t order = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t prefill_left = 0;
    std::int64_t chunk = 0;
    std::int64_t generated = 0;
  };
  using JobPointer = std::unique_ptr<Job>;
  // Orders the queue by priority, then by arrival.
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;

  void Enqueue(JobPointer job);
  void StartStep();
  void Admit();
  double AssignPrefill();
  void EndStep(std::uint64_t epoch);
  // Advances the job by its part of a step. Returns true if a hook must be
  // called because the step generated the job's first or last token.
  bool Advance(Job& job);
  static bool IsDone(const Job& job);
  void CallHooks(std::uint64_t id);
  std::int64_t QueuedPromptTokens() const;

  EventQueue& events_;
  EngineSettings settings_;
  CacheHook on_cache_event_;
  std::function<void(std::uint64_t id)> on_token_;
  std::int64_t next_cache_sequence_ = 1;
  BlockCache cache_;
  std::map<QueueKey, JobPointer> queue_;
  std::vector<JobPointer> running_;
  std::uint64_t next_order_ = 0;
  // Distinguishes a step that was in progress when the engine went down from
  // later steps.
  std::uint64_t epoch_ = 0;
  bool is_stepping_ = false;
  bool is_down_ = false;
  double slowdown_ = 1;
  std::int64_t generated_tokens_ = 0;
};

}  // namespace gcw::bench

#endif  // BENCH_ENDPOINT_MODEL_H_
