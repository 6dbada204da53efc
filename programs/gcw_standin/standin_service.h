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
  // Empty where the caller gave none.
  std::string idempotency_key;
  std::string body;
};

// A plain service that runs whatever reaches it and counts it. It does not
// deduplicate: running twice must show.
class StandinService {
 public:
  struct Settings {
    EndpointId endpoint;
    // Calls run at once; told in load reports only.
    std::int64_t concurrency = 64;
  };

  explicit StandinService(Settings settings);

  // Runs the call and returns the answer's body.
  std::string Begin(const ServiceCall& call);
  // The answer was given, or its caller went away.
  void End();

  LoadReport Load(Time now) const;
  const ExecutionCounts& executions() const { return executions_; }

 private:
  Settings settings_;
  std::int64_t running_ = 0;
  ExecutionCounts executions_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STANDIN_SERVICE_H_
