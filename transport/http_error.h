#ifndef TRANSPORT_HTTP_ERROR_H_
#define TRANSPORT_HTTP_ERROR_H_

#include <string_view>

#include "transport/http_types.h"

namespace gcw {

// What the server itself refuses, before any handler sees it.
enum class HttpErrorKind {
  kMalformedRequest,
  // The sender closed its side before the request was whole.
  kIncompleteRequest,
  kRequestTimeout,
  kBodyTooLarge,
  kHeadersTooLarge,
  kTooManyConnections,
  // The handler let go of the request without an answer.
  kNoAnswer,
};

int HttpErrorStatus(HttpErrorKind kind);
std::string_view HttpErrorType(HttpErrorKind kind);

// `{"error":{"type":...,"message":...}}` with any status and type.
HttpResponse MakeErrorResponse(int status,
                               std::string_view type,
                               std::string_view message);
HttpResponse MakeErrorResponse(HttpErrorKind kind);

}  // namespace gcw

#endif  // TRANSPORT_HTTP_ERROR_H_
