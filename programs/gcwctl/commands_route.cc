// Commands about the routing of requests.

#include <boost/json.hpp>

#include "programs/gcwctl/answer_fields.h"
#include "programs/gcwctl/commands.h"
#include "programs/gcwctl/table.h"

namespace gcw {
namespace {

namespace json = boost::json;

// The only field of the answer that is shown as a table.
constexpr std::string_view kCandidates = "candidates";

// Appends a query parameter unless it is empty.
void AppendParameter(std::string_view name,
                     const std::string& value,
                     std::string& target) {
  if (value.empty()) {
    return;
  }
  target += target.find('?') == std::string::npos ? '?' : '&';
  target += std::string(name) + "=" + EscapeQuery(value);
}

}  // namespace

ExitCode Commands::ExplainRoute() {
  const RouteArguments& route = line_.route;
  if (Argument(1) != "explain" || route.host.empty() || route.path.empty() ||
      route.prompt_tokens < 0) {
    return PrintUsage();
  }
  std::string target = "/v1/route/explain";
  AppendParameter("host", route.host, target);
  AppendParameter("path", route.path, target);
  AppendParameter("model", route.model, target);
  AppendParameter("customer", route.customer, target);
  AppendParameter("service", route.service, target);
  AppendParameter("prompt_tokens", std::to_string(route.prompt_tokens), target);
  OperatorAnswer answer;
  ExitCode failure = ExitCode::kUnreachable;
  if (!FetchPage(target, answer, failure)) {
    return failure;
  }
  if (line_.json) {
    out_ << json::serialize(answer.body) << '\n';
    return ExitCode::kDone;
  }
  for (const auto& field : answer.body) {
    if (field.key() != kCandidates) {
      out_ << std::string_view(field.key()) << ": " << PlainText(field.value())
           << '\n';
    }
  }
  out_ << '\n';
  PrintTable(FieldList(answer.body, kCandidates),
             {"vm", "group", "zone", "running", "waiting", "slots",
              "load_age_ms", "expected_requests", "expected_wait_ms",
              "is_preferred", "excluded_by", "chosen_draws"},
             out_);
  return ExitCode::kDone;
}

}  // namespace gcw
