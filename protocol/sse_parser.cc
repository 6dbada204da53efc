#include "protocol/sse_parser.h"

#include <utility>

namespace gcw {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

bool SseParser::Feed(std::string_view bytes, const DataHook& on_data) {
  while (!failed_ && !bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() + data_.size() > kMaxEventBytes) {
      failed_ = true;
      break;
    }
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    const std::string line = std::exchange(line_, {});
    ProcessLine(line, on_data);
  }
  return !failed_;
}

void SseParser::ProcessLine(std::string_view line, const DataHook& on_data) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    const std::string data = std::exchange(data_, {});
    if (std::exchange(has_data_, false)) {
      on_data(data);
    }
    return;
  }
  if (!line.starts_with(kDataField)) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (has_data_) {
    data_.push_back('\n');
  }
  data_.append(line);
  has_data_ = true;
}

}  // namespace gcw
