#include "transport/settings_document.h"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <utility>

#include <toml++/toml.h>

namespace gcw {
namespace {

using Entry = SettingsDocument::Entry;

// Returns the key as it appears in a path. A key that is not bare is quoted, so
// that its dots are not taken for nesting.
std::string PathSegment(std::string_view key) {
  const bool is_bare = std::all_of(key.begin(), key.end(), [](char letter) {
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           letter == '_' || letter == '-';
  });
  std::string text(key);
  return is_bare ? text : '"' + text + '"';
}

std::optional<SettingValue> ToValue(const toml::node& node) {
  if (const auto* integer = node.as_integer()) {
    return integer->get();
  }
  if (const auto* number = node.as_floating_point()) {
    return number->get();
  }
  if (const auto* flag = node.as_boolean()) {
    return flag->get();
  }
  if (const auto* text = node.as_string()) {
    return text->get();
  }
  const toml::array* array = node.as_array();
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<std::string> items;
  for (const toml::node& item : *array) {
    if (!item.is_string()) {
      return std::nullopt;
    }
    items.push_back(item.as_string()->get());
  }
  return items;
}

// Flattens the tables of a parsed file into entries.
class EntryCollector {
 public:
  EntryCollector(std::string_view text,
                 const SettingsDocument::IsDeclaredTable& is_declared_table)
      : is_declared_table_(is_declared_table) {
    std::istringstream stream{std::string(text)};
    for (std::string line; std::getline(stream, line);) {
      lines_.push_back(line);
    }
  }

  void Add(const toml::table& table, const std::string& prefix) {
    for (const auto& [key, node] : table) {
      const std::string path = prefix + PathSegment(key.str());
      const toml::table* nested = node.as_table();
      if (nested != nullptr && is_declared_table_(path)) {
        Add(*nested, path + '.');
        continue;
      }
      const int line = static_cast<int>(key.source().begin.line);
      entries_.emplace(path,
                       Entry{line, SourceText(node.source()), ToValue(node)});
    }
  }

  std::map<std::string, Entry> Take() { return std::move(entries_); }

 private:
  // Columns and lines count from 1.
  std::string SourceText(const toml::source_region& region) const {
    if (region.begin.line == 0 || region.begin.line > lines_.size()) {
      return {};
    }
    const std::string& line = lines_[region.begin.line - 1];
    const std::size_t start = region.begin.column - 1;
    if (start >= line.size()) {
      return {};
    }
    const bool ends_here = region.end.line == region.begin.line &&
                           region.end.column > region.begin.column;
    return line.substr(start, ends_here
                                  ? region.end.column - region.begin.column
                                  : std::string::npos);
  }

  const SettingsDocument::IsDeclaredTable& is_declared_table_;
  std::vector<std::string> lines_;
  std::map<std::string, Entry> entries_;
};

}  // namespace

SettingsDocument::SettingsDocument(std::string file,
                                   std::map<std::string, Entry> entries)
    : file_(std::move(file)), entries_(std::move(entries)) {}

Result<SettingsDocument, SettingError> SettingsDocument::Parse(
    std::string_view text,
    const std::string& file,
    const IsDeclaredTable& is_declared_table) {
  EntryCollector collector(text, is_declared_table);
  // The parser throws; no exception leaves this function.
  try {
    collector.Add(toml::parse(text, file), "");
  } catch (const toml::parse_error& fault) {
    SettingError error;
    error.kind = SettingErrorKind::kSyntax;
    error.file = file;
    error.line = static_cast<int>(fault.source().begin.line);
    error.allowed = std::string(fault.description());
    return error;
  }
  return SettingsDocument(file, collector.Take());
}

}  // namespace gcw
