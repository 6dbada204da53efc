#ifndef STATE_FLEET_CONFIGURATION_H_
#define STATE_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace gcw {

// Version of the operators' document; a higher number is newer.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
// Name that operators give a customer and that endpoints receive.
using CustomerId = StrongId<struct CustomerIdTag>;

// Share of a route's requests that a service receives.
struct ServiceShare {
  ServiceId service;
  std::int64_t weight = 1;
};

// Whether a request of a route may run again.
enum class RetryPolicy {
  // The request runs at most once.
  kNever,
  // The request may run more than once, each time from the start.
  kFullRetry,
  // The response is a stream that another endpoint can resume after its last
  // event.
  kResume,
};

// Routes the requests whose host matches and whose path begins with the prefix.
struct RouteRule {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RetryPolicy retry_policy = RetryPolicy::kNever;
  // The response is a stream of numbered events.
  bool streams = false;
  // Maximum time until the response has ended.
  Duration time_limit = Duration::Seconds(60);
  // A response (for a stream, its first event) is worth less if it comes later
  // than this.
  Duration latency_objective = Duration::Seconds(1);
  // The same objective for the gaps between a stream's events.
  Duration event_gap_objective = Duration::Seconds(1);
  Rank rank;
  // Never empty.
  std::vector<ServiceShare> shares;
  // Maximum number of attempts per request, each at an endpoint.
  std::int64_t max_attempts = 1;
  // Requests need no customer's key.
  bool allows_anonymous = false;
};

// A model that replica groups can serve, and the durations of such a group.
struct ModelProfile {
  ModelId model;
  std::size_t group_size = 1;
  // Fraction of the expected work, 0 to 1.
  double work_share = 0;
  // Factor on all durations of the engine.
  double time_factor = 1;
  // Time to load the weights from the weight store onto a VM's host.
  Duration load_time;
  // Time to load the weights from the host into the engine.
  Duration warm_time;
  // Value of covering this model's work, relative to other models' work of the
  // same size.
  double importance = 1;
};

// Performance model of a service's engines; see docs/PLATFORM.md for the
// sources.
struct EngineProfile {
  // Maximum number of requests in a batch.
  std::int64_t batch_limit = 1;
  TokenCount cache_capacity;
  // Token steps in one pass over a batch that has generating requests.
  double steps_per_pass = 1;
  double step_ms = 1;
  double step_ms_per_request = 0;
  double step_ms_per_1000_context_tokens = 0;
  double prompt_tokens_per_ms = 1;
  double ms_per_million_prompt_pairs = 0;
  // Maximum number of prompt tokens computed in one step.
  double chunk_tokens = 2048;
  Duration group_formation_time;
  double loads_per_second = 1;
  std::int64_t max_concurrent_loads = 1;
  // Maximum number of models whose weights a host keeps.
  std::size_t staged_limit = 1;
  // Size of a typical request in tokens.
  double typical_prompt_tokens = 1000;
  double typical_output_tokens = 100;
  std::vector<ModelProfile> models;
};

struct ServiceRule {
  ServiceId id;
  // Maximum number of connections that one endpoint accepts from all nodes
  // together.
  std::int64_t max_connections = 100;
  // Absent for plain services.
  std::optional<EngineProfile> engine;
  // How long an endpoint is cold after it starts during traffic, and the
  // requests per second that a cold endpoint tolerates from all nodes together.
  // Zero if the service has no such limit.
  Duration warm_up_time = {};
  RequestRate warm_up_rate = {};

  bool has_warm_up_limit() const {
    return warm_up_rate > RequestRate() && warm_up_time > Duration();
  }
};

struct CustomerKeys {
  CustomerId customer;
  std::vector<std::string> keys;
  // Overrides the route's rank if set.
  std::optional<Rank> rank;
};

// Limits on the size and duration of a caller's request.
struct CallerLimits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4194304;
  Duration header_timeout = Duration::Seconds(10);
  Duration idle_timeout = Duration::Seconds(60);
};

// All settings of the operators, as one versioned document.
struct FleetConfiguration {
  ConfigurationVersion version;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  CallerLimits limits;
  std::vector<CustomerKeys> customers;
};

}  // namespace gcw

#endif  // STATE_FLEET_CONFIGURATION_H_
