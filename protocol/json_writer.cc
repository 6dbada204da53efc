#include "protocol/json_writer.h"

#include <cmath>

namespace gcw {

boost::json::value NumberToJson(double number) {
  const auto limit = static_cast<double>(JsonReader::kMaxInteger);
  if (std::abs(number) <= limit && std::trunc(number) == number) {
    return static_cast<std::int64_t>(number);
  }
  return number;
}

}  // namespace gcw
