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
  // The file that a `*_file` key names cannot be read, or its content is too
  // short or too long.
  kSecretUnreadable,
  // The program declared the key wrongly: twice, or without its unit.
  kBadDeclaration,
};

std::string_view SettingErrorKindName(SettingErrorKind kind);

struct SettingError {
  SettingErrorKind kind;
  std::string file;
  // Starts at 1; 0 where no line is to blame, as for a missing key.
  int line = 0;
  // The path of the key, such as "limits.queue_wait_ms".
  std::string key;
  // As written in the file; withheld where it may be a secret.
  std::string value;
  // What would have been accepted, or what the parser said.
  std::string allowed;
};

// One line for people: `file:line: key = value: kind, allowed ...`.
std::ostream& operator<<(std::ostream& out, const SettingError& error);

}  // namespace gcw

#endif  // TRANSPORT_SETTING_ERROR_H_
