#ifndef TRANSPORT_SETTING_ERROR_H_
#define TRANSPORT_SETTING_ERROR_H_

#include <ostream>
#include <string>
#include <string_view>

namespace gcw {

enum class SettingErrorKind {
  kFileUnreadable,
  kSyntax,
  kUnknownKey,
  kMissing,
  kWrongType,
  kOutOfRange,
  // The same setting is given in another unit.
  kRepeated,
  // The file named by a `*_file` key cannot be read, or its content is too
  // short or too long.
  kSecretUnreadable,
  // The program declared the key incorrectly: twice, or without its unit.
  kBadDeclaration,
};

std::string_view SettingErrorKindName(SettingErrorKind kind);

struct SettingError {
  SettingErrorKind kind;
  std::string file;
  // Line number, starting at 1, or 0 if the error concerns no line, as for a
  // missing key.
  int line = 0;
  // The path of the key, such as "limits.queue_wait_ms".
  std::string key;
  // The value as written in the file; withheld if it may be a secret.
  std::string value;
  // What would have been accepted, or the parser's message.
  std::string allowed;
};

// Writes one line: `file:line: key = value: kind; allowed`.
std::ostream& operator<<(std::ostream& out, const SettingError& error);

}  // namespace gcw

#endif  // TRANSPORT_SETTING_ERROR_H_
