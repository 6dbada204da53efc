#ifndef STATE_LOAD_REPORT_H_
#define STATE_LOAD_REPORT_H_

#include <cstdint>

#include "core/core.h"

namespace gcw {

// The last load that a model engine or plain service reported, as of
// `taken_at`.
struct LoadReport {
  EndpointId endpoint;
  // Zero for plain services.
  Generation generation;
  Time taken_at;
  std::int64_t queued_requests = 0;
  std::int64_t running_requests = 0;
  // Maximum number of requests in a batch.
  std::int64_t batch_limit = 0;
  // Prompt tokens waiting to be computed.
  TokenCount queued_prompt_tokens;
  // KV cache in use and in total.
  TokenCount cache_used;
  TokenCount cache_capacity;
};

}  // namespace gcw

#endif  // STATE_LOAD_REPORT_H_
