#ifndef PROGRAMS_GCW_STANDIN_BATCH_H_
#define PROGRAMS_GCW_STANDIN_BATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "programs/gcw_standin/prefix_cache.h"
#include "programs/gcw_standin/ticket.h"
#include "state/state.h"

namespace gcw {

struct BatchRequest {
  Ticket ticket;
  // A lower number is served first.
  std::int64_t priority = 0;
  std::vector<std::uint64_t> blocks;
  std::int64_t prompt_tokens = 0;
  // The batch generates the tokens from `next_token` up to, but not including,
  // `end_token`.
  std::int64_t next_token = 0;
  std::int64_t end_token = 0;
  // A request that is still queued at this time is dropped.
  std::optional<Time> deadline;
};

// The request left the queue and started to run.
struct BatchStarted {
  Ticket ticket;
};
struct BatchToken {
  Ticket ticket;
  std::int64_t index = 0;
};
struct BatchEnded {
  Ticket ticket;
};
// The deadline passed while the request was queued; it did not run.
struct BatchExpired {
  Ticket ticket;
};

using BatchEvent =
    std::variant<BatchStarted, BatchToken, BatchEnded, BatchExpired>;

// Simulates continuous batching in discrete steps. Each step admits requests by
// priority, computes prompts within a token budget, and generates one token for
// each request whose prompt is computed.
class Batch {
 public:
  struct Settings {
    std::int64_t batch_limit = 32;
    std::int64_t prefill_tokens_per_second = 20000;
    // Time of one step, which generates one token per running request.
    Duration step = Duration::Millis(20);
    std::size_t cache_blocks = 4096;
  };

  // Number of prompt tokens that need no computation per cached block.
  static constexpr std::int64_t kTokensPerBlock = 16;

  Batch(Settings settings, PrefixCache::EventCallback on_cache_event);

  void Add(Time now, BatchRequest request);
  // Returns whether the request was queued or running.
  bool Cancel(Ticket ticket);
  // Drops all requests and keeps the cached prefixes.
  void DropRequests();
  void ClearCache();
  std::vector<BatchEvent> Tick(Time now);

  std::int64_t queued() const;
  std::int64_t running() const;
  std::int64_t queued_prompt_tokens() const;
  std::int64_t cache_used() const;
  std::int64_t cache_capacity() const;
  const Settings& settings() const { return settings_; }

 private:
  struct Running {
    BatchRequest request;
    std::int64_t prefill_left = 0;
  };

  void Step(Time now, std::vector<BatchEvent>& events);
  void DropExpired(Time now, std::vector<BatchEvent>& events);
  void Admit(std::vector<BatchEvent>& events);
  void Prefill();
  void Decode(std::vector<BatchEvent>& events);
  bool IsIdle() const { return queue_.empty() && running_.empty(); }

  Settings settings_;
  PrefixCache cache_;
  Time next_step_;
  // Sorted by priority, and by arrival within a priority.
  std::multimap<std::int64_t, BatchRequest> queue_;
  std::vector<Running> running_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_BATCH_H_
