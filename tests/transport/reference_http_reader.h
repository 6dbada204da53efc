#ifndef TESTS_TRANSPORT_REFERENCE_HTTP_READER_H_
#define TESTS_TRANSPORT_REFERENCE_HTTP_READER_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/core/string.hpp>

#include "transport/http_types.h"

namespace gcw {

// Reads an answer line by line, as RFC 9112 says, independently of the client's
// parser.
class ReferenceHttpReader {
 public:
  // Returns the answer with which the bytes begin, if it is whole. The
  // connection was closed properly after the bytes.
  static std::optional<HttpResponse> Read(std::string_view bytes) {
    ReferenceHttpReader reader(bytes);
    HttpResponse answer;
    do {
      answer = {};
      if (!reader.ReadHead(answer) || answer.status == 101) {
        return std::nullopt;
      }
    } while (answer.status < 200);
    return reader.ReadBody(answer) ? std::optional(answer) : std::nullopt;
  }

 private:
  explicit ReferenceHttpReader(std::string_view bytes) : rest_(bytes) {}

  std::optional<std::string_view> TakeLine() {
    const std::size_t end = rest_.find("\r\n");
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view line = rest_.substr(0, end);
    rest_.remove_prefix(end + 2);
    return line;
  }

  static bool IsText(std::string_view text) {
    return std::ranges::all_of(text, [](unsigned char c) {
      return c == '\t' || (c >= 0x20 && c != 0x7f);
    });
  }

  static bool IsToken(std::string_view text) {
    static constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [](char c) {
      return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
             (c >= 'A' && c <= 'Z') ||
             kOthers.find(c) != std::string_view::npos;
    });
  }

  static std::string_view Trim(std::string_view text) {
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) {
      return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
  }

  static std::optional<std::size_t> ReadNumber(std::string_view text,
                                               int base) {
    const auto is_digit = [base](char c) {
      return (c >= '0' && c <= '9') ||
             (base == 16 && ((c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F')));
    };
    if (text.empty() || text.size() > 9 ||
        !std::ranges::all_of(text, is_digit)) {
      return std::nullopt;
    }
    return std::stoul(std::string(text), nullptr, base);
  }

  bool ReadHead(HttpResponse& answer) {
    const std::optional<std::string_view> status_line = TakeLine();
    if (!status_line || status_line->size() < 13 ||
        !(status_line->starts_with("HTTP/1.1 ") ||
          status_line->starts_with("HTTP/1.0 ")) ||
        status_line->at(12) != ' ' || !IsText(*status_line)) {
      return false;
    }
    const auto status = ReadNumber(status_line->substr(9, 3), 10);
    if (!status || *status < 100 || *status > 599) {
      return false;
    }
    answer.status = static_cast<int>(*status);
    while (const std::optional<std::string_view> line = TakeLine()) {
      if (line->empty()) {
        return true;
      }
      const std::size_t colon = line->find(':');
      if (colon == std::string_view::npos || !IsToken(line->substr(0, colon)) ||
          !IsText(line->substr(colon + 1))) {
        return false;
      }
      answer.headers.push_back({std::string(line->substr(0, colon)),
                                std::string(Trim(line->substr(colon + 1)))});
    }
    return false;
  }

  bool ReadBody(HttpResponse& answer) {
    std::vector<std::string_view> lengths;
    std::vector<std::string_view> codings;
    for (const HttpHeader& header : answer.headers) {
      if (boost::beast::iequals(header.name, "Content-Length")) {
        lengths.push_back(header.value);
      } else if (boost::beast::iequals(header.name, "Transfer-Encoding")) {
        codings.push_back(header.value);
      }
    }
    if (answer.status == 204 || answer.status == 304) {
      return true;
    }
    if (!codings.empty()) {
      return codings.size() == 1 && lengths.empty() &&
             boost::beast::iequals(codings[0], "chunked") && ReadChunks(answer);
    }
    if (lengths.empty()) {
      answer.body = rest_;
      return true;
    }
    const auto length = ReadNumber(lengths[0], 10);
    if (!length || std::ranges::any_of(lengths, [&](std::string_view each) {
          return each != lengths[0];
        })) {
      return false;
    }
    answer.body = rest_.substr(0, *length);
    return answer.body.size() == *length;
  }

  bool ReadChunks(HttpResponse& answer) {
    while (const std::optional<std::string_view> line = TakeLine()) {
      const auto size = ReadNumber(Trim(line->substr(0, line->find(';'))), 16);
      if (!size) {
        return false;
      }
      if (*size == 0) {
        return SkipTrailers();
      }
      if (rest_.size() < *size + 2 || rest_.substr(*size, 2) != "\r\n") {
        return false;
      }
      answer.body += rest_.substr(0, *size);
      rest_.remove_prefix(*size + 2);
    }
    return false;
  }

  bool SkipTrailers() {
    while (const std::optional<std::string_view> line = TakeLine()) {
      if (line->empty()) {
        return true;
      }
    }
    return false;
  }

  std::string_view rest_;
};

}  // namespace gcw

#endif  // TESTS_TRANSPORT_REFERENCE_HTTP_READER_H_
