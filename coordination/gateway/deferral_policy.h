#ifndef COORDINATION_GATEWAY_DEFERRAL_POLICY_H_
#define COORDINATION_GATEWAY_DEFERRAL_POLICY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "coordination/gateway/urgency.h"
#include "core/core.h"

namespace gcw {

struct DeferralPolicySettings {
  // As many requests go first and wait as begin, at this node's present rate,
  // within this part of the objective. Without a queue streams begin after half
  // of it. At 1.9 times the usual load 159 requests begin in time in the third
  // and fourth second rather than 143 with 0.8 or 59 without this policy
  // (OverloadTest's groups, mean of 20 seeds).
  double window_part = 0.5;
  // Never fewer: some have to show whether there is room.
  double least_window = 1;
  // Span over which the beginnings are counted.
  Duration rate_span = Duration::Seconds(1);
};

// Decides which requests give way while a model has more of them than its
// groups can begin in time.
//
// Served in order of arrival, all of them wait in the same long queue, and all
// are late: with 1.5 times the work that can be done, nobody is served in time.
// Here a node lets only so many go first as its requests begin within the
// objective; what arrives beyond them is deferred behind. Who waits is counted
// while the queue stands, not learnt from requests that began late, and the
// count follows what the node sees of its own requests, without a message. It
// takes requests as they come, so no customer, kind or size is left out.
class DeferralPolicy {
 public:
  explicit DeferralPolicy(DeferralPolicySettings settings)
      : settings_(settings) {}

  // Of a request that has not waited yet.
  Urgency Grade(Time now,
                const ServiceId& service,
                const ModelId& model,
                Duration objective);
  // A request that goes first waits for its beginning from now on.
  void OnWaits(const ServiceId& service, const ModelId& model);
  // It waits no more: it began or ended.
  void OnWaitOver(const ServiceId& service, const ModelId& model);
  // A request began, whether it went first or not.
  void OnBegan(Time now, const ServiceId& service, const ModelId& model);

  // How many that go first may wait at a time.
  double Window(Time now,
                const ServiceId& service,
                const ModelId& model,
                Duration objective);
  // Models of which anything is kept.
  std::size_t models() const { return waiting_.size(); }

 private:
  struct Waiting {
    int requests = 0;
    // Times of the beginnings within the span.
    std::deque<Time> begun;
  };

  Waiting& At(const ServiceId& service, const ModelId& model) {
    return waiting_[{service, model}];
  }

  DeferralPolicySettings settings_;
  std::map<std::pair<ServiceId, ModelId>, Waiting> waiting_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_DEFERRAL_POLICY_H_
