#ifndef PROTOCOL_ERROR_JSON_H_
#define PROTOCOL_ERROR_JSON_H_

#include <string>
#include <string_view>

#include "core/core.h"

namespace gcw {

// `{"error":{"type":..,"message":..,"request":..}}` with, where it is not zero,
// `retry_after_ms`.
std::string WriteError(std::string_view type,
                       std::string_view message,
                       const RequestId& request,
                       Duration retry_after);

// Whether an endpoint's error body says that the request was not run.
bool IsNotRunError(std::string_view body);

}  // namespace gcw

#endif  // PROTOCOL_ERROR_JSON_H_
