#ifndef TRANSPORT_HTTP_FRAMING_H_
#define TRANSPORT_HTTP_FRAMING_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "transport/http_types.h"

namespace gcw {

// How a response is framed on its connection.
struct ResponseFraming {
  // HTTP version: 10 for 1.0, 11 for 1.1.
  unsigned version = 11;
  bool keep_alive = true;
  // Responses to HEAD carry no body.
  bool head_only = false;
};

// The functions below set the framing headers (Content-Length,
// Transfer-Encoding, Connection, ...) themselves. They skip such headers and
// malformed ones in the given lists, so that headers about one connection never
// leak to another.

std::string EncodeResponse(FinalStatus status,
                           const std::vector<HttpHeader>& headers,
                           std::string_view body,
                           const ResponseFraming& framing);
// Encodes the status line and headers of a response whose body follows in
// chunks. The status must not exclude a body.
std::string EncodeStreamHead(FinalStatus status,
                             const std::vector<HttpHeader>& headers,
                             const ResponseFraming& framing);
// Encodes one chunk. An empty chunk is omitted, because it would end the body.
std::string EncodeChunk(std::string_view chunk, const ResponseFraming& framing);
std::string EncodeLastChunk(const ResponseFraming& framing);

// Returns nullopt if the method or the target contains characters, such as a
// line break, that would change the meaning of what follows, or if the host or
// a header is too long.
std::optional<std::string> EncodeRequest(const HttpRequest& request,
                                         const std::string& host);

// Returns whether the message has no transfer coding, or only chunked, which is
// the one that client and server decode.
bool HasSupportedCoding(const boost::beast::http::fields& head);

// Returns whether whole lines of a head contain one that continues the line
// before it. The parser joins the two, which would change a field.
bool HasFoldedLine(std::string_view head_lines);

std::vector<HttpHeader> ToHeaders(const boost::beast::http::fields& fields);

}  // namespace gcw

#endif  // TRANSPORT_HTTP_FRAMING_H_
