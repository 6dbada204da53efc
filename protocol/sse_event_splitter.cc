#include "protocol/sse_event_splitter.h"

#include <charconv>

namespace gcw {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

std::optional<std::string_view> SseEventSplitter::Feed(std::string_view bytes) {
  if (failed_) {
    return std::nullopt;
  }
  buffer_.erase(0, returned_bytes_);
  returned_bytes_ = 0;
  // The end of an event may be split over two reads.
  std::size_t search = buffer_.empty() ? 0 : buffer_.size() - 1;
  buffer_ += bytes;
  while (true) {
    const std::size_t end = buffer_.find(kEventEnd, search);
    if (end == std::string::npos) {
      break;
    }
    const std::size_t after = end + kEventEnd.size();
    if (!ReadEventId(std::string_view(buffer_).substr(
            returned_bytes_, after - returned_bytes_))) {
      failed_ = true;
      return std::nullopt;
    }
    returned_bytes_ = after;
    search = after;
  }
  if (buffer_.size() - returned_bytes_ > kMaxEventBytes) {
    failed_ = true;
    return std::nullopt;
  }
  return std::string_view(buffer_).substr(0, returned_bytes_);
}

bool SseEventSplitter::ReadEventId(std::string_view event) {
  std::size_t position = 0;
  while (position < event.size()) {
    const std::size_t end = event.find('\n', position);
    std::string_view line = event.substr(position, end - position);
    position = end == std::string_view::npos ? event.size() : end + 1;
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::int64_t id = 0;
    const auto read =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec != std::errc() || (last_id_ && id != *last_id_ + 1)) {
      return false;
    }
    last_id_ = id;
    return true;
  }
  return false;
}

}  // namespace gcw
