#ifndef TRANSPORT_HTTP_FRAMING_H_
#define TRANSPORT_HTTP_FRAMING_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "transport/http_types.h"

namespace gcw {

// How the bytes of one answer are laid out on its connection.
struct AnswerFraming {
  // 10 or 11.
  unsigned version = 11;
  bool keep_alive = true;
  // Answers to HEAD carry no body.
  bool head_only = false;
};

// The functions below set the headers that frame a message themselves and pass
// over those (Content-Length, Transfer-Encoding, Connection, ...) and malformed
// ones in the given lists, so that what one side says of its connection never
// leaks into another.

std::string EncodeWhole(const HttpResponse& response,
                        const AnswerFraming& framing);
// Status line and headers of an answer whose body follows in chunks.
std::string EncodeStreamHead(int status,
                             const std::vector<HttpHeader>& headers,
                             const AnswerFraming& framing);
// One chunk; a chunk of no bytes is left out, as it would end the body.
std::string EncodeChunk(std::string_view chunk, const AnswerFraming& framing);
std::string EncodeLastChunk(const AnswerFraming& framing);

// No value where method or target could not be sent without changing what
// follows, such as with a line break.
std::optional<std::string> EncodeRequest(const HttpRequest& request,
                                         const std::string& host);

std::vector<HttpHeader> ToHeaders(const boost::beast::http::fields& fields);

}  // namespace gcw

#endif  // TRANSPORT_HTTP_FRAMING_H_
