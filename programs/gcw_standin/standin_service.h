#ifndef PROGRAMS_GCW_STANDIN_STANDIN_SERVICE_H_
#define PROGRAMS_GCW_STANDIN_STANDIN_SERVICE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "programs/gcw_standin/execution_counts.h"
#include "state/state.h"

namespace gcw {

struct ServiceCall {
  std::string method;
  std::string target;
  // Empty if the caller sent none.
  std::string idempotency_key;
  std::string body;
};

// A plain service that runs and counts every call. It does not deduplicate, so
// that the counts show a call that ran twice.
class StandinService {
 public:
  struct Settings {
    EndpointId endpoint;
    // The concurrency that load reports state; it is not enforced.
    std::int64_t concurrency = 64;
  };

  explicit StandinService(Settings settings);

  // Runs the call and returns the body of its answer.
  std::string BeginCall(const ServiceCall& call);
  // Must be called when the answer to a call has been sent or its caller has
  // disconnected.
  void EndCall();

  LoadReport CurrentLoadReport(Time now) const;
  const ExecutionCounts& executions() const { return executions_; }

 private:
  Settings settings_;
  std::int64_t running_ = 0;
  ExecutionCounts executions_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STANDIN_SERVICE_H_
