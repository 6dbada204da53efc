#ifndef PROTOCOL_JSON_WRITER_H_
#define PROTOCOL_JSON_WRITER_H_

#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "core/core.h"
#include "protocol/json_reader.h"

namespace gcw {

inline boost::json::value ToJson(std::string_view text) {
  return boost::json::value(boost::json::string_view(text));
}

inline boost::json::value ToJson(Time time) {
  return time.millis();
}

inline boost::json::value ToJson(Duration duration) {
  return duration.millis();
}

// Writes whole numbers up to `JsonReader::kMaxInteger` without fraction and
// exponent.
boost::json::value NumberToJson(double number);

template <typename Tag>
boost::json::value ToJson(const StrongId<Tag>& id) {
  return ToJson(std::string_view(id.value()));
}

template <typename Tag>
boost::json::value ToJson(StrongNumber<Tag> number) {
  return number.value();
}

template <typename Choice, std::size_t kSize>
boost::json::value ChoiceToJson(Choice choice,
                                const ChoiceNames<Choice, kSize>& names) {
  for (const auto& [candidate, name] : names) {
    if (candidate == choice) {
      return ToJson(name);
    }
  }
  return nullptr;
}

template <typename Items>
boost::json::array ListToJson(const Items& items) {
  boost::json::array array;
  array.reserve(items.size());
  for (const auto& item : items) {
    array.push_back(ToJson(item));
  }
  return array;
}

}  // namespace gcw

#endif  // PROTOCOL_JSON_WRITER_H_
