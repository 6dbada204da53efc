#include "transport/store_belief.h"

#include <string>
#include <utility>

#include "transport/json_log.h"

namespace gcw {
namespace {

StoreBelief ClassifyReply(const StoreReply& reply) {
  if (std::holds_alternative<StoreNoAnswer>(reply)) {
    return StoreBelief::kSilent;
  }
  const auto* refused = std::get_if<StoreRefused>(&reply);
  if (refused == nullptr) {
    return StoreBelief::kAnswers;
  }
  return refused->reason == StoreRefusal::kUnknownCall
             ? StoreBelief::kKnowsNoCall
             : StoreBelief::kRefuses;
}

}  // namespace

std::string_view StoreBeliefName(StoreBelief belief) {
  switch (belief) {
    case StoreBelief::kAnswers:
      return "answers";
    case StoreBelief::kRefuses:
      return "refuses";
    case StoreBelief::kKnowsNoCall:
      return "knows_no_call";
    case StoreBelief::kSilent:
      return "silent";
  }
  return "unknown";
}

void LogStoreBelief(StoreBelief belief) {
  LogEvent(belief == StoreBelief::kAnswers ? LogSeverity::kInfo
                                           : LogSeverity::kWarning,
           "store_belief", {{"service", std::string(StoreBeliefName(belief))}});
}

StoreBeliefObserver::StoreBeliefObserver(OnChange on_change)
    : on_change_(std::move(on_change)) {}

void StoreBeliefObserver::Observe(const StoreReply& reply) {
  const StoreBelief observed = ClassifyReply(reply);
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
