#include "transport/http_framing.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/verb.hpp>

namespace gcw {

namespace http = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 8> kFramingHeaders = {
    "Connection", "Content-Length",   "Expect",
    "Keep-Alive", "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding"};

// Beast throws if a header is longer than 64 KB.
constexpr std::size_t kMaxHeaderBytes = 60UL * 1024;

bool IsTooLong(const HttpHeader& header) {
  return header.name.size() + header.value.size() > kMaxHeaderBytes;
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool IsTokenCharacter(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z') ||
         kPunctuation.find(c) != std::string_view::npos;
}

// Whether the text is a token of RFC 9110, such as a header's name.
bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenCharacter);
}

bool IsForwardable(const HttpHeader& header) {
  return IsToken(header.name) && !IsTooLong(header) &&
         std::ranges::none_of(header.value, IsControl) &&
         std::ranges::none_of(kFramingHeaders, [&](std::string_view name) {
           return boost::beast::iequals(name, header.name);
         });
}

void InsertHeaders(const std::vector<HttpHeader>& headers,
                   http::fields& fields) {
  for (const HttpHeader& header : headers) {
    if (IsForwardable(header)) {
      fields.insert(header.name, header.value);
    }
  }
}

template <bool is_request>
std::string EncodeHead(http::message<is_request, http::empty_body>& message) {
  http::serializer<is_request, http::empty_body> serializer(message);
  serializer.split(true);
  std::string head;
  boost::system::error_code error;
  serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
    head = boost::beast::buffers_to_string(buffers);
  });
  return head;
}

http::response<http::empty_body> MakeHead(
    FinalStatus status,
    const std::vector<HttpHeader>& headers,
    const ResponseFraming& framing) {
  http::response<http::empty_body> head;
  head.version(framing.version);
  head.result(static_cast<unsigned>(status.number()));
  InsertHeaders(headers, head);
  head.keep_alive(framing.keep_alive);
  return head;
}

}  // namespace

std::string EncodeResponse(FinalStatus status,
                           const std::vector<HttpHeader>& headers,
                           std::string_view body,
                           const ResponseFraming& framing) {
  http::response<http::empty_body> head = MakeHead(status, headers, framing);
  if (status.excludes_body()) {
    return EncodeHead(head);
  }
  head.content_length(body.size());
  std::string bytes = EncodeHead(head);
  if (!framing.head_only) {
    bytes += body;
  }
  return bytes;
}

std::string EncodeStreamHead(FinalStatus status,
                             const std::vector<HttpHeader>& headers,
                             const ResponseFraming& framing) {
  http::response<http::empty_body> head = MakeHead(status, headers, framing);
  if (framing.version >= 11) {
    head.chunked(true);
  }
  return EncodeHead(head);
}

std::string EncodeChunk(std::string_view chunk,
                        const ResponseFraming& framing) {
  if (chunk.empty() || framing.head_only) {
    return {};
  }
  if (framing.version < 11) {
    return std::string(chunk);
  }
  return boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::buffer(chunk.data(), chunk.size())));
}

std::string EncodeLastChunk(const ResponseFraming& framing) {
  if (framing.version < 11 || framing.head_only) {
    return {};
  }
  return boost::beast::buffers_to_string(http::make_chunk_last());
}

std::optional<std::string> EncodeRequest(const HttpRequest& request,
                                         const std::string& host) {
  const bool target_is_clean = std::ranges::none_of(request.target, [](char c) {
    return IsControl(c) || c == ' ' || c == '\t';
  });
  if (!IsToken(request.method) || request.target.empty() || !target_is_clean ||
      host.size() > kMaxHeaderBytes ||
      std::ranges::any_of(request.headers, IsTooLong)) {
    return std::nullopt;
  }
  http::request<http::empty_body> head;
  head.version(11);
  head.method_string(request.method);
  head.target(request.target);
  InsertHeaders(request.headers, head);
  if (head.find(http::field::host) == head.end()) {
    head.set(http::field::host, host);
  }
  const http::verb verb = http::string_to_verb(request.method);
  const bool body_expected = verb != http::verb::get &&
                             verb != http::verb::head &&
                             verb != http::verb::options;
  if (body_expected || !request.body.empty()) {
    head.content_length(request.body.size());
  }
  return EncodeHead(head) + request.body;
}

bool HasSupportedCoding(const http::fields& head) {
  const std::size_t codings = head.count(http::field::transfer_encoding);
  return codings == 0 ||
         (codings == 1 && boost::beast::iequals(
                              head[http::field::transfer_encoding], "chunked"));
}

bool HasFoldedLine(std::string_view head_lines) {
  return head_lines.find("\n ") != std::string_view::npos ||
         head_lines.find("\n\t") != std::string_view::npos;
}

std::vector<HttpHeader> ToHeaders(const http::fields& fields) {
  std::vector<HttpHeader> headers;
  headers.reserve(
      static_cast<std::size_t>(std::distance(fields.begin(), fields.end())));
  for (const auto& field : fields) {
    headers.push_back({field.name_string(), field.value()});
  }
  return headers;
}

}  // namespace gcw
