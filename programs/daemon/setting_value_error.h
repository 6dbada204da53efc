#ifndef PROGRAMS_DAEMON_SETTING_VALUE_ERROR_H_
#define PROGRAMS_DAEMON_SETTING_VALUE_ERROR_H_

#include <string>
#include <string_view>

#include "transport/transport.h"

namespace gcw {

// Returns the error for a value that has the right type but is invalid;
// `allowed` describes the valid values. The line is not known at this point.
SettingError MakeSettingValueError(const std::string& file,
                                   std::string_view key,
                                   const std::string& value,
                                   std::string_view allowed);

}  // namespace gcw

#endif  // PROGRAMS_DAEMON_SETTING_VALUE_ERROR_H_
