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

}  // namespace

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
