#include "protocol/load_report_json.h"

#include "protocol/json_reader.h"
#include "protocol/json_writer.h"

namespace gcw {

std::string EncodeLoadReport(const LoadReport& report) {
  return boost::json::serialize(boost::json::object{
      {"endpoint", ToJson(report.endpoint)},
      {"generation", ToJson(report.generation)},
      {"taken_at_ms", ToJson(report.taken_at)},
      {"queued_requests", report.queued_requests},
      {"running_requests", report.running_requests},
      {"batch_limit", report.batch_limit},
      {"queued_prompt_tokens", ToJson(report.queued_prompt_tokens)},
      {"cache_used", ToJson(report.cache_used)},
      {"cache_capacity", ToJson(report.cache_capacity)}});
}

Decoded<LoadReport> DecodeLoadReport(std::string_view text) {
  return DecodeJson(text, [](JsonReader& reader) {
    LoadReport report;
    report.endpoint = reader.TextId<EndpointId>("endpoint");
    report.generation = reader.CountOf<Generation>("generation");
    report.taken_at = reader.TimeMillis("taken_at_ms");
    report.queued_requests = reader.Count("queued_requests");
    report.running_requests = reader.Count("running_requests");
    report.batch_limit = reader.Count("batch_limit");
    report.queued_prompt_tokens =
        reader.CountOf<TokenCount>("queued_prompt_tokens");
    report.cache_used = reader.CountOf<TokenCount>("cache_used");
    report.cache_capacity = reader.CountOf<TokenCount>("cache_capacity");
    return report;
  });
}

}  // namespace gcw
