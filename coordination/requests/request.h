#ifndef COORDINATION_REQUESTS_REQUEST_H_
#define COORDINATION_REQUESTS_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

struct ModelTarget {
  ModelId model;
  // Empty if no adapter is requested.
  AdapterId adapter;

  friend bool operator==(const ModelTarget&, const ModelTarget&) = default;
};

struct ServiceTarget {
  ServiceId service;

  friend bool operator==(const ServiceTarget&, const ServiceTarget&) = default;
};

using RequestTarget = std::variant<ModelTarget, ServiceTarget>;

// The properties of a caller's request on which decisions are based. The body
// stays in the transport.
struct RequestProfile {
  RequestId id;
  ContractId contract;
  Tier tier = Tier::kTrial;
  Rank rank;
  RequestTarget target;
  // Estimated from the prompt's length.
  TokenCount prompt_tokens;
  // Maximum number of tokens that the model may generate.
  TokenCount max_generated_tokens;
  // One entry for each complete block of the prompt, in order.
  std::vector<PrefixBlock> prefix_blocks;
  Fingerprint fingerprint;
  // True if running the request twice does no harm.
  bool repeatable = true;
  // Empty if the caller gave none.
  IdempotencyKey idempotency_key;
  Time arrived;
  // The caller no longer waits for the answer after this time.
  Time deadline;
};

// Why a request was not run.
enum class RefusalKind {
  kUnknownKey,
  kContractNotValid,
  kModelNotAllowed,
  kServiceNotAllowed,
  kUnknownModel,
  kUnknownService,
  kRequestRate,
  kTokenRate,
  kConcurrency,
  kQueueFull,
  kNoCapacity,
  // Trial work yields to paid work.
  kTrialNoHeadroom,
  // The request could not have been answered before its deadline.
  kDeadline,
  kNoEndpoint,
  kRetryBudget,
  // The request has crashed endpoints.
  kFingerprintBlocked,
  // The node has not received the newest configuration yet.
  kNotReady,
  kDraining,
  // The owner of the idempotency key is unreachable.
  kOnceUnavailable,
  // The idempotency key was used for another request.
  kOnceMismatch,
  // The first send with this key is still running.
  kOnceInProgress,
  kEndpointRefused,
  // Every endpoint that could run it has as many requests as its limit allows.
  kEndpointLimit,
  // Every endpoint that could run it asked this node for a pause.
  kEndpointCooldown,
};

std::string_view RefusalKindName(RefusalKind kind);

// Returns the kind of that name, or nothing if there is none.
std::optional<RefusalKind> RefusalKindFromName(std::string_view name);

// The final answer to a request that was not run.
struct Refusal {
  RefusalKind kind = RefusalKind::kNoCapacity;
  // Delay before the caller should retry, with jitter so that callers do not
  // return together. Zero if a retry cannot succeed.
  Duration retry_after;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_REQUEST_H_
