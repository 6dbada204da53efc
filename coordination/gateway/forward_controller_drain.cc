// A planned stop: which requests a node may still take, and what happens to
// those that it cannot finish.

#include <algorithm>
#include <utility>

#include "coordination/gateway/forward_controller.h"

namespace gcw {

bool ForwardController::FitsIntoDrain(Time now,
                                      const OpenRequest& open_request) const {
  if (!drain_end_) {
    return true;
  }
  const ModelId model =
      HasModels(open_request) ? open_request.request.model : ModelId();
  const std::optional<Duration> longest =
      run_times_.Longest(open_request.service, model);
  // A request ends at its deadline at the latest.
  return !longest ||
         std::min(open_request.deadline, now + *longest) <= *drain_end_;
}

void ForwardController::RecordRunTime(Time now,
                                      const OpenRequest& open_request) {
  const ModelId model =
      HasModels(open_request) ? open_request.request.model : ModelId();
  run_times_.OnFinished(now, open_request.service, model,
                        now - open_request.arrived);
}

std::vector<std::pair<ForwardId, ForwardStep>> ForwardController::EndAll(
    Time now) {
  std::vector<ForwardId> ids;
  ids.reserve(open_requests_.size());
  for (const auto& [id, open_request] : open_requests_) {
    ids.push_back(id);
  }
  std::vector<std::pair<ForwardId, ForwardStep>> steps;
  steps.reserve(ids.size());
  for (const ForwardId id : ids) {
    steps.emplace_back(id, EndUnfinished(now, open_requests_.at(id)));
    OnCallerGone(now, id);
  }
  return steps;
}

ForwardStep ForwardController::EndUnfinished(Time now,
                                             OpenRequest& open_request) {
  ForwardEnd end;
  end.kind = ForwardEndKind::kDeadlineExceeded;
  end.delivered = open_request.last_event != Time();
  const bool is_running = open_request.relay_node || open_request.second ||
                          by_attempt_.contains(open_request.attempt);
  open_request.possible_runs += is_running ? 1 : 0;
  return GiveUp(now, open_request, end, RefusalKind::kDraining);
}

}  // namespace gcw
