#include "transport/gateway/gateway_metrics.h"

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
          "Open requests that other nodes passed on to this one.")) {}

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
