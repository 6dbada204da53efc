#ifndef TRANSPORT_SETTINGS_DOCUMENT_H_
#define TRANSPORT_SETTINGS_DOCUMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/core.h"
#include "transport/setting_error.h"

namespace gcw {

// A value in a settings file, of one of the types that settings use.
using SettingValue = std::
    variant<std::int64_t, double, bool, std::string, std::vector<std::string>>;

// A settings file in TOML, flattened into entries by path, such as
// "limits.queue_wait_ms".
class SettingsDocument {
 public:
  struct Entry {
    int line;
    // The first line of the value as written in the file.
    std::string source_text;
    // Empty for types that no setting has.
    std::optional<SettingValue> value;
  };

  // Returns whether any setting is declared in the table at the path. A table
  // without declared settings becomes a single entry, so that it is reported
  // once, even if it is empty.
  using IsDeclaredTable = std::function<bool(std::string_view path)>;

  // `file` is the name shown in errors. The only error is kSyntax.
  static Result<SettingsDocument, SettingError> Parse(
      std::string_view text,
      const std::string& file,
      const IsDeclaredTable& is_declared_table);

  const std::string& file() const { return file_; }
  const std::map<std::string, Entry>& entries() const { return entries_; }

 private:
  SettingsDocument(std::string file, std::map<std::string, Entry> entries);

  std::string file_;
  std::map<std::string, Entry> entries_;
};

}  // namespace gcw

#endif  // TRANSPORT_SETTINGS_DOCUMENT_H_
