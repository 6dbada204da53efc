#include "transport/gateway/gateway_metrics.h"

#include <utility>

namespace gcw {
namespace {

Counter& AddPlainCounter(Metrics& metrics, std::string name, std::string help) {
  MetricSpec spec;
  spec.name = std::move(name);
  spec.help = std::move(help);
  return metrics.AddCounter(std::move(spec)).With({});
}

CounterFamily& AddEvents(Metrics& metrics) {
  MetricSpec spec;
  spec.name = "gcw_events_total";
  spec.help = "Events of the time line, by kind.";
  spec.label_names = {"kind"};
  return metrics.AddCounter(std::move(spec));
}

CounterFamily& AddOutcomes(Metrics& metrics) {
  MetricSpec spec;
  spec.name = "gcw_outcomes_total";
  spec.help = "Requests that are over, by outcome for the caller.";
  spec.label_names = {"outcome"};
  return metrics.AddCounter(std::move(spec));
}

DistributionFamily& AddTimes(Metrics& metrics,
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
    : events_(AddEvents(metrics_)),
      outcomes_(AddOutcomes(metrics_)),
      first_byte_(AddTimes(metrics_,
                           "gcw_first_byte_ms",
                           "From arrival to the first byte, milliseconds.")),
      whole_(AddTimes(metrics_,
                      "gcw_request_ms",
                      "From arrival to the end, milliseconds.")),
      requests(AddPlainCounter(metrics_,
                               "gcw_requests_total",
                               "Requests of callers that were read.")),
      store_calls(AddPlainCounter(metrics_,
                                  "gcw_store_calls_total",
                                  "Calls to the key-value service.")),
      store_failures(
          AddPlainCounter(metrics_,
                          "gcw_store_failures_total",
                          "Calls to the key-value service without an answer.")),
      orders(AddPlainCounter(metrics_,
                             "gcw_orders_total",
                             "Orders sent to engines.")),
      probes(AddPlainCounter(metrics_,
                             "gcw_probes_total",
                             "Probes sent to engines.")) {}

void GatewayMetrics::Observe(const TimelineEvent& event) {
  events_.With({std::string(EventKindName(event.draft.kind))}).Add();
}

void GatewayMetrics::ObserveRequest(const ForwardSummary& summary) {
  const std::string outcome(ForwardOutcomeName(summary.outcome));
  outcomes_.With({outcome}).Add();
  first_byte_.With({outcome}).Record(
      static_cast<double>(summary.first_byte.millis()));
  whole_.With({outcome}).Record(static_cast<double>(summary.whole.millis()));
}

}  // namespace gcw
