#ifndef TRANSPORT_GATEWAY_GATEWAY_METRICS_H_
#define TRANSPORT_GATEWAY_GATEWAY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "transport/gateway/forward_exchange.h"
#include "transport/metrics.h"

namespace gcw {

// The metrics of a gateway.
class GatewayMetrics {
 public:
  GatewayMetrics();

  std::string Expose() const { return metrics_.Expose(); }
  // Counts an event of the timeline by its kind.
  void CountEvent(const TimelineEvent& event);
  // Records the outcome and the latencies of a finished request.
  void RecordRequest(const ForwardSummary& summary);
  // Records the budgets for retries, which `share_nodes` nodes share.
  void RecordRetryBudgets(const std::vector<RetryBudgetStatus>& budgets,
                          std::size_t share_nodes);
  // Records the groups of the models that this node places. Models that it no
  // longer places are set to 0.
  void RecordPlacements(const std::vector<ModelPlacement>& placements);
  // Records how evenly the groups of each model are filled. Models that have no
  // groups any more are set to 0.
  void RecordModelLoads(const std::vector<ModelLoad>& loads,
                        std::int64_t rejected_with_room);
  // Records the requests that this node deferred.
  void RecordDeferrals(const DeferralCounts& counts);

 private:
  Metrics metrics_;
  CounterFamily& events_;
  CounterFamily& outcomes_;
  CounterFamily& refusals_;
  DistributionFamily& first_byte_times_;
  DistributionFamily& total_times_;
  CounterFamily& retries_;
  CounterFamily& denied_retries_;
  CounterFamily& uncounted_sends_;
  CounterFamily& deferrals_;
  GaugeFamily& retry_budget_spent_;
  GaugeFamily& retry_budget_available_;
  GaugeFamily& groups_serving_;
  GaugeFamily& groups_needed_;
  GaugeFamily& preferred_groups_;
  GaugeFamily& fill_spread_;
  GaugeFamily& load_report_age_ms_;
  Counter& rejected_with_room_;
  // Services and models with recorded placements.
  std::set<std::vector<std::string>> placed_models_;
  // Services and models with recorded loads.
  std::set<std::vector<std::string>> loaded_models_;

 public:
  Counter& requests;
  Counter& store_calls;
  Counter& store_failures;
  Counter& orders;
  Counter& probes;
  Gauge& limited_endpoints;
  Gauge& held_endpoints;
  Gauge& blocked_requests;
  Gauge& suspected_requests;
  Gauge& endpoints_unreachable;
  Gauge& relayed_requests;
  Gauge& accepted_relays;
  Gauge& retry_share_nodes;
  Gauge& age_ms;
  Gauge& evacuated_zones;
  Gauge& unreadable_entries;
  Gauge& buffered_bytes;
  Gauge& refused_for_memory;
  Gauge& evicted_requests;
  Gauge& evicted_connections;
  Gauge& refused_connections;
  Gauge& open_connections;
  Gauge& cold_endpoints;
  Gauge& cold_endpoint_senders;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_GATEWAY_METRICS_H_
