#include "programs/gcw_load/error_answer.h"

#include <charconv>

#include "protocol/protocol.h"

namespace gcw {
namespace {

constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kMinServerError = 500;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
// Limit of `Retry-After`, in seconds: a malformed response cannot ask for more
// than a day.
constexpr std::int64_t kMaxRetrySeconds = 24L * 3600;

std::optional<Duration> ReadRetryAfter(const std::string& text) {
  std::int64_t seconds = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, seconds);
  if (error != std::errc() || rest != end || seconds < 0 ||
      seconds > kMaxRetrySeconds) {
    return std::nullopt;
  }
  return Duration::Seconds(seconds);
}

bool IsPermanent(int status, const std::string& type) {
  if (type == "ran_earlier") {
    return true;
  }
  return status < kMinServerError && status != kConflict &&
         status != kTooManyRequests;
}

}  // namespace

std::optional<ErrorAnswer> ReadErrorAnswer(std::string_view text) {
  boost::json::error_code syntax;
  const boost::json::value value = boost::json::parse(text, syntax);
  const boost::json::object* object = syntax ? nullptr : value.if_object();
  const boost::json::value* error =
      object == nullptr ? nullptr : object->if_contains("error");
  if (error == nullptr || !error->is_object()) {
    return std::nullopt;
  }
  const boost::json::object& fields = error->get_object();
  const boost::json::value* type = fields.if_contains("type");
  if (type == nullptr || !type->is_string()) {
    return std::nullopt;
  }
  ErrorAnswer answer{std::string(type->get_string()), std::nullopt};
  const boost::json::value* retry_after = fields.if_contains("retry_after_ms");
  if (retry_after != nullptr && retry_after->is_int64() &&
      retry_after->get_int64() >= 0) {
    answer.retry_after = Duration::Millis(retry_after->get_int64());
  }
  return answer;
}

FailedAnswer ReadFailedAnswer(const HttpResponse& response) {
  FailedAnswer failed;
  failed.retry_after = ReadRetryAfter(response.Header("Retry-After"));
  const auto error = ReadErrorAnswer(response.body);
  if (error) {
    failed.type = error->type;
    if (error->retry_after) {
      failed.retry_after = error->retry_after;
    }
  } else {
    failed.type = "status_" + std::to_string(response.status);
  }
  const bool is_outcome_unknown =
      response.status == kInternalError || response.status == kBadGateway;
  const bool concerns_request = error || response.status < kMinServerError;
  if (!is_outcome_unknown && concerns_request) {
    failed.kind = FailedAnswerKind::kNotRun;
  }
  failed.permanent = IsPermanent(response.status, failed.type);
  return failed;
}

}  // namespace gcw
