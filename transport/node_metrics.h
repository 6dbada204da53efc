#ifndef TRANSPORT_NODE_METRICS_H_
#define TRANSPORT_NODE_METRICS_H_

#include <string>
#include <unordered_map>

#include "coordination/coordination.h"
#include "transport/metrics.h"

namespace gcw {

// The request metrics of a node, served at `/metrics`.
class NodeMetrics {
 public:
  explicit NodeMetrics(Metrics& metrics);

  // These are called on the control thread.
  void OnAction(const NodeAction& action);
  void OnEvent(const NodeEvent& event);
  // Drops the state of a finished request.
  void ForgetRequest(const RequestId& request) {
    dispatch_counts_.erase(request);
  }

  // These are called on traffic threads. `since_arrival` is the time since the
  // arrival of the request.
  void OnFirstToken(Duration since_arrival) {
    first_token_.Record(static_cast<double>(since_arrival.millis()));
  }
  void OnTokenGap(Duration since_last) {
    token_gap_.Record(static_cast<double>(since_last.millis()));
  }

 private:
  void OnAttemptEnd(const AttemptEnd& end);
  void CountOutcome(std::string_view outcome, std::string_view reason);

  CounterFamily& outcomes_;
  CounterFamily& attempts_;
  CounterFamily& store_calls_;
  Counter& retries_;
  Distribution& first_token_;
  Distribution& token_gap_;
  std::unordered_map<RequestId, int> dispatch_counts_;
};

}  // namespace gcw

#endif  // TRANSPORT_NODE_METRICS_H_
