#include "programs/gcw_standin/standin_service.h"

#include <utility>

#include "protocol/protocol.h"

namespace gcw {

StandinService::StandinService(Settings settings)
    : settings_(std::move(settings)) {}

std::string StandinService::Begin(const ServiceCall& call) {
  ++running_;
  const std::string content =
      call.method + ' ' + call.target + '\n' + call.body;
  executions_.Count(call.idempotency_key, content);
  return boost::json::serialize(
      boost::json::object{{"endpoint", ToJson(settings_.endpoint)},
                          {"method", call.method},
                          {"target", call.target},
                          {"key", call.idempotency_key},
                          {"content", HexOf(HashOf(content))},
                          {"execution", executions_.OfContent(content)}});
}

void StandinService::End() {
  --running_;
}

LoadReport StandinService::Load(Time now) const {
  LoadReport report;
  report.endpoint = settings_.endpoint;
  report.taken_at = now;
  report.running_requests = running_;
  report.batch_limit = settings_.concurrency;
  return report;
}

}  // namespace gcw
