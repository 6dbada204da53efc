#include "transport/setting_error.h"

namespace gcw {

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
    case SettingErrorKind::kRepeated:
      return "given twice";
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

}  // namespace gcw
