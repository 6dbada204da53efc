#include "coordination/requests/request.h"

namespace gcw {
namespace {

constexpr std::string_view kUnknownKind = "unknown";

}  // namespace

std::string_view RefusalKindName(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kUnknownKey:
      return "unknown_key";
    case RefusalKind::kContractNotValid:
      return "contract_not_valid";
    case RefusalKind::kModelNotAllowed:
      return "model_not_allowed";
    case RefusalKind::kServiceNotAllowed:
      return "service_not_allowed";
    case RefusalKind::kUnknownModel:
      return "unknown_model";
    case RefusalKind::kUnknownService:
      return "unknown_service";
    case RefusalKind::kRequestRate:
      return "request_rate";
    case RefusalKind::kTokenRate:
      return "token_rate";
    case RefusalKind::kConcurrency:
      return "concurrency";
    case RefusalKind::kQueueFull:
      return "queue_full";
    case RefusalKind::kNoCapacity:
      return "no_capacity";
    case RefusalKind::kTrialNoHeadroom:
      return "trial_no_headroom";
    case RefusalKind::kDeadline:
      return "deadline";
    case RefusalKind::kNoEndpoint:
      return "no_endpoint";
    case RefusalKind::kRetryBudget:
      return "retry_budget";
    case RefusalKind::kFingerprintBlocked:
      return "fingerprint_blocked";
    case RefusalKind::kNotReady:
      return "not_ready";
    case RefusalKind::kDraining:
      return "draining";
    case RefusalKind::kOnceUnavailable:
      return "once_unavailable";
    case RefusalKind::kOnceMismatch:
      return "once_mismatch";
    case RefusalKind::kOnceInProgress:
      return "once_in_progress";
    case RefusalKind::kEndpointRefused:
      return "endpoint_refused";
    case RefusalKind::kEndpointLimit:
      return "endpoint_limit";
    case RefusalKind::kEndpointCooldown:
      return "endpoint_cooldown";
  }
  return kUnknownKind;
}

std::optional<RefusalKind> RefusalKindFromName(std::string_view name) {
  if (name == kUnknownKind) {
    return std::nullopt;
  }
  // Kinds are numbered from 0 without gaps; numbers after the last kind have no
  // name.
  for (int number = 0;; ++number) {
    const auto kind = static_cast<RefusalKind>(number);
    const std::string_view kind_name = RefusalKindName(kind);
    if (kind_name == name) {
      return kind;
    }
    if (kind_name == kUnknownKind) {
      return std::nullopt;
    }
  }
}

}  // namespace gcw
