#ifndef TRANSPORT_NODE_METRICS_H_
#define TRANSPORT_NODE_METRICS_H_

#include <string>
#include <unordered_map>

#include "coordination/coordination.h"
#include "transport/metrics.h"

namespace gcw {

// What a node counts of its requests, as `/metrics` shows it.
class NodeMetrics {
 public:
  explicit NodeMetrics(Metrics& metrics);

  // On the control thread.
  void OnAction(const NodeAction& action);
  void OnEvent(const NodeEvent& event);
  // The request is over, whatever its outcome.
  void Forget(const RequestId& request) { dispatches_.erase(request); }

  // On traffic threads. From the request's arrival.
  void OnFirstToken(Duration since_arrival) {
    first_token_.Record(static_cast<double>(since_arrival.millis()));
  }
  void OnNextToken(Duration since_last) {
    token_gap_.Record(static_cast<double>(since_last.millis()));
  }

 private:
  void OnAttemptEnd(const AttemptEnd& end);
  void Count(std::string_view outcome, std::string_view reason);

  CounterFamily& outcomes_;
  CounterFamily& attempts_;
  CounterFamily& store_calls_;
  Counter& retries_;
  Distribution& first_token_;
  Distribution& token_gap_;
  std::unordered_map<RequestId, int> dispatches_;
};

}  // namespace gcw

#endif  // TRANSPORT_NODE_METRICS_H_
