#include "transport/http_types.h"

#include <boost/beast/core/string.hpp>

namespace gcw {

namespace {

const std::string& FindHeader(const std::vector<HttpHeader>& headers,
                              std::string_view name) {
  static const std::string absent;
  for (const HttpHeader& header : headers) {
    if (boost::beast::iequals(header.name, name)) {
      return header.value;
    }
  }
  return absent;
}

constexpr int kMinFinalStatus = 200;
constexpr int kMaxFinalStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}  // namespace

std::optional<FinalStatus> FinalStatus::FromNumber(int number) {
  if (number < kMinFinalStatus || number > kMaxFinalStatus) {
    return std::nullopt;
  }
  return FinalStatus(number);
}

bool FinalStatus::excludes_body() const {
  return number_ == kNoContent || number_ == kNotModified;
}

const std::string& HttpRequest::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

const std::string& HttpResponse::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string_view HttpFailureKindName(HttpFailureKind kind) {
  switch (kind) {
    case HttpFailureKind::kConnectRefused:
      return "connect_refused";
    case HttpFailureKind::kConnectTimeout:
      return "connect_timeout";
    case HttpFailureKind::kConnectionReset:
      return "connection_reset";
    case HttpFailureKind::kProgressTimeout:
      return "silent";
    case HttpFailureKind::kDeadlineExceeded:
      return "deadline";
    case HttpFailureKind::kMalformedAnswer:
      return "malformed_answer";
    case HttpFailureKind::kAnswerTooLarge:
      return "answer_too_large";
    case HttpFailureKind::kAnswerTimeout:
      return "answer_timeout";
    case HttpFailureKind::kTruncated:
      return "truncated";
    case HttpFailureKind::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace gcw
