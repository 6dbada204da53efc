#include "programs/gcw_node/node_settings.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "programs/daemon/setting_value_error.h"

namespace gcw {
namespace {

constexpr TextRange kIdText{1, 64};
constexpr TextRange kAddressText{3, 64};
constexpr IntegerRange kPort{0, 65535};
constexpr TextRange kSecretText{16, 512};
constexpr ListRange kAnyList{0, 64};
constexpr DurationRange kShortDuration{Duration::Millis(10),
                                       Duration::Seconds(60)};
constexpr DurationRange kLongDuration{Duration::Millis(100),
                                      Duration::Seconds(24L * 3600)};

// Lists whose items are parsed after the file has been read.
struct RawSettings {
  std::vector<std::string> seeds;
  std::vector<std::string> zone_distances;
};

void DeclareIdentity(NodeSettings& settings, SettingsReader& reader) {
  NodeRecord& self = settings.core.self;
  reader.Add("node.id", &self.id, kIdText,
             "Name of this node, stable over restarts.",
             SettingPresence::kRequired);
  reader.Add("node.zone", &self.zone, kIdText, "Data centre of this node.",
             SettingPresence::kRequired);
  reader.Add("node.region", &self.region, kIdText, "Region of the data centre.",
             SettingPresence::kRequired);
  reader.Add("node.weight", &self.weight, IntegerRange{1, 1000},
             "Weight of this node when callers are distributed over nodes.");
  reader.Add("node.traffic_threads", &settings.traffic_threads,
             IntegerRange{1, 64},
             "Number of threads for callers and endpoints, in addition to the "
             "control thread.");
}

void DeclareListening(NodeSettings& settings, SettingsReader& reader) {
  reader.Add("callers.ip", &settings.caller_listen.ip, kAddressText,
             "IP address for callers.");
  reader.Add("callers.port", &settings.caller_listen.port, kPort,
             "Port for callers; 0 lets the kernel choose.");
  reader.Add("peers.ip", &settings.peer_listen.ip, kAddressText,
             "IP address for other nodes.");
  reader.Add("peers.port", &settings.peer_listen.port, kPort,
             "Port for other nodes; 0 lets the kernel choose.");
  reader.Add("operators.ip", &settings.operator_listen.ip, kAddressText,
             "IP address for operators.");
  reader.Add("operators.port", &settings.operator_listen.port, kPort,
             "Port for operators; 0 lets the kernel choose.");
  reader.AddSecret("peers.secret_file", &settings.peer_secret, kSecretText,
                   "File with the secret that all nodes share.",
                   SettingPresence::kRequired);
  reader.AddSecret("operators.credential_file", &settings.operator_credential,
                   kSecretText, "File with the operators' credential.",
                   SettingPresence::kRequired);
}

void DeclarePlatform(NodeSettings& settings, SettingsReader& reader) {
  reader.Add("store.address", &settings.store, kAddressText,
             "Address of the key-value service.", SettingPresence::kRequired);
  reader.Add("store.timeout_ms", &settings.store_timeout, kShortDuration,
             "Timeout for an answer of the key-value service.");
  reader.Add("vm_list.address", &settings.vm_list, kAddressText,
             "Address of the VM list.", SettingPresence::kRequired);
  reader.Add("vm_list.interval_ms", &settings.core.endpoints.vm_list_interval,
             kLongDuration, "Time between reads of the VM list.");
  reader.Add("weights.address", &settings.weights, kAddressText,
             "Address of the weight store.", SettingPresence::kRequired);
}

void DeclareCallers(NodeSettings& settings, SettingsReader& reader) {
  reader.Add("entries.keep_ms", &settings.core.entries.ttl, kLongDuration,
             "Time for which callers may cache an answer of GET /v1/entries.");
  reader.Add("entries.spread_ms", &settings.core.entries.propagation_delay,
             kLongDuration,
             "Time until all nodes know that a node is leaving.");
  reader.Add("callers.connect_timeout_ms", &settings.callers.connect_timeout,
             kShortDuration, "Timeout for connecting to an endpoint.");
  reader.Add("callers.model_progress_timeout_ms",
             &settings.callers.model_progress_timeout, kShortDuration,
             "Timeout without a byte in an engine's stream.");
  reader.Add("callers.service_progress_timeout_ms",
             &settings.callers.service_progress_timeout, kShortDuration,
             "Timeout without a byte from a plain service.");
  reader.Add("callers.model_timeout_ms",
             &settings.callers.default_model_timeout, kLongDuration,
             "Deadline of model requests that specify none.");
  reader.Add("callers.service_timeout_ms",
             &settings.callers.default_service_timeout, kLongDuration,
             "Deadline of plain service requests that specify none.");
}

void DeclareControl(NodeSettings& settings, SettingsReader& reader) {
  NodeCoreSettings& core = settings.core;
  reader.Add("lease.time_to_live_ms", &core.lease.time_to_live, kLongDuration,
             "Time to live of the node's lease.");
  reader.Add("lease.renew_interval_ms", &core.lease.renew_interval,
             kLongDuration, "Time between renewals of the node's lease.");
  reader.Add("lease.margin_ms", &core.lease.margin, kLongDuration,
             "Safety margin: time before its expiry from which the lease is no "
             "longer used.");
  reader.Add("orders.takeover_wait_ms", &core.controller.order.takeover_wait,
             kLongDuration,
             "Wait of a new keeper before its first order; at least "
             "lease.time_to_live_ms.");
  reader.Add("membership.period_ms", &core.membership.period, kShortDuration,
             "Time between probes of other nodes.");
  reader.Add("gate.max_evidence_age_ms", &core.gate.max_evidence_age,
             kShortDuration,
             "Maximum age of the evidence that a group in this zone is "
             "complete; the group closes when the evidence is older.");
  reader.Add("gate.max_remote_evidence_age_ms",
             &core.gate.max_remote_evidence_age, kShortDuration,
             "Like gate.max_evidence_age_ms, for groups in other zones.");
  reader.Add("keeper.loss_after_ms", &core.controller.tracker.loss_timeout,
             kShortDuration,
             "Time without a sign of life after which a VM counts as lost.");
  reader.Add("keeper.list_lag_ms", &core.controller.tracker.max_list_lag,
             kLongDuration, "Maximum delay of the VM list.");
  reader.Add("keeper.plan_interval_ms", &core.controller.plan_interval,
             kShortDuration, "Time between two repair plans.");
  reader.Add("repair.group_downtime_weight",
             &core.controller.planner.weights.group_downtime,
             NumberRange{0, 1e6},
             "Cost of one second in which a wanted group cannot serve.");
  reader.Add("repair.stranded_accelerator_weight",
             &core.controller.planner.weights.stranded_accelerator,
             NumberRange{0, 1e6},
             "Cost of one second in which an accelerator is idle.");
  reader.Add("limits.shards", &core.limits.shards, IntegerRange{1, 1024},
             "Number of shards that the limits of contracts are distributed "
             "over; must be the same on all nodes.");
}

void DeclareLogging(NodeSettings& settings, SettingsReader& reader) {
  reader.Add("log.events_kept", &settings.events_kept,
             IntegerRange{100, 10000000},
             "Number of timeline events kept in memory.");
  reader.Add("log.events", &settings.log_events,
             "Whether events of the timeline are also written to the log.");
  reader.AddChoice<LogSeverity>("log.severity", &settings.log_severity,
                                {{"info", LogSeverity::kInfo},
                                 {"warning", LogSeverity::kWarning},
                                 {"error", LogSeverity::kError}},
                                "Lowest severity that is logged.");
}

void DeclareAll(NodeSettings& settings,
                RawSettings& raw,
                SettingsReader& reader) {
  DeclareIdentity(settings, reader);
  DeclareListening(settings, reader);
  DeclarePlatform(settings, reader);
  DeclareCallers(settings, reader);
  DeclareControl(settings, reader);
  DeclareLogging(settings, reader);
  reader.Add("peers.seeds", &raw.seeds, kAnyList,
             "Nodes to ask while the key-value service is unavailable, each "
             "\"id@ip:port\".");
  reader.Add(
      "zones.distances", &raw.zone_distances, kAnyList,
      "One-way delay to other data centres, each \"zone=milliseconds\".");
}

std::optional<NodeRecord> ParseSeed(const std::string& text) {
  const std::size_t at = text.find('@');
  if (at == std::string::npos || at == 0 ||
      text.find(':', at) == std::string::npos) {
    return std::nullopt;
  }
  NodeRecord seed;
  seed.id = NodeId(text.substr(0, at));
  seed.peer_address = Address(text.substr(at + 1));
  return seed;
}

std::optional<ZoneDistance> ParseDistance(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0) {
    return std::nullopt;
  }
  ZoneDistance distance;
  distance.zone = ZoneId(text.substr(0, equals));
  const char* begin = text.data() + equals + 1;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(begin, end, distance.millis);
  if (result.ec != std::errc() || result.ptr != end || distance.millis < 0) {
    return std::nullopt;
  }
  return distance;
}

std::vector<SettingError> ParseRawSettings(const std::string& path,
                                           const RawSettings& raw,
                                           NodeSettings& settings) {
  std::vector<SettingError> errors;
  for (const std::string& text : raw.seeds) {
    if (std::optional<NodeRecord> seed = ParseSeed(text)) {
      settings.core.seeds.push_back(std::move(*seed));
    } else {
      errors.push_back(
          MakeSettingValueError(path, "peers.seeds", text, "id@ip:port"));
    }
  }
  for (const std::string& text : raw.zone_distances) {
    if (std::optional<ZoneDistance> distance = ParseDistance(text)) {
      settings.core.router.distances.push_back(std::move(*distance));
    } else {
      errors.push_back(MakeSettingValueError(path, "zones.distances", text,
                                             "zone=milliseconds"));
    }
  }
  return errors;
}

bool IsHeaderText(const std::string& text) {
  constexpr char kFirstPrintable = ' ';
  constexpr char kLastPrintable = '~';
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c >= kFirstPrintable && c <= kLastPrintable;
  });
}

// Reports values that are each in range but contradict each other, and a peer
// secret that a header cannot carry.
std::vector<SettingError> CheckConsistency(const std::string& path,
                                           const NodeSettings& settings) {
  std::vector<SettingError> errors;
  const NodeLeaseSettings& lease = settings.core.lease;
  if (lease.renew_interval * 2 + lease.margin > lease.time_to_live) {
    errors.push_back(MakeSettingValueError(
        path, "lease.time_to_live_ms",
        std::to_string(lease.time_to_live.millis()),
        "at least twice renew_interval_ms plus margin_ms, so that one "
        "lost renewal does not end the lease"));
  }
  const OrderSettings& order = settings.core.controller.order;
  if (lease.time_to_live - lease.margin - lease.renew_interval <
      order.timeout + order.margin) {
    errors.push_back(MakeSettingValueError(
        path, "lease.time_to_live_ms",
        std::to_string(lease.time_to_live.millis()),
        "at least renew_interval_ms plus margin_ms plus " +
            std::to_string((order.timeout + order.margin).millis()) +
            " ms, so that an order can be sent at any time between two "
            "renewals"));
  }
  // The secret is sent to other nodes in a header, which allows only printable
  // ASCII. Any other byte would end the process at its first call to a peer.
  if (!IsHeaderText(settings.peer_secret.Reveal())) {
    errors.push_back(MakeSettingValueError(path, "peers.secret_file",
                                           "(withheld)",
                                           "printable ASCII characters only"));
  }
  const Duration wait = order.takeover_wait;
  if (wait < lease.time_to_live) {
    errors.push_back(MakeSettingValueError(path, "orders.takeover_wait_ms",
                                           std::to_string(wait.millis()),
                                           "at least lease.time_to_live_ms"));
  }
  return errors;
}

}  // namespace

std::variant<NodeSettings, std::vector<SettingError>> ReadNodeSettings(
    const std::string& path) {
  NodeSettings settings;
  RawSettings raw;
  SettingsReader reader;
  DeclareAll(settings, raw, reader);
  std::vector<SettingError> errors = reader.ReadFile(path);
  if (!errors.empty()) {
    return errors;
  }
  errors = ParseRawSettings(path, raw, settings);
  if (errors.empty()) {
    errors = CheckConsistency(path, settings);
  }
  if (!errors.empty()) {
    return errors;
  }
  settings.core.router.zone = settings.core.self.zone;
  return settings;
}

void WriteNodeSettingsReference(std::ostream& out) {
  NodeSettings settings;
  RawSettings raw;
  SettingsReader reader;
  DeclareAll(settings, raw, reader);
  reader.WriteReference(out);
}

}  // namespace gcw
