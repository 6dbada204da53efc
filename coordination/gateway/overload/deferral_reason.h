#ifndef COORDINATION_GATEWAY_OVERLOAD_DEFERRAL_REASON_H_
#define COORDINATION_GATEWAY_OVERLOAD_DEFERRAL_REASON_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include "core/core.h"

namespace gcw {

// Why a request that has not been sent yet is deferred behind others.
enum class DeferralReason {
  // As many requests wait as start within the window.
  kWindow,
  // More urgent requests of the model do not all fit into their window.
  kMoreUrgent,
  // The caller was refused before, and the request is late by now.
  kReturned,
  // Its customer has had its share of a model with too many requests.
  kCustomerShare,
};

constexpr std::string_view DeferralReasonName(DeferralReason reason) {
  switch (reason) {
    case DeferralReason::kWindow:
      return "window";
    case DeferralReason::kMoreUrgent:
      return "more_urgent";
    case DeferralReason::kReturned:
      return "returned";
    case DeferralReason::kCustomerShare:
      return "customer_share";
  }
  return "unknown";
}

// Number of requests that were deferred when they arrived.
using DeferralCounts = std::map<std::pair<Rank, DeferralReason>, std::int64_t>;

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_OVERLOAD_DEFERRAL_REASON_H_
