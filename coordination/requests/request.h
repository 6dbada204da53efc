#ifndef COORDINATION_REQUESTS_REQUEST_H_
#define COORDINATION_REQUESTS_REQUEST_H_

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

struct ModelTarget {
  ModelId model;
  // Empty where no adapter is asked for.
  AdapterId adapter;

  friend bool operator==(const ModelTarget&, const ModelTarget&) = default;
};

struct ServiceTarget {
  ServiceId service;

  friend bool operator==(const ServiceTarget&, const ServiceTarget&) = default;
};

using RequestTarget = std::variant<ModelTarget, ServiceTarget>;

// What the decisions need to know of a caller's request. The body stays with
// the transport.
struct RequestProfile {
  RequestId id;
  ContractId contract;
  Tier tier = Tier::kTrial;
  Rank rank;
  RequestTarget target;
  // Estimated from the prompt's length.
  TokenCount prompt_tokens;
  // Most tokens the caller lets the model generate.
  TokenCount max_generated_tokens;
  // One per whole block of the prompt, in order.
  std::vector<PrefixBlock> prefix_blocks;
  Fingerprint fingerprint;
  // Whether running it twice does no harm.
  bool repeatable = true;
  // Empty where the caller gave none.
  IdempotencyKey idempotency_key;
  Time arrived;
  // The caller has given up by then.
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
  // Trial work gives way to paid work.
  kTrialNoHeadroom,
  // It could not have been answered before its deadline.
  kDeadline,
  kNoEndpoint,
  kRetryBudget,
  // It crashed endpoints before.
  kFingerprintBlocked,
  // The node does not know the newest configuration yet.
  kNotReady,
  kDraining,
  // The owner of its idempotency key cannot be reached.
  kOnceUnavailable,
  // The key is in use for another request.
  kOnceMismatch,
  // The first send with this key still runs.
  kOnceInProgress,
  kEndpointRefused,
};

std::string_view RefusalKindName(RefusalKind kind);

// The final answer to a request that was not run.
struct Refusal {
  RefusalKind kind = RefusalKind::kNoCapacity;
  // When to come back, spread so that callers do not return together. Zero
  // where coming back will not help.
  Duration retry_after;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_REQUEST_H_
