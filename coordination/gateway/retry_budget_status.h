#ifndef COORDINATION_GATEWAY_RETRY_BUDGET_STATUS_H_
#define COORDINATION_GATEWAY_RETRY_BUDGET_STATUS_H_

#include <cstdint>

#include "state/state.h"

namespace gcw {

// What one node knows of the retries that it sent to one service.
struct RetryBudgetStatus {
  ServiceId service;
  // Of the last window.
  std::int64_t requests = 0;
  std::int64_t spent = 0;
  // Number of retries that this node may send at once, and the most that it can
  // save up now.
  double available = 0;
  double capacity = 0;
  // Since the process started.
  std::int64_t total_spent = 0;
  std::int64_t total_denied = 0;
  // Further sends of requests that were not counted.
  std::int64_t total_uncounted = 0;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_RETRY_BUDGET_STATUS_H_
