#ifndef PROTOCOL_ERROR_JSON_H_
#define PROTOCOL_ERROR_JSON_H_

#include <string>
#include <string_view>

#include "core/core.h"

namespace gcw {

// Writes `{"error":{"type":..,"message":..,"request":..}}`. The object has no
// `request` if the id is empty, and has `retry_after_ms` if `retry_after` is
// positive.
std::string WriteError(std::string_view type,
                       std::string_view message,
                       const RequestId& request,
                       Duration retry_after);

// True if an endpoint's error body says that it did not run the request.
bool IsNotRunError(std::string_view body);

}  // namespace gcw

#endif  // PROTOCOL_ERROR_JSON_H_
