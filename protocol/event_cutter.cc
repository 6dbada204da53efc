#include "protocol/event_cutter.h"

#include <charconv>

namespace gcw {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

std::optional<std::string_view> EventCutter::Feed(std::string_view bytes) {
  if (failed_) {
    return std::nullopt;
  }
  buffer_.erase(0, whole_);
  whole_ = 0;
  // The end of an event may be split over two reads.
  std::size_t search = buffer_.empty() ? 0 : buffer_.size() - 1;
  buffer_ += bytes;
  while (true) {
    const std::size_t end = buffer_.find(kEventEnd, search);
    if (end == std::string::npos) {
      break;
    }
    const std::size_t after = end + kEventEnd.size();
    if (!TakeEvent(std::string_view(buffer_).substr(whole_, after - whole_))) {
      failed_ = true;
      return std::nullopt;
    }
    whole_ = after;
    search = after;
  }
  if (buffer_.size() - whole_ > kMaxEventBytes) {
    failed_ = true;
    return std::nullopt;
  }
  return std::string_view(buffer_).substr(0, whole_);
}

bool EventCutter::TakeEvent(std::string_view event) {
  std::size_t at = 0;
  while (at < event.size()) {
    const std::size_t end = event.find('\n', at);
    std::string_view line = event.substr(at, end - at);
    at = end == std::string_view::npos ? event.size() : end + 1;
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
