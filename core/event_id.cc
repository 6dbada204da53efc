#include "core/event_id.h"

#include <charconv>
#include <string>
#include <string_view>

namespace gcw {
namespace {

constexpr char kSeparator = '/';

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

EventId MakeEventId(const EventIdParts& parts) {
  std::string id = parts.node.value();
  id += kSeparator;
  id += std::to_string(parts.incarnation.value());
  id += kSeparator;
  id += std::to_string(parts.counter);
  return EventId(std::move(id));
}

std::optional<EventIdParts> ParseEventId(const EventId& id) {
  const std::string_view text = id.value();
  // The node's id may itself contain separators, so the numbers are parsed from
  // the end.
  const std::size_t last = text.rfind(kSeparator);
  if (last == std::string_view::npos || last == 0) {
    return std::nullopt;
  }
  const std::size_t middle = text.rfind(kSeparator, last - 1);
  if (middle == std::string_view::npos || middle == 0) {
    return std::nullopt;
  }
  const auto incarnation =
      ParseNumber(text.substr(middle + 1, last - middle - 1));
  const auto counter = ParseNumber(text.substr(last + 1));
  if (!incarnation || !counter) {
    return std::nullopt;
  }
  return EventIdParts{NodeId(std::string(text.substr(0, middle))),
                      Incarnation(*incarnation), *counter};
}

}  // namespace gcw
