#ifndef TRANSPORT_HTTP_ERROR_H_
#define TRANSPORT_HTTP_ERROR_H_

#include <string_view>

#include "transport/http_types.h"

namespace gcw {

// Errors that the server itself sends.
enum class HttpErrorKind {
  kMalformedRequest,
  // The caller closed its sending side before the request was complete.
  kIncompleteRequest,
  kRequestTimeout,
  kBodyTooLarge,
  kHeadersTooLarge,
  // Chunk lines or trailers.
  kFramingTooLarge,
  kTooManyConnections,
  // All messages together take as much memory as the server may use.
  kOutOfMemory,
  // The handler released the request without a response.
  kNoAnswer,
  // The handler's response has an invalid status.
  kInvalidResponse,
};

int HttpErrorStatus(HttpErrorKind kind);
std::string_view HttpErrorType(HttpErrorKind kind);

// Builds the body `{"error":{"type":...,"message":...}}` with any status and
// type.
HttpResponse MakeErrorResponse(int status,
                               std::string_view type,
                               std::string_view message);
HttpResponse MakeErrorResponse(HttpErrorKind kind);

}  // namespace gcw

#endif  // TRANSPORT_HTTP_ERROR_H_
