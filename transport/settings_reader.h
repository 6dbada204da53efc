#ifndef TRANSPORT_SETTINGS_READER_H_
#define TRANSPORT_SETTINGS_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.h"
#include "transport/secret.h"
#include "transport/setting_error.h"
#include "transport/settings_document.h"

namespace gcw {

enum class SettingPresence { kOptional, kRequired };

// Both ends are included.
struct IntegerRange {
  std::int64_t min = std::numeric_limits<std::int64_t>::min();
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};
struct NumberRange {
  double min = std::numeric_limits<double>::lowest();
  double max = std::numeric_limits<double>::max();
};
struct DurationRange {
  Duration min;
  Duration max;
};
// Length in bytes.
struct TextRange {
  std::size_t min = 0;
  std::size_t max = 4096;
};
// Number of items.
struct ListRange {
  std::size_t min = 0;
  std::size_t max = 1024;
};

// Reads a program's settings from TOML. The program declares each key with the
// variable it fills; the variable's value at that time is the default. Reading
// reports all errors at once and fills either all variables or none.
//
//   SettingsReader reader;
//   reader.Add("callers.port", &settings.port, IntegerRange{0, 65535},
//              "Port for callers; 0 lets the kernel choose.");
//   const std::vector<SettingError> errors = reader.ReadFile(path);
class SettingsReader {
 public:
  void Add(std::string_view key,
           std::int64_t* target,
           IntegerRange range,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional);
  void Add(std::string_view key,
           int* target,
           IntegerRange range,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional);
  void Add(std::string_view key,
           double* target,
           NumberRange range,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional);
  void Add(std::string_view key,
           bool* target,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional);
  void Add(std::string_view key,
           std::string* target,
           TextRange range,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional);
  // A duration in milliseconds, which may be a fraction; the key must end in
  // `_ms`. A file may give it in seconds instead, with `_s` in place of `_ms`.
  void Add(std::string_view key,
           Duration* target,
           DurationRange range,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional);
  // A list of strings.
  void Add(std::string_view key,
           std::vector<std::string>* target,
           ListRange range,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional);
  template <typename Tag>
  void Add(std::string_view key,
           StrongId<Tag>* target,
           TextRange range,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional) {
    AddText(key, target->value(), range, doc, presence,
            [target](std::string text) {
              *target = StrongId<Tag>(std::move(text));
            });
  }
  template <typename Tag>
  void Add(std::string_view key,
           StrongNumber<Tag>* target,
           IntegerRange range,
           std::string_view doc,
           SettingPresence presence = SettingPresence::kOptional) {
    AddInteger(
        key, target->value(), range, doc, presence,
        [target](std::int64_t number) { *target = StrongNumber<Tag>(number); });
  }
  // One of the named choices.
  template <typename Choice>
  void AddChoice(std::string_view key,
                 Choice* target,
                 std::vector<std::pair<std::string, Choice>> choices,
                 std::string_view doc,
                 SettingPresence presence = SettingPresence::kOptional) {
    std::vector<std::string> names;
    std::string default_name;
    for (const auto& [name, choice] : choices) {
      names.push_back(name);
      if (choice == *target) {
        default_name = name;
      }
    }
    AddNamedChoice(key, default_name, std::move(names), doc, presence,
                   [target, choices = std::move(choices)](std::size_t index) {
                     *target = choices[index].second;
                   });
  }
  // The value is the path of a file whose first line is the secret; the key
  // must end in `_file`. A relative path is resolved against the directory of
  // the settings file. The range applies to the length of the secret.
  void AddSecret(std::string_view key,
                 Secret* target,
                 TextRange range,
                 std::string_view doc,
                 SettingPresence presence = SettingPresence::kOptional);

  // Returns all errors, or nothing on success. On error, no variable is
  // changed.
  std::vector<SettingError> ReadFile(const std::string& path);
  // Like `ReadFile` for text in memory; `file` is shown in errors and is the
  // base of relative paths.
  std::vector<SettingError> ReadText(std::string_view text,
                                     const std::string& file);

  // Writes the declared keys as a Markdown table for docs/SETTINGS.md.
  void WriteReference(std::ostream& out) const;

 private:
  // Assigns a variable, after all keys have been found valid.
  using Apply = std::function<void()>;
  struct CheckFailure {
    SettingErrorKind kind;
  };
  // Checks a value and returns the function that assigns it.
  using Check = std::function<Result<Apply, CheckFailure>(const SettingValue&,
                                                          const std::string&)>;
  struct Declaration {
    std::string key;
    std::string type;
    std::string allowed;
    std::string default_value;
    std::string doc;
    SettingPresence presence;
    bool is_secret = false;
    Check check;
    // The key of the same setting in its main unit; empty if this is it.
    std::string alias_of{};
  };

  void AddInteger(std::string_view key,
                  std::int64_t default_value,
                  IntegerRange range,
                  std::string_view doc,
                  SettingPresence presence,
                  std::function<void(std::int64_t)> apply);
  static Check CheckDuration(Duration* target,
                             DurationRange range,
                             Duration unit);
  void AddText(std::string_view key,
               const std::string& default_value,
               TextRange range,
               std::string_view doc,
               SettingPresence presence,
               std::function<void(std::string)> apply);
  void AddNamedChoice(std::string_view key,
                      const std::string& default_name,
                      std::vector<std::string> names,
                      std::string_view doc,
                      SettingPresence presence,
                      std::function<void(std::size_t)> apply);
  // Returns false, and adds an error, if the key is declared already.
  bool Declare(Declaration declaration);
  void AddDeclarationError(std::string_view key, std::string allowed);
  const Declaration* Find(std::string_view key) const;
  bool HasKeysBelow(std::string_view table) const;
  std::string SuggestKey(std::string_view key) const;
  std::vector<SettingError> Evaluate(const SettingsDocument& document);
  Result<Apply, SettingError> CheckEntry(
      const std::string& file,
      const std::string& key,
      const SettingsDocument::Entry& entry) const;
  // Reports settings that are given in two units.
  void ReportRepeatedKeys(const SettingsDocument& document,
                          std::vector<SettingError>& errors) const;
  void ReportMissingKeys(const SettingsDocument& document,
                         std::vector<SettingError>& errors) const;

  std::vector<Declaration> declarations_;
  std::vector<SettingError> declaration_errors_;
};

}  // namespace gcw

#endif  // TRANSPORT_SETTINGS_READER_H_
