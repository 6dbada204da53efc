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

// A value as a settings file has it, of the types that settings use.
using SettingValue = std::
    variant<std::int64_t, double, bool, std::string, std::vector<std::string>>;

// A settings file in TOML, taken apart into keys by path, such as
// "limits.queue_wait_ms".
class SettingsDocument {
 public:
  struct Entry {
    int line;
    // As in the file; the first line of it.
    std::string written;
    // Nothing for types that no setting has.
    std::optional<SettingValue> value;
  };

  // Tells whether any setting lies in the table of that path. A table that none
  // lies in becomes one entry, so that it is reported once, and also when it is
  // empty.
  using IsTable = std::function<bool(std::string_view path)>;

  // `file` is for errors. The only error is kSyntax.
  static Result<SettingsDocument, SettingError> Parse(std::string_view text,
                                                      const std::string& file,
                                                      const IsTable& is_table);

  const std::string& file() const { return file_; }
  const std::map<std::string, Entry>& entries() const { return entries_; }

 private:
  SettingsDocument(std::string file, std::map<std::string, Entry> entries);

  std::string file_;
  std::map<std::string, Entry> entries_;
};

}  // namespace gcw

#endif  // TRANSPORT_SETTINGS_DOCUMENT_H_
