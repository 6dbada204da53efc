#include "programs/gcwctl/operator_client.h"

#include <cctype>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace gcw {
namespace {

using FetchResult = Result<HttpResponse, HttpFailure>;

OperatorCallError ErrorOfFailure(const HttpFailure& failure) {
  return OperatorCallError{failure.progress == HttpProgress::kNothingSent
                               ? OperatorCallErrorKind::kUnreachable
                               : OperatorCallErrorKind::kNoAnswer};
}

}  // namespace

OperatorClient::OperatorClient(Address node,
                               Secret credential,
                               Duration timeout)
    : node_(std::move(node)),
      credential_(std::move(credential)),
      timeout_(timeout) {}

Result<OperatorAnswer, OperatorCallError> OperatorClient::Call(
    const std::string& method,
    const std::string& target,
    const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers = {{"Authorization", "Bearer " + credential_.Reveal()},
                     {"Content-Type", "application/json"}};
  request.body = body;
  HttpCallOptions options;
  options.connect_timeout = timeout_;
  options.progress_timeout = timeout_;
  options.deadline = timeout_;
  boost::asio::io_context context;
  HttpClient client(context);
  std::optional<FetchResult> fetched;
  client.Fetch(node_, std::move(request), options, [&](FetchResult result) {
    fetched = std::move(result);
    context.stop();
  });
  context.run();
  if (!fetched) {
    return OperatorCallError{OperatorCallErrorKind::kNoAnswer};
  }
  if (!IsOk(*fetched)) {
    return ErrorOfFailure(ErrorOf(*fetched));
  }
  OperatorAnswer answer;
  answer.status = ValueOf(*fetched).status;
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(ValueOf(*fetched).body, error);
  if (error || !value.is_object()) {
    return OperatorCallError{OperatorCallErrorKind::kAnswerMalformed};
  }
  answer.body = std::move(value.as_object());
  return answer;
}

std::string EscapeQuery(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    if (std::isalnum(code) != 0 || character == '-' || character == '.' ||
        character == '_') {
      escaped.push_back(character);
      continue;
    }
    escaped.push_back('%');
    escaped.push_back(kDigits[code >> 4]);
    escaped.push_back(kDigits[code & 0xF]);
  }
  return escaped;
}

}  // namespace gcw
