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

}  // namespace

GatewayMetrics::GatewayMetrics()
    : events_(AddEvents(metrics_)),
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

}  // namespace gcw
