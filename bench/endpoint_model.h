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

// How fast a modelled engine is and how much it holds.
struct EngineSettings {
  EndpointId id;
  Generation generation{1};
  // Most requests in one batch.
  std::int64_t batch_limit = 64;
  // Shared by all prompts in the batch.
  double prefill_tokens_per_second = 20000;
  // Most prompt tokens computed within one step.
  std::int64_t prefill_chunk_tokens = 512;
  // A step that generates one token for each of n requests takes base + n *
  // per_request.
  double decode_base_millis = 18;
  double decode_per_request_millis = 0.25;
  std::int64_t tokens_per_block = 16;
  std::size_t cache_blocks = 6144;
};

// One request as the engine sees it. Each hook may be empty; at most one of
// `on_finished` and `on_failed` is called, and none after `Cancel`.
struct EngineRequest {
  std::uint64_t id = 0;
  // 0 is served first.
  std::int64_t priority = 0;
  std::int64_t prompt_tokens = 0;
  std::vector<PrefixBlock> prefix_blocks;
  std::int64_t generated_tokens = 0;
  // Gets the number of prompt tokens found in the cache.
  std::function<void(std::int64_t cached_tokens)> on_first_token;
  std::function<void()> on_finished;
  std::function<void()> on_failed;
};

// The small stand-in for a model engine in virtual time: continuous batching
// with chunked prefill, a queue by priority, a limited prefix cache.
class EndpointModel {
 public:
  using CacheHook =
      std::function<void(std::int64_t sequence, bool stored, PrefixBlock)>;
  using ReportHook = std::function<void(const LoadReport&)>;

  EndpointModel(EventQueue& events, EngineSettings settings);

  // Fails the request at once while the engine is down.
  void Submit(EngineRequest request);
  // Drops the request wherever it stands. False where it is not here.
  bool Cancel(std::uint64_t id);
  // Puts a running request back into the queue; it goes on later with the
  // tokens it has, after its prompt was computed again.
  bool Preempt(std::uint64_t id);

  // The load at this moment.
  LoadReport Load() const;
  // Takes a report each `period` and delivers it `lag` later, so that what a
  // listener holds is between `lag` and `lag + period` old.
  void PublishLoad(Micros first, Micros period, Micros lag, ReportHook hook);
  void set_on_cache_event(CacheHook hook) { on_cache_event_ = std::move(hook); }

  // Called for each token with its request's id; must not change the engine.
  void set_on_token(std::function<void(std::uint64_t id)> hook) {
    on_token_ = std::move(hook);
  }

  // 1 is full speed; 4 takes four times as long.
  void set_slowdown(double factor) { slowdown_ = factor; }
  // Fails everything here and empties the cache; new requests fail.
  void GoDown();
  // Comes back empty as the next generation.
  void ComeBack();
  // Comes back empty as the same generation.
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
  // The queue's order: priority, then arrival.
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;

  void Enqueue(JobPointer job);
  void StartStep();
  void Admit();
  double AssignPrefill();
  void EndStep(std::uint64_t epoch);
  // True when a hook is due: the first token or the last.
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
  // Tells a step that was under way when the engine went down from later ones.
  std::uint64_t epoch_ = 0;
  bool is_stepping_ = false;
  bool is_down_ = false;
  double slowdown_ = 1;
  std::int64_t generated_tokens_ = 0;
};

}  // namespace gcw::bench

#endif  // BENCH_ENDPOINT_MODEL_H_
