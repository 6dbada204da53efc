#include "transport/http_error.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace gcw {

namespace {

constexpr int kUnavailable = 503;

struct ErrorInfo {
  int status;
  std::string_view type;
  std::string_view message;
};

ErrorInfo InfoFor(HttpErrorKind kind) {
  switch (kind) {
    case HttpErrorKind::kMalformedRequest:
      return {400, "malformed_request", "The request is not valid HTTP/1.1."};
    case HttpErrorKind::kIncompleteRequest:
      return {400, "incomplete_request",
              "The connection was closed before the request was whole."};
    case HttpErrorKind::kRequestTimeout:
      return {408, "request_timeout",
              "The request did not arrive whole in time."};
    case HttpErrorKind::kBodyTooLarge:
      return {413, "body_too_large", "The body is over the limit."};
    case HttpErrorKind::kHeadersTooLarge:
      return {431, "headers_too_large", "The headers are over the limit."};
    case HttpErrorKind::kFramingTooLarge:
      return {431, "framing_too_large",
              "The chunk lines or trailers are over the limit."};
    case HttpErrorKind::kTooManyConnections:
      return {kUnavailable, "too_many_connections",
              "Too many connections; ask /v1/entries for another address."};
    case HttpErrorKind::kOutOfMemory:
      return {kUnavailable, "out_of_memory",
              "The node has no memory for the request, which was not run; ask "
              "another one."};
    case HttpErrorKind::kNoAnswer:
      return {500, "internal", "The request was given up without an answer."};
    case HttpErrorKind::kInvalidResponse:
      return {500, "internal", "The answer is not valid HTTP/1.1."};
  }
  return {500, "internal", "Unknown error."};
}

}  // namespace

int HttpErrorStatus(HttpErrorKind kind) {
  return InfoFor(kind).status;
}

std::string_view HttpErrorType(HttpErrorKind kind) {
  return InfoFor(kind).type;
}

HttpResponse MakeErrorResponse(int status,
                               std::string_view type,
                               std::string_view message) {
  boost::json::object error;
  error["type"] = type;
  error["message"] = message;
  boost::json::object body;
  body["error"] = std::move(error);
  return HttpResponse{status,
                      {{"Content-Type", "application/json"}},
                      boost::json::serialize(body)};
}

HttpResponse MakeErrorResponse(HttpErrorKind kind) {
  const ErrorInfo info = InfoFor(kind);
  HttpResponse response =
      MakeErrorResponse(info.status, info.type, info.message);
  if (info.status == kUnavailable) {
    response.headers.push_back({"Retry-After", "1"});
  }
  return response;
}

}  // namespace gcw
