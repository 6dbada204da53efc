#include "transport/gateway/gateway_metrics.h"

#include <cmath>
#include <utility>

namespace gcw {
namespace {

Counter& AddUnlabeledCounter(Metrics& metrics,
                             std::string name,
                             std::string help) {
  MetricSpec spec;
  spec.name = std::move(name);
  spec.help = std::move(help);
  return metrics.AddCounter(std::move(spec)).With({});
}

Gauge& AddUnlabeledGauge(Metrics& metrics, std::string name, std::string help) {
  MetricSpec spec;
  spec.name = std::move(name);
  spec.help = std::move(help);
  return metrics.AddGauge(std::move(spec)).With({});
}

CounterFamily& AddEventFamily(Metrics& metrics) {
  MetricSpec spec;
  spec.name = "gcw_events_total";
  spec.help = "Events of the time line, by kind.";
  spec.label_names = {"kind"};
  return metrics.AddCounter(std::move(spec));
}

CounterFamily& AddOutcomeFamily(Metrics& metrics) {
  MetricSpec spec;
  spec.name = "gcw_outcomes_total";
  spec.help = "Requests that are over, by outcome for the caller.";
  spec.label_names = {"outcome"};
  return metrics.AddCounter(std::move(spec));
}

CounterFamily& AddRefusalFamily(Metrics& metrics) {
  MetricSpec spec;
  spec.name = "gcw_refusals_total";
  spec.help = "Requests that were refused, by reason.";
  spec.label_names = {"reason"};
  return metrics.AddCounter(std::move(spec));
}

CounterFamily& AddDeferralFamily(Metrics& metrics) {
  MetricSpec spec;
  spec.name = "gcw_deferred_total";
  spec.help = "Requests of models that were deferred on arrival, by reason.";
  spec.label_names = {"rank", "reason"};
  return metrics.AddCounter(std::move(spec));
}

MetricSpec MakeModelSpec(std::string name, std::string help) {
  MetricSpec spec;
  spec.name = std::move(name);
  spec.help = std::move(help);
  spec.label_names = {"service", "model"};
  return spec;
}

MetricSpec MakeServiceSpec(std::string name, std::string help) {
  MetricSpec spec;
  spec.name = std::move(name);
  spec.help = std::move(help);
  spec.label_names = {"service"};
  return spec;
}

// Raises the counter to the value, which does not fall.
void RaiseTo(Counter& counter, std::int64_t value) {
  const auto target = static_cast<std::uint64_t>(value);
  if (target > counter.value()) {
    counter.Add(target - counter.value());
  }
}

DistributionFamily& AddLatencyFamily(Metrics& metrics,
                                     std::string name,
                                     std::string help) {
  MetricSpec spec;
  spec.name = std::move(name);
  spec.help = std::move(help);
  spec.label_names = {"outcome"};
  return metrics.AddDistribution(std::move(spec), BucketRange{});
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : events_(AddEventFamily(metrics_)),
      outcomes_(AddOutcomeFamily(metrics_)),
      refusals_(AddRefusalFamily(metrics_)),
      first_byte_times_(
          AddLatencyFamily(metrics_,
                           "gcw_first_byte_ms",
                           "From arrival to the first byte, milliseconds.")),
      total_times_(AddLatencyFamily(metrics_,
                                    "gcw_request_ms",
                                    "From arrival to the end, milliseconds.")),
      retries_(metrics_.AddCounter(
          MakeServiceSpec("gcw_retry_budget_spent_total",
                          "Further sends that the retry budget allowed."))),
      denied_retries_(metrics_.AddCounter(
          MakeServiceSpec("gcw_retry_budget_denied_total",
                          "Further sends that the retry budget denied."))),
      uncounted_sends_(metrics_.AddCounter(MakeServiceSpec(
          "gcw_uncounted_sends_total",
          "Further sends that the retry budget does not count."))),
      deferrals_(AddDeferralFamily(metrics_)),
      retry_budget_spent_(metrics_.AddGauge(
          MakeServiceSpec("gcw_retry_budget_window_spent",
                          "Retries of this node in the last window."))),
      retry_budget_available_(metrics_.AddGauge(MakeServiceSpec(
          "gcw_retry_budget_available",
          "Retries that this node may send at once, rounded down."))),
      groups_serving_(metrics_.AddGauge(
          MakeModelSpec("gcw_groups_serving",
                        "Serving groups of the model, at the controller."))),
      groups_needed_(metrics_.AddGauge(MakeModelSpec(
          "gcw_groups_needed",
          "Groups that the model's requests fill, rounded up, at the "
          "controller."))),
      preferred_groups_(metrics_.AddGauge(
          MakeModelSpec("gcw_preferred_groups",
                        "Groups of the model that this node prefers."))),
      fill_spread_(metrics_.AddGauge(MakeModelSpec(
          "gcw_fill_spread",
          "Standard deviation of the known numbers of requests in the model's "
          "groups, in percent of their slots."))),
      load_report_age_ms_(metrics_.AddGauge(MakeModelSpec(
          "gcw_load_report_age_ms",
          "Mean age of the load reports of the model's groups in use, "
          "milliseconds."))),
      rejected_with_room_(AddUnlabeledCounter(
          metrics_,
          "gcw_rejected_with_room_total",
          "Requests that an endpoint rejected while the known endpoints of its "
          "model were less than two thirds full.")),
      requests(AddUnlabeledCounter(metrics_,
                                   "gcw_requests_total",
                                   "Requests of callers that were read.")),
      store_calls(AddUnlabeledCounter(metrics_,
                                      "gcw_store_calls_total",
                                      "Calls to the key-value service.")),
      store_failures(AddUnlabeledCounter(
          metrics_,
          "gcw_store_failures_total",
          "Calls to the key-value service without an answer.")),
      orders(AddUnlabeledCounter(metrics_,
                                 "gcw_orders_total",
                                 "Orders sent to engines.")),
      probes(AddUnlabeledCounter(metrics_,
                                 "gcw_probes_total",
                                 "Probes sent to engines.")),
      limited_endpoints(AddUnlabeledGauge(
          metrics_,
          "gcw_limited_endpoints",
          "Endpoints that name a limit on the requests of all nodes.")),
      held_endpoints(AddUnlabeledGauge(
          metrics_,
          "gcw_held_endpoints",
          "Endpoints that asked this node for no more requests.")),
      blocked_requests(AddUnlabeledGauge(
          metrics_,
          "gcw_blocked_fingerprints",
          "Requests that are refused because they crashed endpoints.")),
      suspected_requests(
          AddUnlabeledGauge(metrics_,
                            "gcw_suspected_fingerprints",
                            "Requests that may have crashed an endpoint.")),
      endpoints_unreachable(AddUnlabeledGauge(
          metrics_,
          "gcw_endpoints_unreachable",
          "1 while this node reaches no endpoint although other nodes do.")),
      relayed_requests(
          AddUnlabeledGauge(metrics_,
                            "gcw_relayed_requests",
                            "Open requests that run through another node.")),
      accepted_relays(AddUnlabeledGauge(
          metrics_,
          "gcw_accepted_relays",
          "Open requests that other nodes passed on to this one.")),
      retry_share_nodes(AddUnlabeledGauge(
          metrics_,
          "gcw_retry_share_nodes",
          "Parts into which the nodes divide the slack of the retry budgets; 0 "
          "while this node has none.")),
      age_ms(AddUnlabeledGauge(metrics_,
                               "gcw_age_ms",
                               "Time since the process began to work.")),
      evacuated_zones(
          AddUnlabeledGauge(metrics_,
                            "gcw_evacuated_zones",
                            "Data centres whose endpoints get no requests.")),
      unreadable_entries(AddUnlabeledGauge(
          metrics_,
          "gcw_unreadable_entries",
          "Entries of the key-value service that are skipped because they "
          "cannot be read.")),
      buffered_bytes(AddUnlabeledGauge(
          metrics_,
          "gcw_buffered_bytes",
          "Bytes of requests, with what is received and not parsed, of answers "
          "that are buffered and of unsent responses.")),
      refused_for_memory(AddUnlabeledGauge(
          metrics_,
          "gcw_refused_for_memory",
          "Requests that were refused because there was no memory for them.")),
      evicted_requests(AddUnlabeledGauge(metrics_,
                                         "gcw_evicted_requests",
                                         "Incomplete requests that had stalled "
                                         "and were refused because others "
                                         "needed their memory.")),
      evicted_connections(AddUnlabeledGauge(
          metrics_,
          "gcw_evicted_connections",
          "Connections that were closed because new ones needed their place.")),
      refused_connections(AddUnlabeledGauge(
          metrics_,
          "gcw_refused_connections",
          "Connections that were refused because there were too many.")),
      open_connections(
          AddUnlabeledGauge(metrics_,
                            "gcw_open_connections",
                            "Open connections, accepted ones and own ones.")),
      cold_endpoints(AddUnlabeledGauge(
          metrics_,
          "gcw_cold_endpoints",
          "Endpoints that are, or may be, cold after a start.")),
      cold_endpoint_senders(AddUnlabeledGauge(
          metrics_,
          "gcw_cold_endpoint_senders",
          "Cold endpoints that this node may send requests to.")) {}

void GatewayMetrics::RecordPlacements(
    const std::vector<ModelPlacement>& placements) {
  for (const std::vector<std::string>& labels : placed_models_) {
    groups_serving_.With(labels).Set(0);
    groups_needed_.With(labels).Set(0);
  }
  for (const ModelPlacement& placement : placements) {
    const std::vector<std::string> labels = {placement.service.value(),
                                             placement.model.value()};
    placed_models_.insert(labels);
    groups_serving_.With(labels).Set(
        static_cast<std::int64_t>(placement.serving));
    groups_needed_.With(labels).Set(
        static_cast<std::int64_t>(std::ceil(placement.needed)));
  }
}

void GatewayMetrics::RecordModelLoads(const std::vector<ModelLoad>& loads,
                                      std::int64_t rejected_with_room) {
  constexpr double kPercent = 100;
  for (const std::vector<std::string>& labels : loaded_models_) {
    preferred_groups_.With(labels).Set(0);
    fill_spread_.With(labels).Set(0);
    load_report_age_ms_.With(labels).Set(0);
  }
  for (const ModelLoad& load : loads) {
    const std::vector<std::string> labels = {load.service.value(),
                                             load.model.value()};
    loaded_models_.insert(labels);
    preferred_groups_.With(labels).Set(load.preferred);
    fill_spread_.With(labels).Set(std::llround(load.fill_spread * kPercent));
    load_report_age_ms_.With(labels).Set(load.report_age.millis());
  }
  RaiseTo(rejected_with_room_, rejected_with_room);
}

void GatewayMetrics::RecordRetryBudgets(
    const std::vector<RetryBudgetStatus>& budgets,
    std::size_t share_nodes) {
  retry_share_nodes.Set(static_cast<std::int64_t>(share_nodes));
  for (const RetryBudgetStatus& budget : budgets) {
    const std::vector<std::string> labels = {budget.service.value()};
    RaiseTo(retries_.With(labels), budget.total_spent);
    RaiseTo(denied_retries_.With(labels), budget.total_denied);
    RaiseTo(uncounted_sends_.With(labels), budget.total_uncounted);
    retry_budget_spent_.With(labels).Set(budget.spent);
    retry_budget_available_.With(labels).Set(
        static_cast<std::int64_t>(budget.available));
  }
}

void GatewayMetrics::RecordDeferrals(const DeferralCounts& counts) {
  for (const auto& [key, count] : counts) {
    const auto& [rank, reason] = key;
    RaiseTo(deferrals_.With({std::to_string(rank.value()),
                             std::string(DeferralReasonName(reason))}),
            count);
  }
}

void GatewayMetrics::CountEvent(const TimelineEvent& event) {
  events_.With({std::string(EventKindName(event.draft.kind))}).Add();
  if (event.draft.kind != EventKind::kRequestRefused) {
    return;
  }
  for (const EventField& field : event.draft.fields) {
    if (field.name == "reason") {
      refusals_.With({std::get<std::string>(field.value)}).Add();
    }
  }
}

void GatewayMetrics::RecordRequest(const ForwardSummary& summary) {
  const std::string outcome(ForwardOutcomeName(summary.outcome));
  outcomes_.With({outcome}).Add();
  first_byte_times_.With({outcome}).Record(
      static_cast<double>(summary.time_to_first_byte.millis()));
  total_times_.With({outcome}).Record(
      static_cast<double>(summary.total_time.millis()));
}

}  // namespace gcw
