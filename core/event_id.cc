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
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || parsed_end != end || number < 0) {
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
  const std::size_t counter_separator = text.rfind(kSeparator);
  if (counter_separator == std::string_view::npos || counter_separator == 0) {
    return std::nullopt;
  }
  const std::size_t incarnation_separator =
      text.rfind(kSeparator, counter_separator - 1);
  if (incarnation_separator == std::string_view::npos ||
      incarnation_separator == 0) {
    return std::nullopt;
  }
  const auto incarnation =
      ParseNumber(text.substr(incarnation_separator + 1,
                              counter_separator - incarnation_separator - 1));
  const auto counter = ParseNumber(text.substr(counter_separator + 1));
  if (!incarnation || !counter) {
    return std::nullopt;
  }
  return EventIdParts{
      NodeId(std::string(text.substr(0, incarnation_separator))),
      Incarnation(*incarnation), *counter};
}

}  // namespace gcw
