#include "programs/gcw_standin/standin_service.h"

#include <utility>

#include "protocol/protocol.h"

namespace gcw {

StandinService::StandinService(Settings settings)
    : settings_(std::move(settings)) {}

std::string StandinService::BeginCall(const ServiceCall& call) {
  ++running_;
  const std::string content =
      call.method + ' ' + call.target + '\n' + call.body;
  executions_.Count(call.idempotency_key, content);
  return boost::json::serialize(
      boost::json::object{{"endpoint", ToJson(settings_.endpoint)},
                          {"method", call.method},
                          {"target", call.target},
                          {"key", call.idempotency_key},
                          {"content", ToHex(Xxh3Hash(content))},
                          {"execution", executions_.OfContent(content)}});
}

void StandinService::EndCall() {
  --running_;
}

LoadReport StandinService::CurrentLoadReport(Time now) const {
  LoadReport report;
  report.endpoint = settings_.endpoint;
  report.taken_at = now;
  report.running_requests = running_;
  report.batch_limit = settings_.concurrency;
  return report;
}

}  // namespace gcw
