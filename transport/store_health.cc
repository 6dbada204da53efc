#include "transport/store_health.h"

#include <string>
#include <utility>

#include "transport/json_log.h"

namespace gcw {
namespace {

StoreHealth ClassifyReply(const StoreReply& reply) {
  if (std::holds_alternative<StoreNoAnswer>(reply)) {
    return StoreHealth::kUnreachable;
  }
  const auto* refused = std::get_if<StoreRefused>(&reply);
  if (refused == nullptr) {
    return StoreHealth::kAvailable;
  }
  return refused->reason == StoreRefusal::kUnknownCall
             ? StoreHealth::kIncompatible
             : StoreHealth::kRejectingCalls;
}

}  // namespace

std::string_view StoreHealthName(StoreHealth health) {
  switch (health) {
    case StoreHealth::kAvailable:
      return "answers";
    case StoreHealth::kRejectingCalls:
      return "refuses";
    case StoreHealth::kIncompatible:
      return "knows_no_call";
    case StoreHealth::kUnreachable:
      return "silent";
  }
  return "unknown";
}

void LogStoreHealth(StoreHealth health) {
  LogEvent(health == StoreHealth::kAvailable ? LogSeverity::kInfo
                                             : LogSeverity::kWarning,
           "store_belief", {{"service", std::string(StoreHealthName(health))}});
}

StoreHealthMonitor::StoreHealthMonitor(OnChange on_change)
    : on_change_(std::move(on_change)) {}

void StoreHealthMonitor::Observe(const StoreReply& reply) {
  const StoreHealth observed = ClassifyReply(reply);
  {
    const std::lock_guard lock(mutex_);
    consecutive_replies_ =
        observed == last_observed_ ? consecutive_replies_ + 1 : 1;
    last_observed_ = observed;
    if (observed == reported_ ||
        consecutive_replies_ < kMinConsecutiveReplies) {
      return;
    }
    reported_ = observed;
  }
  on_change_(observed);
}

}  // namespace gcw
