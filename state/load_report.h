#ifndef STATE_LOAD_REPORT_H_
#define STATE_LOAD_REPORT_H_

#include <cstdint>

#include "core/core.h"

namespace gcw {

// What a model engine or plain service last said of its load. It lags behind:
// `taken_at` tells by how much.
struct LoadReport {
  EndpointId endpoint;
  // Zero for plain services.
  Generation generation;
  Time taken_at;
  std::int64_t queued_requests = 0;
  std::int64_t running_requests = 0;
  // Most requests run in one batch.
  std::int64_t batch_limit = 0;
  // Prompt tokens waiting to be computed.
  TokenCount queued_prompt_tokens;
  // KV cache in use and in all.
  TokenCount cache_used;
  TokenCount cache_capacity;
};

}  // namespace gcw

#endif  // STATE_LOAD_REPORT_H_
