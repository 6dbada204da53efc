#ifndef PROTOCOL_REQUEST_FINGERPRINT_H_
#define PROTOCOL_REQUEST_FINGERPRINT_H_

#include <initializer_list>
#include <string_view>

#include "core/core.h"

namespace gcw {

// Returns the fingerprint of a request with these parts, such as target and
// body. Only the last part may contain a line feed.
Fingerprint ComputeFingerprint(std::initializer_list<std::string_view> parts);

}  // namespace gcw

#endif  // PROTOCOL_REQUEST_FINGERPRINT_H_
