#include "transport/settings_reader.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <map>
#include <numeric>
#include <optional>
#include <sstream>

#include <toml++/toml.h>

namespace gcw {
namespace {

// Settings are written by hand; a larger file is a mistake.
constexpr std::size_t kMaxFileBytes = 1 << 20;
// An unknown key is taken for a misspelling of a key this near.
constexpr std::size_t kMaxSuggestionDistance = 3;
constexpr std::string_view kDurationSuffix = "_ms";
constexpr std::string_view kSecretSuffix = "_file";
constexpr std::string_view kWithheld = "(withheld)";

std::optional<std::string> ReadWholeFile(const std::filesystem::path& path,
                                         std::size_t max_bytes) {
  std::error_code error;
  if (!std::filesystem::is_regular_file(path, error)) {
    return std::nullopt;
  }
  std::ifstream file(path, std::ios::binary);
  std::string content(max_bytes + 1, '\0');
  file.read(content.data(), static_cast<std::streamsize>(content.size()));
  content.resize(static_cast<std::size_t>(file.gcount()));
  if (file.bad() || !file.eof() || content.size() > max_bytes) {
    return std::nullopt;
  }
  return content;
}

template <typename Number>
std::string RangeText(Number min, Number max, std::string_view unit = "") {
  std::ostringstream text;
  const bool has_min = min != std::numeric_limits<Number>::lowest();
  const bool has_max = max != std::numeric_limits<Number>::max();
  if (has_min && has_max) {
    text << min << " to " << max;
  } else if (has_min) {
    text << "at least " << min;
  } else if (has_max) {
    text << "at most " << max;
  } else {
    text << "any";
  }
  text << unit;
  return text.str();
}

std::string Joined(const std::vector<std::string>& items) {
  std::string joined;
  for (const std::string& item : items) {
    joined += joined.empty() ? "" : ", ";
    joined += item;
  }
  return joined;
}

std::string Quoted(const std::string& text) {
  std::string quoted = "\"";
  quoted += text;
  quoted += '"';
  return quoted;
}

// Levenshtein distance.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

// Somebody may write a key itself under a name that the program does not have,
// also within a table in one line.
bool MayHoldSecret(std::string_view text) {
  for (const std::string_view word :
       {"key", "secret", "token", "pass", "credential", "auth", "bearer"}) {
    if (text.find(word) != std::string_view::npos) {
      return true;
    }
  }
  return false;
}

bool LooksLikePath(std::string_view text) {
  return text.starts_with('/') || text.starts_with('.');
}

// The key as it stands in a path; a quoted key cannot pass for a nested one.
std::string KeyText(std::string_view key) {
  const bool is_bare = std::all_of(key.begin(), key.end(), [](char letter) {
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           letter == '_' || letter == '-';
  });
  return is_bare ? std::string(key) : Quoted(std::string(key));
}

}  // namespace

// What a settings file holds: its keys by path.
struct SettingsReader::Document {
  struct Entry {
    int line;
    // As in the file.
    std::string written;
    // Nothing for types that no setting has.
    std::optional<Value> value;
  };

  std::string file;
  std::map<std::string, Entry> entries;

  // Takes in the keys of a table. A table that no declared key lies in is one
  // entry, so that it is reported once and also when it is empty.
  void Add(const toml::table& table,
           const std::string& prefix,
           const std::vector<std::string>& lines,
           const SettingsReader& reader) {
    for (const auto& [key, node] : table) {
      const std::string path = prefix + KeyText(key.str());
      const toml::table* nested = node.as_table();
      if (nested != nullptr && reader.HasKeysBelow(path)) {
        Add(*nested, path + '.', lines, reader);
        continue;
      }
      entries.emplace(path,
                      Entry{static_cast<int>(key.source().begin.line),
                            Written(node.source(), lines), ToValue(node)});
    }
  }

 private:
  static std::optional<Value> ToValue(const toml::node& node) {
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

  // The first line of the value. Columns count from 1.
  static std::string Written(const toml::source_region& region,
                             const std::vector<std::string>& lines) {
    if (region.begin.line == 0 || region.begin.line > lines.size()) {
      return {};
    }
    const std::string& line = lines[region.begin.line - 1];
    const std::size_t start = region.begin.column - 1;
    if (start >= line.size()) {
      return {};
    }
    const bool ends_here = region.end.line == region.begin.line &&
                           region.end.column > region.begin.column;
    const std::size_t length =
        ends_here ? region.end.column - region.begin.column : std::string::npos;
    return line.substr(start, length);
  }
};

std::string_view SettingErrorKindName(SettingErrorKind kind) {
  switch (kind) {
    case SettingErrorKind::kFileUnreadable:
      return "file cannot be read";
    case SettingErrorKind::kSyntax:
      return "not TOML";
    case SettingErrorKind::kUnknownKey:
      return "unknown key";
    case SettingErrorKind::kMissing:
      return "missing";
    case SettingErrorKind::kWrongType:
      return "wrong type";
    case SettingErrorKind::kOutOfRange:
      return "out of range";
    case SettingErrorKind::kSecretUnreadable:
      return "secret cannot be read";
    case SettingErrorKind::kBadDeclaration:
      return "wrongly declared by the program";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, const SettingError& error) {
  out << error.file;
  if (error.line > 0) {
    out << ':' << error.line;
  }
  if (!error.key.empty()) {
    out << ": " << error.key;
  }
  if (!error.value.empty()) {
    out << " = " << error.value;
  }
  out << ": " << SettingErrorKindName(error.kind);
  if (!error.allowed.empty()) {
    out << "; " << error.allowed;
  }
  return out;
}

void SettingsReader::Add(std::string_view key,
                         std::int64_t* target,
                         IntegerRange range,
                         std::string_view doc,
                         SettingNeed presence) {
  AddInteger(key, *target, range, doc, presence,
             [target](std::int64_t number) { *target = number; });
}

void SettingsReader::Add(std::string_view key,
                         int* target,
                         IntegerRange range,
                         std::string_view doc,
                         SettingNeed presence) {
  using Limits = std::numeric_limits<int>;
  range.min = std::max<std::int64_t>(range.min, Limits::min());
  range.max = std::min<std::int64_t>(range.max, Limits::max());
  AddInteger(key, *target, range, doc, presence, [target](std::int64_t number) {
    *target = static_cast<int>(number);
  });
}

void SettingsReader::Add(std::string_view key,
                         double* target,
                         NumberRange range,
                         std::string_view doc,
                         SettingNeed presence) {
  std::ostringstream default_value;
  default_value << *target;
  Declare({std::string(key), "number", RangeText(range.min, range.max),
           default_value.str(), std::string(doc), presence, false,
           [target, range](const Value& value,
                           const std::string&) -> Result<Apply, Refusal> {
             const auto* integer = std::get_if<std::int64_t>(&value);
             const auto* floating = std::get_if<double>(&value);
             if (integer == nullptr && floating == nullptr) {
               return Refusal{SettingErrorKind::kWrongType};
             }
             const double number = floating != nullptr
                                       ? *floating
                                       : static_cast<double>(*integer);
             // Written so that NaN is refused.
             const bool is_inside = number >= range.min && number <= range.max;
             if (!is_inside) {
               return Refusal{SettingErrorKind::kOutOfRange};
             }
             return Apply([target, number] { *target = number; });
           }});
}

void SettingsReader::Add(std::string_view key,
                         bool* target,
                         std::string_view doc,
                         SettingNeed presence) {
  Declare({std::string(key), "boolean", "true or false",
           *target ? "true" : "false", std::string(doc), presence, false,
           [target](const Value& value,
                    const std::string&) -> Result<Apply, Refusal> {
             const auto* flag = std::get_if<bool>(&value);
             if (flag == nullptr) {
               return Refusal{SettingErrorKind::kWrongType};
             }
             return Apply([target, flag = *flag] { *target = flag; });
           }});
}

void SettingsReader::Add(std::string_view key,
                         std::string* target,
                         TextRange range,
                         std::string_view doc,
                         SettingNeed presence) {
  AddText(key, *target, range, doc, presence,
          [target](std::string text) { *target = std::move(text); });
}

void SettingsReader::Add(std::string_view key,
                         Duration* target,
                         DurationRange range,
                         std::string_view doc,
                         SettingNeed presence) {
  if (!key.ends_with(kDurationSuffix)) {
    RefuseDeclaration(key, "a span of time whose key ends in _ms");
  }
  AddInteger(key, target->millis(), {range.min.millis(), range.max.millis()},
             doc, presence, [target](std::int64_t number) {
               *target = Duration::Millis(number);
             });
}

void SettingsReader::Add(std::string_view key,
                         std::vector<std::string>* target,
                         ListRange range,
                         std::string_view doc,
                         SettingNeed presence) {
  std::vector<std::string> defaults;
  std::transform(target->begin(), target->end(), std::back_inserter(defaults),
                 Quoted);
  Declare({std::string(key), "list of texts",
           RangeText(range.min, range.max, " items"),
           '[' + Joined(defaults) + ']', std::string(doc), presence, false,
           [target, range](const Value& value,
                           const std::string&) -> Result<Apply, Refusal> {
             const auto* items = std::get_if<std::vector<std::string>>(&value);
             if (items == nullptr) {
               return Refusal{SettingErrorKind::kWrongType};
             }
             if (items->size() < range.min || items->size() > range.max) {
               return Refusal{SettingErrorKind::kOutOfRange};
             }
             return Apply([target, items = *items] { *target = items; });
           }});
}

void SettingsReader::AddSecret(std::string_view key,
                               Secret* target,
                               TextRange range,
                               std::string_view doc,
                               SettingNeed presence) {
  if (!key.ends_with(kSecretSuffix)) {
    RefuseDeclaration(key, "a secret whose key ends in _file");
  }
  Declare({std::string(key), "path of a file",
           "a file whose first line has " +
               RangeText(range.min, range.max, " bytes"),
           "none", std::string(doc), presence, true,
           [target, range](const Value& value,
                           const std::string& file) -> Result<Apply, Refusal> {
             const auto* name = std::get_if<std::string>(&value);
             if (name == nullptr) {
               return Refusal{SettingErrorKind::kWrongType};
             }
             const std::filesystem::path folder =
                 std::filesystem::path(file).parent_path();
             std::optional<std::string> content =
                 ReadWholeFile(folder / *name, kMaxFileBytes);
             if (!content) {
               return Refusal{SettingErrorKind::kSecretUnreadable};
             }
             content->resize(
                 std::min(content->find_first_of("\r\n"), content->size()));
             if (content->size() < range.min || content->size() > range.max) {
               return Refusal{SettingErrorKind::kSecretUnreadable};
             }
             return Apply([target, secret = Secret(*std::move(content))] {
               *target = secret;
             });
           }});
}

void SettingsReader::AddInteger(std::string_view key,
                                std::int64_t default_value,
                                IntegerRange range,
                                std::string_view doc,
                                SettingNeed presence,
                                std::function<void(std::int64_t)> apply) {
  Declare(
      {std::string(key), "integer", RangeText(range.min, range.max),
       std::to_string(default_value), std::string(doc), presence, false,
       [apply = std::move(apply), range](
           const Value& value, const std::string&) -> Result<Apply, Refusal> {
         const auto* number = std::get_if<std::int64_t>(&value);
         if (number == nullptr) {
           return Refusal{SettingErrorKind::kWrongType};
         }
         if (*number < range.min || *number > range.max) {
           return Refusal{SettingErrorKind::kOutOfRange};
         }
         return Apply([apply, number = *number] { apply(number); });
       }});
}

void SettingsReader::AddText(std::string_view key,
                             const std::string& default_value,
                             TextRange range,
                             std::string_view doc,
                             SettingNeed presence,
                             std::function<void(std::string)> apply) {
  Declare(
      {std::string(key), "text", RangeText(range.min, range.max, " bytes"),
       Quoted(default_value), std::string(doc), presence, false,
       [apply = std::move(apply), range](
           const Value& value, const std::string&) -> Result<Apply, Refusal> {
         const auto* text = std::get_if<std::string>(&value);
         if (text == nullptr) {
           return Refusal{SettingErrorKind::kWrongType};
         }
         if (text->size() < range.min || text->size() > range.max) {
           return Refusal{SettingErrorKind::kOutOfRange};
         }
         return Apply([apply, text = *text] { apply(text); });
       }});
}

void SettingsReader::AddNamedChoice(std::string_view key,
                                    const std::string& default_name,
                                    std::vector<std::string> names,
                                    std::string_view doc,
                                    SettingNeed presence,
                                    std::function<void(std::size_t)> apply) {
  const std::string allowed = Joined(names);
  Declare(
      {std::string(key), "choice", allowed, Quoted(default_name),
       std::string(doc), presence, false,
       [apply = std::move(apply), names = std::move(names)](
           const Value& value, const std::string&) -> Result<Apply, Refusal> {
         const auto* name = std::get_if<std::string>(&value);
         if (name == nullptr) {
           return Refusal{SettingErrorKind::kWrongType};
         }
         const auto found = std::find(names.begin(), names.end(), *name);
         if (found == names.end()) {
           return Refusal{SettingErrorKind::kOutOfRange};
         }
         const auto index = static_cast<std::size_t>(found - names.begin());
         return Apply([apply, index] { apply(index); });
       }});
}

void SettingsReader::Declare(Declaration declaration) {
  if (Find(declaration.key) != nullptr) {
    RefuseDeclaration(declaration.key, "a key is declared once");
    return;
  }
  declarations_.push_back(std::move(declaration));
}

void SettingsReader::RefuseDeclaration(std::string_view key,
                                       std::string allowed) {
  SettingError error;
  error.kind = SettingErrorKind::kBadDeclaration;
  error.key = std::string(key);
  error.allowed = std::move(allowed);
  declaration_errors_.push_back(std::move(error));
}

const SettingsReader::Declaration* SettingsReader::Find(
    std::string_view key) const {
  const auto found =
      std::find_if(declarations_.begin(), declarations_.end(),
                   [key](const Declaration& each) { return each.key == key; });
  return found == declarations_.end() ? nullptr : &*found;
}

bool SettingsReader::HasKeysBelow(std::string_view table) const {
  const std::string prefix = std::string(table) + '.';
  return std::any_of(declarations_.begin(), declarations_.end(),
                     [&prefix](const Declaration& each) {
                       return each.key.starts_with(prefix);
                     });
}

std::string SettingsReader::SuggestionFor(std::string_view key) const {
  const auto distance = [key](const Declaration& each) {
    return EditDistance(key, each.key);
  };
  const auto nearest =
      std::min_element(declarations_.begin(), declarations_.end(),
                       [&distance](const Declaration& a, const Declaration& b) {
                         return distance(a) < distance(b);
                       });
  if (nearest == declarations_.end() ||
      distance(*nearest) > kMaxSuggestionDistance) {
    return "docs/SETTINGS.md lists the keys";
  }
  return "is " + nearest->key + " meant?";
}

std::vector<SettingError> SettingsReader::ReadFile(const std::string& path) {
  const auto content = ReadWholeFile(path, kMaxFileBytes);
  if (!content) {
    SettingError error;
    error.kind = SettingErrorKind::kFileUnreadable;
    error.file = path;
    error.allowed = "a readable file of at most " +
                    std::to_string(kMaxFileBytes) + " bytes";
    return {std::move(error)};
  }
  return ReadText(*content, path);
}

std::vector<SettingError> SettingsReader::ReadText(std::string_view text,
                                                   const std::string& file) {
  std::vector<std::string> lines;
  std::istringstream stream{std::string(text)};
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  Document document;
  document.file = file;
  try {
    document.Add(toml::parse(text, file), "", lines, *this);
  } catch (const toml::parse_error& fault) {
    SettingError error;
    error.kind = SettingErrorKind::kSyntax;
    error.file = file;
    error.line = static_cast<int>(fault.source().begin.line);
    error.allowed = std::string(fault.description());
    return {std::move(error)};
  }
  return Evaluate(document);
}

std::vector<SettingError> SettingsReader::Evaluate(const Document& document) {
  std::vector<SettingError> errors = declaration_errors_;
  std::vector<Apply> applies;
  for (const auto& [key, entry] : document.entries) {
    SettingError error{SettingErrorKind::kUnknownKey,
                       document.file,
                       entry.line,
                       key,
                       entry.written,
                       ""};
    const Declaration* declaration = Find(key);
    if (declaration == nullptr) {
      const bool may_hold_secret =
          MayHoldSecret(key) || MayHoldSecret(entry.written);
      error.value = may_hold_secret ? kWithheld : entry.written;
      error.allowed = SuggestionFor(key);
      errors.push_back(std::move(error));
      continue;
    }
    auto checked =
        entry.value
            ? declaration->check(*entry.value, document.file)
            : Result<Apply, Refusal>(Refusal{SettingErrorKind::kWrongType});
    if (IsOk(checked)) {
      applies.push_back(std::move(ValueOf(checked)));
      continue;
    }
    error.kind = ErrorOf(checked).kind;
    error.allowed = declaration->type + ", " + declaration->allowed;
    const auto* text =
        entry.value ? std::get_if<std::string>(&*entry.value) : nullptr;
    if (declaration->is_secret && (text == nullptr || !LooksLikePath(*text))) {
      error.value = kWithheld;
    }
    errors.push_back(std::move(error));
  }
  for (const Declaration& declaration : declarations_) {
    if (declaration.presence == SettingNeed::kRequired &&
        !document.entries.contains(declaration.key)) {
      errors.push_back({SettingErrorKind::kMissing, document.file, 0,
                        declaration.key, "",
                        declaration.type + ", " + declaration.allowed});
    }
  }
  if (errors.empty()) {
    for (const Apply& apply : applies) {
      apply();
    }
  }
  std::stable_sort(errors.begin(), errors.end(),
                   [](const SettingError& a, const SettingError& b) {
                     return a.line < b.line;
                   });
  return errors;
}

void SettingsReader::WriteReference(std::ostream& out) const {
  out << "| key | type | allowed | default | meaning |\n"
      << "|---|---|---|---|---|\n";
  for (const Declaration& each : declarations_) {
    const bool is_required = each.presence == SettingNeed::kRequired;
    out << "| `" << each.key << "` | " << each.type << " | " << each.allowed
        << " | " << (is_required ? "required" : '`' + each.default_value + '`')
        << " | " << each.doc << " |\n";
  }
}

}  // namespace gcw
