#include "programs/daemon/setting_value_error.h"

namespace gcw {

SettingError MakeSettingValueError(const std::string& file,
                                   std::string_view key,
                                   const std::string& value,
                                   std::string_view allowed) {
  SettingError error;
  error.kind = SettingErrorKind::kOutOfRange;
  error.file = file;
  error.key = key;
  error.value = value;
  error.allowed = allowed;
  return error;
}

}  // namespace gcw
