#include "transport/refusal_http.h"

#include <string>

namespace gcw {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

int RefusalStatus(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kUnknownKey:
      return kUnauthorized;
    case RefusalKind::kContractNotValid:
    case RefusalKind::kModelNotAllowed:
    case RefusalKind::kServiceNotAllowed:
      return kForbidden;
    case RefusalKind::kUnknownModel:
    case RefusalKind::kUnknownService:
      return kNotFound;
    case RefusalKind::kRequestRate:
    case RefusalKind::kTokenRate:
    case RefusalKind::kConcurrency:
    case RefusalKind::kQueueFull:
    case RefusalKind::kTrialNoHeadroom:
      return kTooManyRequests;
    case RefusalKind::kDeadline:
      return kGatewayTimeout;
    case RefusalKind::kFingerprintBlocked:
    case RefusalKind::kOnceMismatch:
      return kUnprocessable;
    case RefusalKind::kOnceInProgress:
      return kConflict;
    case RefusalKind::kNoCapacity:
    case RefusalKind::kNoEndpoint:
    case RefusalKind::kRetryBudget:
    case RefusalKind::kNotReady:
    case RefusalKind::kDraining:
    case RefusalKind::kOnceUnavailable:
    case RefusalKind::kEndpointRefused:
    case RefusalKind::kEndpointLimit:
    case RefusalKind::kEndpointCooldown:
      return kUnavailable;
  }
  return kUnavailable;
}

std::string_view RefusalMessage(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kUnknownKey:
      return "The bearer key belongs to no contract. Not run.";
    case RefusalKind::kContractNotValid:
      return "The contract is not valid now. Not run.";
    case RefusalKind::kModelNotAllowed:
      return "The contract does not allow this model. Not run.";
    case RefusalKind::kServiceNotAllowed:
      return "The contract does not allow this service. Not run.";
    case RefusalKind::kUnknownModel:
      return "No such model is served here. Not run.";
    case RefusalKind::kUnknownService:
      return "No such service is served here. Not run.";
    case RefusalKind::kRequestRate:
      return "The contract's requests per second are used up. Not run.";
    case RefusalKind::kTokenRate:
      return "The contract's tokens per second are used up. Not run.";
    case RefusalKind::kConcurrency:
      return "The contract's concurrent requests are used up. Not run.";
    case RefusalKind::kQueueFull:
      return "Too many requests wait. Not run.";
    case RefusalKind::kNoCapacity:
      return "No capacity is free. Not run.";
    case RefusalKind::kTrialNoHeadroom:
      return "No room is left for trial work. Not run.";
    case RefusalKind::kDeadline:
      return "It could not be answered before its deadline. Not run.";
    case RefusalKind::kNoEndpoint:
      return "No endpoint can take it now. Not run.";
    case RefusalKind::kRetryBudget:
      return "It failed, and too many requests are being retried. Not run.";
    case RefusalKind::kFingerprintBlocked:
      return "This request crashed endpoints and is refused for a while. Not "
             "run.";
    case RefusalKind::kNotReady:
      return "This node does not know the newest configuration yet. Not run.";
    case RefusalKind::kDraining:
      return "This node is stopping; use another one. Not run.";
    case RefusalKind::kOnceUnavailable:
      return "The owner of the idempotency key does not answer. This send was "
             "not run; earlier ones may have been.";
    case RefusalKind::kOnceMismatch:
      return "The idempotency key was used for another request. Not run.";
    case RefusalKind::kOnceInProgress:
      return "An earlier send with this key still runs. This send was not run.";
    case RefusalKind::kEndpointRefused:
      return "The endpoint refused it. Not run.";
    case RefusalKind::kEndpointLimit:
      return "The endpoints take no more requests now. Not run.";
    case RefusalKind::kEndpointCooldown:
      return "The endpoints are overloaded. Not run.";
  }
  return "Not run.";
}

void AddRetryAfter(Duration retry_after, HttpResponse& response) {
  if (retry_after <= Duration()) {
    return;
  }
  const std::int64_t seconds =
      (retry_after.millis() + kMillisPerSecond - 1) / kMillisPerSecond;
  response.headers.push_back(
      HttpHeader{"Retry-After", std::to_string(seconds)});
}

}  // namespace gcw
