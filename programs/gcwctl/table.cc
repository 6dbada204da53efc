#include "programs/gcwctl/table.h"

#include <algorithm>
#include <iomanip>

#include <boost/json.hpp>

namespace gcw {
namespace {

constexpr std::size_t kColumnGap = 2;

template <typename Items, typename Write>
std::string Join(const Items& items, Write write) {
  std::string text;
  for (const auto& item : items) {
    if (!text.empty()) {
      text.push_back(' ');
    }
    text += write(item);
  }
  return text;
}

}  // namespace

std::string PlainText(const boost::json::value& value) {
  if (value.is_string()) {
    return std::string(value.get_string());
  }
  if (value.is_null()) {
    return "-";
  }
  if (value.is_array()) {
    return Join(value.get_array(), PlainText);
  }
  if (value.is_object()) {
    return Join(value.get_object(), [](const auto& field) {
      return std::string(field.key()) + "=" + PlainText(field.value());
    });
  }
  return boost::json::serialize(value);
}

void PrintTable(const boost::json::array& rows,
                const std::vector<std::string>& columns,
                std::ostream& out) {
  std::vector<std::vector<std::string>> cells = {columns};
  for (const boost::json::value& row : rows) {
    std::vector<std::string>& line = cells.emplace_back();
    for (const std::string& column : columns) {
      const boost::json::value* value =
          row.is_object() ? row.get_object().if_contains(column) : nullptr;
      line.push_back(value == nullptr ? "-" : PlainText(*value));
    }
  }
  std::vector<std::size_t> widths(columns.size());
  for (const std::vector<std::string>& line : cells) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], line[column].size());
    }
  }
  for (const std::vector<std::string>& line : cells) {
    for (std::size_t column = 0; column + 1 < line.size(); ++column) {
      out << std::left
          << std::setw(static_cast<int>(widths[column] + kColumnGap))
          << line[column];
    }
    out << line.back() << '\n';
  }
}

}  // namespace gcw
