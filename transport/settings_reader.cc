#include "transport/settings_reader.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <optional>
#include <sstream>

namespace gcw {
namespace {

// Settings are written by hand, so a larger file is a mistake.
constexpr std::size_t kMaxFileBytes = 1 << 20;
// An unknown key within this edit distance of a declared key is taken for a
// misspelling of it.
constexpr std::size_t kMaxSuggestionDistance = 3;
constexpr std::string_view kMillisSuffix = "_ms";
constexpr std::string_view kSecondsSuffix = "_s";
constexpr std::string_view kSecretSuffix = "_file";
constexpr std::string_view kRedacted = "(withheld)";

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
std::string DescribeRange(Number min, Number max, std::string_view unit = "") {
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

std::optional<double> AsNumber(const SettingValue& value) {
  if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    return static_cast<double>(*integer);
  }
  if (const auto* number = std::get_if<double>(&value)) {
    return *number;
  }
  return std::nullopt;
}

double InSeconds(Duration duration) {
  return static_cast<double>(duration.millis()) / 1000;
}

std::string JoinWithCommas(const std::vector<std::string>& items) {
  std::string joined;
  for (const std::string& item : items) {
    joined += joined.empty() ? "" : ", ";
    joined += item;
  }
  return joined;
}

std::string Quote(const std::string& text) {
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

// Returns true if the text suggests a secret: a user may have written one under
// an unknown key, or within an inline table.
bool MayContainSecret(std::string_view text) {
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

}  // namespace

void SettingsReader::Add(std::string_view key,
                         std::int64_t* target,
                         IntegerRange range,
                         std::string_view doc,
                         SettingPresence presence) {
  AddInteger(key, *target, range, doc, presence,
             [target](std::int64_t number) { *target = number; });
}

void SettingsReader::Add(std::string_view key,
                         int* target,
                         IntegerRange range,
                         std::string_view doc,
                         SettingPresence presence) {
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
                         SettingPresence presence) {
  std::ostringstream default_value;
  default_value << *target;
  Declare({std::string(key), "number", DescribeRange(range.min, range.max),
           default_value.str(), std::string(doc), presence, false,
           [target, range](const SettingValue& value,
                           const std::string&) -> Result<Apply, CheckFailure> {
             const std::optional<double> number = AsNumber(value);
             if (!number) {
               return CheckFailure{SettingErrorKind::kWrongType};
             }
             // Every comparison with NaN is false, so NaN is rejected.
             const bool in_range = *number >= range.min && *number <= range.max;
             if (!in_range) {
               return CheckFailure{SettingErrorKind::kOutOfRange};
             }
             return Apply([target, number = *number] { *target = number; });
           }});
}

void SettingsReader::Add(std::string_view key,
                         bool* target,
                         std::string_view doc,
                         SettingPresence presence) {
  Declare({std::string(key), "boolean", "true or false",
           *target ? "true" : "false", std::string(doc), presence, false,
           [target](const SettingValue& value,
                    const std::string&) -> Result<Apply, CheckFailure> {
             const auto* flag = std::get_if<bool>(&value);
             if (flag == nullptr) {
               return CheckFailure{SettingErrorKind::kWrongType};
             }
             return Apply([target, flag = *flag] { *target = flag; });
           }});
}

void SettingsReader::Add(std::string_view key,
                         std::string* target,
                         TextRange range,
                         std::string_view doc,
                         SettingPresence presence) {
  AddText(key, *target, range, doc, presence,
          [target](std::string text) { *target = std::move(text); });
}

void SettingsReader::Add(std::string_view key,
                         Duration* target,
                         DurationRange range,
                         std::string_view doc,
                         SettingPresence presence) {
  if (!key.ends_with(kMillisSuffix)) {
    AddDeclarationError(key, "the key of a duration must end in _ms");
  }
  const bool is_declared =
      Declare({std::string(key), "number",
               DescribeRange(range.min.millis(), range.max.millis()),
               std::to_string(target->millis()), std::string(doc), presence,
               false, CheckDuration(target, range, Duration::Millis(1)), ""});
  if (!is_declared || !key.ends_with(kMillisSuffix)) {
    return;
  }
  std::string seconds_key(key.substr(0, key.size() - kMillisSuffix.size()));
  seconds_key += kSecondsSuffix;
  Declare({std::move(seconds_key), "number",
           DescribeRange(InSeconds(range.min), InSeconds(range.max)), "", "",
           SettingPresence::kOptional, false,
           CheckDuration(target, range, Duration::Seconds(1)),
           std::string(key)});
}

SettingsReader::Check SettingsReader::CheckDuration(Duration* target,
                                                    DurationRange range,
                                                    Duration unit) {
  return [target, range, unit](
             const SettingValue& value,
             const std::string&) -> Result<Apply, CheckFailure> {
    const std::optional<double> number = AsNumber(value);
    if (!number) {
      return CheckFailure{SettingErrorKind::kWrongType};
    }
    const double millis = *number * static_cast<double>(unit.millis());
    const bool in_range = millis >= static_cast<double>(range.min.millis()) &&
                          millis <= static_cast<double>(range.max.millis());
    if (!in_range) {
      return CheckFailure{SettingErrorKind::kOutOfRange};
    }
    return Apply(
        [target, millis] { *target = Duration::Millis(std::llround(millis)); });
  };
}

void SettingsReader::Add(std::string_view key,
                         std::vector<std::string>* target,
                         ListRange range,
                         std::string_view doc,
                         SettingPresence presence) {
  std::vector<std::string> defaults;
  std::transform(target->begin(), target->end(), std::back_inserter(defaults),
                 Quote);
  Declare({std::string(key), "list of texts",
           DescribeRange(range.min, range.max, " items"),
           '[' + JoinWithCommas(defaults) + ']', std::string(doc), presence,
           false,
           [target, range](const SettingValue& value,
                           const std::string&) -> Result<Apply, CheckFailure> {
             const auto* items = std::get_if<std::vector<std::string>>(&value);
             if (items == nullptr) {
               return CheckFailure{SettingErrorKind::kWrongType};
             }
             if (items->size() < range.min || items->size() > range.max) {
               return CheckFailure{SettingErrorKind::kOutOfRange};
             }
             return Apply([target, items = *items] { *target = items; });
           }});
}

void SettingsReader::AddSecret(std::string_view key,
                               Secret* target,
                               TextRange range,
                               std::string_view doc,
                               SettingPresence presence) {
  if (!key.ends_with(kSecretSuffix)) {
    AddDeclarationError(key, "the key of a secret must end in _file");
  }
  Declare({std::string(key), "path of a file",
           "a file whose first line has " +
               DescribeRange(range.min, range.max, " bytes"),
           "none", std::string(doc), presence, true,
           [target, range](const SettingValue& value, const std::string& file)
               -> Result<Apply, CheckFailure> {
             const auto* name = std::get_if<std::string>(&value);
             if (name == nullptr) {
               return CheckFailure{SettingErrorKind::kWrongType};
             }
             const std::filesystem::path folder =
                 std::filesystem::path(file).parent_path();
             std::optional<std::string> content =
                 ReadWholeFile(folder / *name, kMaxFileBytes);
             if (!content) {
               return CheckFailure{SettingErrorKind::kSecretUnreadable};
             }
             content->resize(
                 std::min(content->find_first_of("\r\n"), content->size()));
             if (content->size() < range.min || content->size() > range.max) {
               return CheckFailure{SettingErrorKind::kSecretUnreadable};
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
                                SettingPresence presence,
                                std::function<void(std::int64_t)> apply) {
  Declare({std::string(key), "integer", DescribeRange(range.min, range.max),
           std::to_string(default_value), std::string(doc), presence, false,
           [apply = std::move(apply), range](
               const SettingValue& value,
               const std::string&) -> Result<Apply, CheckFailure> {
             const auto* number = std::get_if<std::int64_t>(&value);
             if (number == nullptr) {
               return CheckFailure{SettingErrorKind::kWrongType};
             }
             if (*number < range.min || *number > range.max) {
               return CheckFailure{SettingErrorKind::kOutOfRange};
             }
             return Apply([apply, number = *number] { apply(number); });
           }});
}

void SettingsReader::AddText(std::string_view key,
                             const std::string& default_value,
                             TextRange range,
                             std::string_view doc,
                             SettingPresence presence,
                             std::function<void(std::string)> apply) {
  Declare({std::string(key), "text",
           DescribeRange(range.min, range.max, " bytes"), Quote(default_value),
           std::string(doc), presence, false,
           [apply = std::move(apply), range](
               const SettingValue& value,
               const std::string&) -> Result<Apply, CheckFailure> {
             const auto* text = std::get_if<std::string>(&value);
             if (text == nullptr) {
               return CheckFailure{SettingErrorKind::kWrongType};
             }
             if (text->size() < range.min || text->size() > range.max) {
               return CheckFailure{SettingErrorKind::kOutOfRange};
             }
             return Apply([apply, text = *text] { apply(text); });
           }});
}

void SettingsReader::AddNamedChoice(std::string_view key,
                                    const std::string& default_name,
                                    std::vector<std::string> names,
                                    std::string_view doc,
                                    SettingPresence presence,
                                    std::function<void(std::size_t)> apply) {
  const std::string allowed = JoinWithCommas(names);
  Declare({std::string(key), "choice", allowed, Quote(default_name),
           std::string(doc), presence, false,
           [apply = std::move(apply), names = std::move(names)](
               const SettingValue& value,
               const std::string&) -> Result<Apply, CheckFailure> {
             const auto* name = std::get_if<std::string>(&value);
             if (name == nullptr) {
               return CheckFailure{SettingErrorKind::kWrongType};
             }
             const auto found = std::find(names.begin(), names.end(), *name);
             if (found == names.end()) {
               return CheckFailure{SettingErrorKind::kOutOfRange};
             }
             const auto index = static_cast<std::size_t>(found - names.begin());
             return Apply([apply, index] { apply(index); });
           }});
}

bool SettingsReader::Declare(Declaration declaration) {
  if (Find(declaration.key) != nullptr) {
    AddDeclarationError(declaration.key, "the key is declared more than once");
    return false;
  }
  declarations_.push_back(std::move(declaration));
  return true;
}

void SettingsReader::AddDeclarationError(std::string_view key,
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

std::string SettingsReader::SuggestKey(std::string_view key) const {
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
    return "see docs/SETTINGS.md for all keys";
  }
  return "is " + nearest->key + " meant?";
}

std::vector<SettingError> SettingsReader::ReadFile(const std::string& path) {
  const auto content = ReadWholeFile(path, kMaxFileBytes);
  if (!content) {
    SettingError error;
    error.kind = SettingErrorKind::kFileUnreadable;
    error.file = path;
    error.allowed = "must be a readable regular file of at most " +
                    std::to_string(kMaxFileBytes) + " bytes";
    return {std::move(error)};
  }
  return ReadText(*content, path);
}

std::vector<SettingError> SettingsReader::ReadText(std::string_view text,
                                                   const std::string& file) {
  const auto parsed = SettingsDocument::Parse(
      text, file,
      [this](std::string_view table) { return HasKeysBelow(table); });
  if (!IsOk(parsed)) {
    return {ErrorOf(parsed)};
  }
  return Evaluate(ValueOf(parsed));
}

std::vector<SettingError> SettingsReader::Evaluate(
    const SettingsDocument& document) {
  std::vector<SettingError> errors = declaration_errors_;
  std::vector<Apply> applies;
  for (const auto& [key, entry] : document.entries()) {
    auto checked = CheckEntry(document.file(), key, entry);
    if (IsOk(checked)) {
      applies.push_back(std::move(ValueOf(checked)));
    } else {
      errors.push_back(std::move(std::get<SettingError>(checked)));
    }
  }
  ReportRepeatedKeys(document, errors);
  ReportMissingKeys(document, errors);
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

Result<SettingsReader::Apply, SettingError> SettingsReader::CheckEntry(
    const std::string& file,
    const std::string& key,
    const SettingsDocument::Entry& entry) const {
  SettingError error{SettingErrorKind::kUnknownKey,
                     file,
                     entry.line,
                     key,
                     entry.source_text,
                     ""};
  const Declaration* declaration = Find(key);
  if (declaration == nullptr) {
    if (MayContainSecret(key) || MayContainSecret(entry.source_text)) {
      error.value = kRedacted;
    }
    error.allowed = SuggestKey(key);
    return error;
  }
  auto checked = entry.value ? declaration->check(*entry.value, file)
                             : Result<Apply, CheckFailure>(
                                   CheckFailure{SettingErrorKind::kWrongType});
  if (IsOk(checked)) {
    return std::move(ValueOf(checked));
  }
  error.kind = ErrorOf(checked).kind;
  error.allowed = declaration->type + ", " + declaration->allowed;
  const auto* text =
      entry.value ? std::get_if<std::string>(&*entry.value) : nullptr;
  if (declaration->is_secret && (text == nullptr || !LooksLikePath(*text))) {
    error.value = kRedacted;
  }
  return error;
}

void SettingsReader::ReportRepeatedKeys(
    const SettingsDocument& document,
    std::vector<SettingError>& errors) const {
  for (const auto& [key, entry] : document.entries()) {
    const Declaration* declaration = Find(key);
    if (declaration != nullptr &&
        document.entries().contains(declaration->alias_of)) {
      errors.push_back({SettingErrorKind::kRepeated, document.file(),
                        entry.line, key, entry.source_text,
                        declaration->alias_of + " is the same setting"});
    }
  }
}

void SettingsReader::ReportMissingKeys(
    const SettingsDocument& document,
    std::vector<SettingError>& errors) const {
  const auto is_given = [this, &document](const std::string& key) {
    return document.entries().contains(key) ||
           std::any_of(declarations_.begin(), declarations_.end(),
                       [&](const Declaration& each) {
                         return each.alias_of == key &&
                                document.entries().contains(each.key);
                       });
  };
  for (const Declaration& declaration : declarations_) {
    if (declaration.presence == SettingPresence::kRequired &&
        !is_given(declaration.key)) {
      errors.push_back({SettingErrorKind::kMissing, document.file(), 0,
                        declaration.key, "",
                        declaration.type + ", " + declaration.allowed});
    }
  }
}

void SettingsReader::WriteReference(std::ostream& out) const {
  out << "| key | type | allowed | default | meaning |\n"
      << "|---|---|---|---|---|\n";
  for (const Declaration& each : declarations_) {
    if (!each.alias_of.empty()) {
      continue;
    }
    const bool is_required = each.presence == SettingPresence::kRequired;
    out << "| `" << each.key << "` | " << each.type << " | " << each.allowed
        << " | " << (is_required ? "required" : '`' + each.default_value + '`')
        << " | " << each.doc << " |\n";
  }
}

}  // namespace gcw
