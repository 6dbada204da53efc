#include "programs/gcw_gateway/gateway_settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <utility>

#include "programs/daemon/setting_value_error.h"

namespace gcw {
namespace {

constexpr TextRange kIdText{1, 64};
constexpr TextRange kAddressText{3, 64};
constexpr ListRange kAnyList{0, 64};
constexpr DurationRange kShortDuration{Duration::Millis(10),
                                       Duration::Seconds(60)};
constexpr DurationRange kBlockDuration{Duration::Seconds(1),
                                       Duration::Seconds(86400)};
// The ranges of settings that the platform sets. A node must start with any
// value that the platform chooses.
constexpr DurationRange kPlatformDuration{Duration(),
                                          Duration::Seconds(1'000'000'000)};
constexpr NumberRange kPlatformNumber{0, 1e9};
// Changes reach a node sooner than any longer bound of the platform.
constexpr Duration kMaxPropagationDelay = Duration::Seconds(60);

// Rule set of deployments whose endpoints are under hard and uneven load.
constexpr std::string_view kPoolContract = "pool";

// When a function is in use that some rule sets ask for.
enum class FeatureSwitch { kAuto, kOn, kOff };

constexpr double kBytesPerMb = 1024.0 * 1024;
constexpr double kMinMemoryMb = 32;

// The weight of a node that has a whole processor core; the lowest weight is 1.
constexpr double kWeightPerCore = 100;

bool IsOn(FeatureSwitch feature, const std::vector<std::string>& contracts) {
  if (feature != FeatureSwitch::kAuto) {
    return feature == FeatureSwitch::kOn;
  }
  return std::find(contracts.begin(), contracts.end(), kPoolContract) !=
         contracts.end();
}

// Values that are parsed or combined after the file has been read.
struct RawSettings {
  std::string callers;
  std::string readiness;
  std::string entries;
  std::string peers;
  std::string metrics;
  std::vector<std::string> seeds;
  // The shorter of the two limits the age of a node's copy of the store.
  Duration leaving_known_within = StoreMirrorSettings().max_propagation_delay;
  Duration configuration_known_within =
      StoreMirrorSettings().max_propagation_delay;
  // As for the two above; not set if the platform has no bound for it.
  Duration evacuation_known_within;
  // The rule sets that the platform lists as being in force.
  std::vector<std::string> contracts;
  FeatureSwitch even_load = FeatureSwitch::kAuto;
  FeatureSwitch overload = FeatureSwitch::kAuto;
  // The share of one processor core that the node has.
  double processor_share = 1;
  double memory_limit_mb = 256;
  double descriptor_limit = 4096;
};

void DeclareNode(GatewayProcessSettings& settings,
                 RawSettings& raw,
                 SettingsReader& reader) {
  NodeRecord& self = settings.core.self;
  reader.Add("node.id", &self.id, kIdText,
             "Name of this node, stable over restarts.",
             SettingPresence::kRequired);
  reader.Add("node.zone", &self.zone, kIdText, "Data centre of this node.",
             SettingPresence::kRequired);
  reader.Add("node.region", &self.region, kIdText, "Region of the data centre.",
             SettingPresence::kRequired);
  reader.Add("node.processor_share", &raw.processor_share, kPlatformNumber,
             "Share of a processor core that the node has; nodes with a larger "
             "share are preferred as the keeper of groups.");
  reader.Add("memory.limit_mb", &raw.memory_limit_mb, kPlatformNumber,
             "Memory in MB that the node may use. Requests are refused before "
             "messages take half of it; at least 32 MB are assumed.");
  reader.Add("descriptors.limit", &raw.descriptor_limit, kPlatformNumber,
             "File descriptors that the node may use; 200 are reserved for "
             "files. Connections of clients take at most 90% of the others.");
  reader.Add("listen.callers", &raw.callers, kAddressText,
             "\"ip:port\" for callers' requests.", SettingPresence::kRequired);
  reader.Add("listen.readiness", &raw.readiness, kAddressText,
             "\"ip:port\" for the platform's readiness probes.",
             SettingPresence::kRequired);
  reader.Add("listen.entries", &raw.entries, kAddressText,
             "\"ip:port\" where callers request the list of node addresses.",
             SettingPresence::kRequired);
  reader.Add("listen.peers", &raw.peers, kAddressText,
             "\"ip:port\" for other nodes.", SettingPresence::kRequired);
  reader.Add("listen.metrics", &raw.metrics, kAddressText,
             "\"ip:port\" where metrics are served.");
  reader.Add("peers.seeds", &raw.seeds, kAnyList,
             "Peer addresses, each \"ip:port\", to ask while the key-value "
             "service is unavailable.");
}

void DeclareStore(GatewayProcessSettings& settings,
                  RawSettings& raw,
                  SettingsReader& reader) {
  reader.Add("store.address", &settings.runtime.store, kAddressText,
             "Address of the key-value service.", SettingPresence::kRequired);
  reader.Add("store.timeout_ms", &settings.runtime.store_timeout,
             kShortDuration, "Timeout for an answer of the key-value service.");
  StoreMirrorSettings& mirror = settings.core.mirror;
  reader.Add("store.watch_interval_ms", &mirror.min_watch_interval,
             kShortDuration, "Minimum time between two watches.");
  reader.Add("store.fleet_watches_per_second",
             &mirror.max_fleet_watches_per_second, NumberRange{0.1, 10000},
             "Limit on the watches of all nodes together; with more nodes, "
             "each node waits longer between two watches.");
  reader.Add("store.watch_wait_ms", &mirror.min_watch_timeout, kShortDuration,
             "Minimum time for which the key-value service may hold a watch.");
  reader.Add("store.leaving_known_within_ms", &raw.leaving_known_within,
             kPlatformDuration,
             "Time after the removal of an endpoint is accepted from which no "
             "request may be sent to it.");
  reader.Add(
      "store.configuration_known_within_ms", &raw.configuration_known_within,
      kPlatformDuration,
      "Time after a configuration is accepted by which it must be in force.");
  reader.Add(
      "store.evacuation_known_within_ms", &raw.evacuation_known_within,
      kPlatformDuration,
      "Time after the evacuation of a data centre is accepted from which "
      "no request may be sent to its endpoints; 0 if there is no bound.");
  reader.Add("store.repeat_margin_ms", &mirror.retry_margin, kShortDuration,
             "Part of the two times above that is reserved for a lost answer "
             "and the next call.");
  reader.Add("store.away_after_ms", &mirror.unreachable_timeout, kShortDuration,
             "Time by which an answer is overdue before the service counts as "
             "unavailable and other nodes are asked.");
  reader.Add("store.lapse_grace_ms", &mirror.expiry_grace_period,
             kShortDuration,
             "Grace period for entries that are removed right after an outage "
             "of the service.");
  reader.Add("store.followers", &mirror.followers_per_watcher,
             IntegerRange{0, 10000},
             "Number of nodes in a data centre that receive changes from one "
             "node that watches the service; 0 lets each node watch it.");
  reader.Add("store.follow_from", &mirror.min_nodes_to_follow,
             IntegerRange{1, 10000},
             "In a data centre with fewer nodes than this, each node watches "
             "the service.");
  reader.Add("store.follow_wait_ms", &mirror.follow_poll_wait, kShortDuration,
             "Time for which a follower's request waits for a change.");
  reader.Add("store.follow_timeout_ms", &mirror.follow_timeout, kShortDuration,
             "Time by which an answer is overdue before the follower watches "
             "the service itself.");
  reader.Add("store.follow_avoid_ms", &mirror.follow_cooldown, kShortDuration,
             "Time for which a node that could not answer is not asked again.");
  NodeLeaseSettings& lease = settings.core.lease;
  reader.Add("lease.time_to_live_ms", &lease.time_to_live, kShortDuration,
             "Time to live of the node's lease.");
  reader.Add("lease.renew_interval_ms", &lease.renew_interval, kShortDuration,
             "Time between renewals of the node's lease.");
  reader.Add("lease.margin_ms", &lease.margin, kShortDuration,
             "Safety margin: time before its expiry from which the lease is no "
             "longer used.");
}

void DeclareWarmUp(GatewayProcessSettings& settings, SettingsReader& reader) {
  WarmUpLimitSettings& warm_up = settings.core.selector.warm_up;
  reader.Add("warm_up.overshoot", &warm_up.overshoot, kPlatformNumber,
             "Factor on the warm-up rate of a service: a cold endpoint may get "
             "that many requests in any second, plus warm_up.slack.");
  reader.Add("warm_up.slack", &warm_up.slack, kPlatformNumber,
             "Number of requests that a cold endpoint may get in any second "
             "beyond that.");
}

void DeclareFeatures(GatewayProcessSettings& settings,
                     RawSettings& raw,
                     SettingsReader& reader) {
  reader.Add("deployment.contracts", &raw.contracts, kAnyList,
             "Rule sets in force at the deployment. \"pool\" turns on the "
             "functions that are set to \"auto\".");
  reader.AddChoice<FeatureSwitch>(
      "routing.even_load", &raw.even_load,
      {{"auto", FeatureSwitch::kAuto},
       {"on", FeatureSwitch::kOn},
       {"off", FeatureSwitch::kOff}},
      "Whether a node sends its requests to few groups of each model in its "
      "data centre, so that it knows their loads and all groups are filled "
      "evenly. Applies in fleets of at least 80 nodes.");
  reader.AddChoice<FeatureSwitch>(
      "overload.enabled", &raw.overload,
      {{"auto", FeatureSwitch::kAuto},
       {"on", FeatureSwitch::kOn},
       {"off", FeatureSwitch::kOff}},
      "Whether requests of models that have too many are admitted by rank, and "
      "callers that return too late are deferred.");
  // In a burst few requests start in time, which makes the shares of all
  // customers small: the most urgent kind of a deployment earned 0.851 of its
  // worth rather than 0.908.
  settings.core.requests.overload.limits_customers = false;
  reader.Add("overload.customer_shares",
             &settings.core.requests.overload.limits_customers,
             "Whether overload.enabled also limits customers to their share.");
}

void DeclareRequests(GatewayProcessSettings& settings, SettingsReader& reader) {
  reader.Add("callers.entries_keep_ms", &settings.core.advertised_addresses_ttl,
             kShortDuration,
             "Time for which callers may cache the list of addresses.");
  reader.Add("callers.retry_after_ms", &settings.core.requests.retry_after,
             kShortDuration,
             "Mean time after which refused callers are told to retry.");
  reader.Add(
      "stop.grace_ms", &settings.core.stop_grace_period, kPlatformDuration,
      "Time after which the platform ends a node that was told to stop.");
  reader.Add(
      "stop.refuses_after_ms", &settings.core.drain_accept_period,
      kShortDuration,
      "Time for which a node that was told to stop still accepts requests.");
  reader.Add("stop.quiet_after_ms", &settings.core.min_drain_time,
             kShortDuration,
             "Time after which a node that was told to stop exits if no "
             "request is open.");
  ForwardExchangeSettings& exchange = settings.runtime.exchange;
  reader.Add("endpoints.connect_timeout_ms", &exchange.connect_timeout,
             kShortDuration, "Timeout for connecting to an endpoint.");
  reader.Add("endpoints.service_silence_ms",
             &settings.core.requests.service_hedge_delay, kShortDuration,
             "Silence of a plain service after which a request that may be "
             "repeated gets a second attempt beside the first.");
  reader.Add("endpoints.stream_silence_ms",
             &settings.core.requests.stream_hedge_delay, kShortDuration,
             "Silence of a stalled endpoint after which a stream that may be "
             "resumed gets a second attempt beside the first.");
  ReplicaSelectorSettings& selector = settings.core.selector;
  reader.Add("routing.silence_limit_ms", &selector.stall_timeout,
             kShortDuration,
             "Time without an event in any running stream after which a group "
             "counts as stalled.");
  reader.Add("routing.first_event_limit_ms", &selector.first_event_timeout,
             kShortDuration,
             "Like routing.silence_limit_ms, before a stream's first event.");
  reader.Add("routing.witness_wait_ms", &selector.peer_confirmation_timeout,
             kShortDuration,
             "Time for other nodes to report that a group that seems stalled "
             "makes progress for them.");
  reader.Add("routing.other_zone_ms", &selector.cross_zone_penalty_ms,
             NumberRange{0, 1000},
             "Expected wait, in milliseconds, added for an endpoint in another "
             "data centre.");
  reader.Add(
      "routing.spread_ms", &selector.jitter_ms, NumberRange{0, 1000},
      "Maximum random time, in milliseconds, added to the expected wait.");
  reader.Add(
      "routing.choices", &selector.choices, IntegerRange{1, 1000},
      "Number of endpoints drawn at random from the node's own data centre, "
      "and again from all others, that are compared for a request.");
  reader.Add("routing.most_fill", &selector.max_fill, NumberRange{0.1, 100},
             "Maximum number of requests in an endpoint, as a multiple of its "
             "places.");
  reader.Add("routing.most_fill_deferred", &selector.max_fill_deferred,
             NumberRange{0.1, 100},
             "Like routing.most_fill, at engines for deferred requests.");
  reader.Add("routing.most_fill_ahead", &selector.max_fill_prioritized,
             NumberRange{0.1, 100},
             "Like routing.most_fill, at engines for requests that go before "
             "the deferred ones.");
  reader.Add("routing.endpoint_limit_use", &selector.limits.usable_fraction,
             NumberRange{0.05, 1},
             "Fraction of the requests per second that an endpoint in need "
             "accepts which all nodes together send it.");
  reader.Add("routing.endpoint_limit_use_unsure",
             &selector.limits.stale_view_fraction, NumberRange{0.05, 1},
             "Like routing.endpoint_limit_use, at a node that cannot reach the "
             "key-value service.");
  CrashGuardSettings& crashes = settings.core.crashes;
  reader.Add("crashes.proof_ms", &crashes.proof_time, kShortDuration,
             "A request that has streamed events for this long is not "
             "suspected if its endpoint crashes.");
  reader.Add("crashes.trial_after", &crashes.trial_crashes,
             IntegerRange{2, 1000},
             "Number of endpoints that crash under a request before it may run "
             "only at one endpoint of the fleet at a time, to be tried out.");
  reader.Add("crashes.wait_ms", &crashes.max_wait, kShortDuration,
             "Time for which such a request waits for its turn.");
  reader.Add("crashes.trial_wait_ms", &crashes.max_trial_wait, kShortDuration,
             "Time for which it waits in all if another copy of it is tried "
             "out meanwhile.");
  reader.Add("crashes.block_ms", &crashes.records.block_time, kBlockDuration,
             "Time for which a request is refused after it crashed the "
             "endpoint that tried it out; doubled each further time.");
  reader.Add("crashes.longest_block_ms", &crashes.records.max_block_time,
             kBlockDuration, "Maximum of that time.");
  DeferralPolicySettings& deferral = settings.core.requests.deferral;
  reader.Add("deferral.window_part", &deferral.window_fraction,
             NumberRange{0.1, 10},
             "Part of the latency objective; as many requests may wait ahead "
             "of deferred ones as begin within it.");
  reader.Add(
      "deferral.least_window", &deferral.min_window, NumberRange{1, 1e6},
      "Minimum number of requests that may wait ahead of deferred ones.");
  reader.Add("deferral.rate_span_ms", &deferral.rate_interval, kShortDuration,
             "Time window over which started requests are counted.");
  SharedRetryBudgetSettings& retries = settings.core.retries;
  reader.Add("retries.ratio", &retries.ratio, kPlatformNumber,
             "Limit on retries of all nodes, as a share of the requests.");
  reader.Add(
      "retries.slack", &retries.slack, kPlatformNumber,
      "Number of retries of all nodes allowed in a window beyond that share.");
  reader.Add("retries.window_ms", &retries.window, kPlatformDuration,
             "Time window over which requests and retries are counted.");
}

void DeclareGroups(GatewayProcessSettings& settings, SettingsReader& reader) {
  FleetControllerSettings& controller = settings.core.controller;
  reader.Add(
      "groups.drain_limit_ms", &controller.drain_timeout, kShortDuration,
      "Time for which a group that is closed by plan may finish its requests.");
  reader.Add("groups.form_limit_ms", &controller.formation_timeout,
             {Duration::Seconds(1), Duration::Seconds(3600)},
             "Time after which a group that is not complete is abandoned.");
  reader.Add("groups.order_timeout_ms", &controller.order_timeout,
             kShortDuration, "Timeout for an engine's answer to an order.");
  reader.Add("groups.expected_life_ms", &controller.planner.expected_lifetime,
             {Duration::Seconds(1), Duration::Seconds(3600)},
             "Time that a new group is expected to serve.");
  reader.Add("groups.least_restage_gain", &controller.planner.min_restage_gain,
             NumberRange{1, 1000},
             "A spare VM loads another model's weights if that model's groups "
             "would otherwise be down this many times as long.");
  reader.Add("groups.load_rate_share", &controller.loads.rate_share,
             NumberRange{0.01, 1},
             "Part of the weight store's published rate that is used.");
  reader.Add("groups.busy_reviews_per_second",
             &controller.busy_reviews_per_second, NumberRange{1, 10000},
             "Maximum reviews per second of all domains together in which "
             "changes are in progress.");
}

void DeclareRegrouping(GatewayProcessSettings& settings,
                       SettingsReader& reader) {
  FleetControllerSettings& controller = settings.core.controller;
  reader.Add("groups.min_standby_groups",
             &controller.planner.min_standby_groups, IntegerRange{1, 1000000},
             "Number of groups of a model in a domain from which their hosts "
             "also load a larger model's weights.");
  reader.Add(
      "groups.standby_load_share", &controller.loads.max_standby_share,
      NumberRange{0, 1},
      "Part of the concurrent loads from which no such standby load begins.");
  reader.Add("groups.min_free_part", &controller.planner.min_free_fraction,
             NumberRange{0, 1},
             "Part of a group's members that must be free before groups of "
             "another model are closed for it.");
  reader.Add(
      "groups.regroup_time_ms", &controller.planner.regroup_downtime,
      {Duration::Millis(10), Duration::Seconds(3600)},
      "Expected time without service of the VMs of a group that is closed for "
      "another model's group; a larger value leads to fewer such changes.");
  reader.Add("groups.regroup_interval_ms", &controller.regroup_interval,
             kShortDuration,
             "Minimum time between two such changes in a domain.");
  reader.Add("groups.regroup_drain_limit_ms", &controller.regroup_drain_timeout,
             kShortDuration,
             "Time for which such a group may finish its requests.");
  reader.Add("groups.demand_interval_ms", &controller.demand_probe_interval,
             kShortDuration,
             "Time between load queries; each query asks one group.");
  reader.Add("groups.demand_memory_ms", &controller.demand.averaging_time,
             kShortDuration,
             "Time constant of the mean load of a model's groups.");
  reader.Add("groups.shortage_fill", &controller.demand.shortage_utilization,
             NumberRange{0.01, 1000},
             "Mean load, as a multiple of an engine's places, above which a "
             "model's share of the VMs grows.");
}

void DeclareLogging(GatewayProcessSettings& settings, SettingsReader& reader) {
  reader.Add("log.events_kept", &settings.events_kept,
             IntegerRange{100, 1000000},
             "Number of timeline events kept in memory.");
  reader.AddChoice<LogSeverity>("log.severity", &settings.log_severity,
                                {{"info", LogSeverity::kInfo},
                                 {"warning", LogSeverity::kWarning},
                                 {"error", LogSeverity::kError}},
                                "Lowest severity that is logged.");
  LogRateLimiterSettings& log_limits = settings.log_rate_limiter;
  constexpr IntegerRange kLines{0, 100000};
  reader.Add(
      "log.belief_lines", &log_limits.state_change_lines, kLines,
      "Maximum log lines per second for changes in what the node knows.");
  reader.Add("log.trouble_lines", &log_limits.request_failure_lines, kLines,
             "Maximum log lines per second for requests that were refused, "
             "failed or retried.");
  reader.Add("log.success_lines", &log_limits.request_progress_lines, kLines,
             "Maximum log lines per second for other decisions on requests.");
}

void DeclareAll(GatewayProcessSettings& settings,
                RawSettings& raw,
                SettingsReader& reader) {
  DeclareNode(settings, raw, reader);
  DeclareStore(settings, raw, reader);
  DeclareWarmUp(settings, reader);
  DeclareFeatures(settings, raw, reader);
  DeclareRequests(settings, reader);
  DeclareGroups(settings, reader);
  DeclareRegrouping(settings, reader);
  DeclareLogging(settings, reader);
}

std::optional<GatewayListenAddress> ParseListen(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  GatewayListenAddress listen;
  listen.ip = text.substr(0, colon);
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, listen.port);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return listen;
}

std::vector<SettingError> ParseRawSettings(const std::string& path,
                                           const RawSettings& raw,
                                           GatewayProcessSettings& settings) {
  std::vector<SettingError> errors;
  struct ListenKey {
    std::string_view key;
    const std::string* text;
    GatewayListenAddress* listen;
  };
  GatewayRuntimeSettings& runtime = settings.runtime;
  const std::array<ListenKey, 5> listen_keys = {{
      {"listen.callers", &raw.callers, &runtime.callers},
      {"listen.readiness", &raw.readiness, &runtime.readiness},
      {"listen.entries", &raw.entries, &runtime.entries},
      {"listen.peers", &raw.peers, &runtime.peers},
      {"listen.metrics", &raw.metrics, &runtime.metrics},
  }};
  for (const ListenKey& listen_key : listen_keys) {
    if (listen_key.text->empty()) {
      continue;
    }
    if (const auto listen = ParseListen(*listen_key.text)) {
      *listen_key.listen = *listen;
    } else {
      errors.push_back(MakeSettingValueError(path, listen_key.key,
                                             *listen_key.text, "ip:port"));
    }
  }
  for (const std::string& seed : raw.seeds) {
    if (ParseListen(seed)) {
      settings.core.seeds.emplace_back(seed);
    } else {
      errors.push_back(
          MakeSettingValueError(path, "peers.seeds", seed, "ip:port"));
    }
  }
  settings.runtime.memory_limit = static_cast<std::size_t>(
      std::max(kMinMemoryMb, raw.memory_limit_mb) * kBytesPerMb);
  settings.runtime.descriptor_limit =
      static_cast<std::size_t>(raw.descriptor_limit);
  settings.core.self.weight = std::max<std::int64_t>(
      1, std::llround(kWeightPerCore * raw.processor_share));
  settings.core.mirror.max_propagation_delay =
      std::min({raw.leaving_known_within, raw.configuration_known_within,
                kMaxPropagationDelay});
  if (raw.evacuation_known_within > Duration()) {
    settings.core.mirror.max_propagation_delay =
        std::min(settings.core.mirror.max_propagation_delay,
                 raw.evacuation_known_within);
  }
  settings.core.selector.even_load.is_enabled =
      IsOn(raw.even_load, raw.contracts);
  settings.core.retry_share.settle_time = std::max(
      settings.core.retry_share.settle_time,
      settings.core.mirror.max_propagation_delay + Duration::Seconds(1));
  settings.core.requests.overload.is_enabled =
      IsOn(raw.overload, raw.contracts);
  settings.core.self.caller_address = Address(raw.callers);
  settings.core.self.peer_address = Address(raw.peers);
  settings.core.self.operator_address = Address(raw.peers);
  return errors;
}

// Reports values that are each in range but contradict each other.
std::vector<SettingError> CheckConsistency(
    const std::string& path,
    const GatewayProcessSettings& settings) {
  const NodeLeaseSettings& lease = settings.core.lease;
  if (lease.renew_interval * 2 + lease.margin <= lease.time_to_live) {
    return {};
  }
  return {MakeSettingValueError(
      path, "lease.time_to_live_ms",
      std::to_string(lease.time_to_live.millis()),
      "at least twice renew_interval_ms plus margin_ms, so that "
      "one lost renewal does not end the lease")};
}

}  // namespace

std::variant<GatewayProcessSettings, std::vector<SettingError>>
ReadGatewaySettings(const std::string& path) {
  GatewayProcessSettings settings;
  RawSettings raw;
  SettingsReader reader;
  DeclareAll(settings, raw, reader);
  std::vector<SettingError> errors = reader.ReadFile(path);
  if (errors.empty()) {
    errors = ParseRawSettings(path, raw, settings);
  }
  if (errors.empty()) {
    errors = CheckConsistency(path, settings);
  }
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

void WriteGatewaySettingsReference(std::ostream& out) {
  GatewayProcessSettings settings;
  RawSettings raw;
  SettingsReader reader;
  DeclareAll(settings, raw, reader);
  reader.WriteReference(out);
}

}  // namespace gcw
