#include "protocol/load_wire.h"

namespace gcw {
namespace {

SharedLoad Get(const wire::SharedLoad& in, WireFieldChecker& checker) {
  SharedLoad load;
  LoadReport& report = load.report;
  report.endpoint =
      checker.RequiredId<EndpointId>(in.endpoint(), "load.endpoint");
  report.generation =
      checker.CountOf<Generation>(in.generation(), "load.generation");
  load.age = checker.DurationMillis(in.age_ms(), "load.age_ms");
  report.queued_requests =
      checker.Count(in.queued_requests(), "load.queued_requests");
  report.running_requests =
      checker.Count(in.running_requests(), "load.running_requests");
  report.batch_limit = checker.Count(in.batch_limit(), "load.batch_limit");
  report.queued_prompt_tokens = checker.CountOf<TokenCount>(
      in.queued_prompt_tokens(), "load.queued_prompt_tokens");
  report.cache_used =
      checker.CountOf<TokenCount>(in.cache_used(), "load.cache_used");
  report.cache_capacity =
      checker.CountOf<TokenCount>(in.cache_capacity(), "load.cache_capacity");
  return load;
}

}  // namespace

wire::PeerBody ToWire(const LoadDigest& message) {
  wire::PeerBody body;
  wire::LoadDigest* const out = body.mutable_load_digest();
  for (const SharedLoad& load : message.loads) {
    const LoadReport& report = load.report;
    wire::SharedLoad* const added = out->add_loads();
    added->set_endpoint(report.endpoint.value());
    added->set_generation(report.generation.value());
    added->set_age_ms(load.age.millis());
    added->set_queued_requests(report.queued_requests);
    added->set_running_requests(report.running_requests);
    added->set_batch_limit(report.batch_limit);
    added->set_queued_prompt_tokens(report.queued_prompt_tokens.value());
    added->set_cache_used(report.cache_used.value());
    added->set_cache_capacity(report.cache_capacity.value());
  }
  return body;
}

std::optional<LoadDigest> LoadFromWire(const wire::PeerBody& body,
                                       WireFieldChecker& checker) {
  if (!body.has_load_digest()) {
    return std::nullopt;
  }
  LoadDigest digest;
  for (const wire::SharedLoad& load : body.load_digest().loads()) {
    digest.loads.push_back(Get(load, checker));
  }
  return digest;
}

}  // namespace gcw
