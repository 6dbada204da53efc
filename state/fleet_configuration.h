#ifndef STATE_FLEET_CONFIGURATION_H_
#define STATE_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace gcw {

// Counts the documents that operators put in force; higher is newer.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
// A customer as operators name it to endpoints.
using CustomerId = StrongId<struct CustomerIdTag>;

// A service's part of a route's requests.
struct ServiceShare {
  ServiceId service;
  std::int64_t weight = 1;
};

// What may be done again with a request of a route.
enum class Repetition {
  // It may run once at most.
  kNever,
  // It may run more than once, as a whole.
  kWhole,
  // A stream that another endpoint can go on with after its last event.
  kResume,
};

// Where requests go whose host matches and whose path begins with the prefix.
struct RouteRule {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  Repetition repetition = Repetition::kNever;
  // The answer is a stream of numbered events.
  bool streams = false;
  // Longest time until the answer has ended.
  Duration time_limit = Duration::Seconds(60);
  // An answer (a stream's first event) later than this is worth less.
  Duration latency_objective = Duration::Seconds(1);
  // The same for the pauses between a stream's events.
  Duration pause_objective = Duration::Seconds(1);
  Rank rank;
  // Never empty.
  std::vector<ServiceShare> shares;
  // Endpoints that one request may be sent to.
  std::int64_t most_attempts = 1;
  // Needs no customer's key.
  bool open_to_all = false;
};

// A model that replica groups can serve, with the times of such a group.
struct ModelProfile {
  ModelId model;
  std::size_t group_size = 1;
  // Part of the expected work, 0 to 1.
  double work_share = 0;
  // Factor on all times of the engine.
  double pace = 1;
  // From the weight store onto a VM's host.
  Duration load_time;
  // From the host into the engine.
  Duration warm_time;
};

// How the engines of a service work; see docs/PLATFORM.md for the sources.
struct EngineProfile {
  // Requests that one batch holds.
  std::int64_t batch_limit = 1;
  TokenCount cache_capacity;
  // Token steps that one pass over a batch with generating requests makes.
  double steps_per_pass = 1;
  double step_ms = 1;
  double step_ms_per_request = 0;
  double step_ms_per_1000_context_tokens = 0;
  double prompt_tokens_per_ms = 1;
  double ms_per_million_prompt_pairs = 0;
  // Prompt tokens computed in one step at most.
  double chunk_tokens = 2048;
  Duration form_time;
  double loads_per_second = 1;
  std::int64_t loads_at_once = 1;
  // Models whose weights a host keeps.
  std::size_t staged_limit = 1;
  // Of a typical request, in tokens.
  double usual_prompt_tokens = 1000;
  double usual_answer_tokens = 100;
  std::vector<ModelProfile> models;
};

struct ServiceRule {
  ServiceId id;
  // Connections that one endpoint takes from all nodes together.
  std::int64_t most_connections = 100;
  // Absent for plain services.
  std::optional<EngineProfile> engine;
};

struct CustomerKeys {
  CustomerId customer;
  std::vector<std::string> keys;
  // Goes before the route's rank where it is set.
  std::optional<Rank> rank;
};

// What a caller may send, and how long it may take.
struct CallerLimits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4194304;
  Duration header_timeout = Duration::Seconds(10);
  Duration idle_timeout = Duration::Seconds(60);
};

// Everything that operators have set, as one document of one version.
struct FleetConfiguration {
  ConfigurationVersion version;
  std::vector<RouteRule> routes;
  std::vector<ServiceRule> services;
  CallerLimits limits;
  std::vector<CustomerKeys> customers;
};

}  // namespace gcw

#endif  // STATE_FLEET_CONFIGURATION_H_
