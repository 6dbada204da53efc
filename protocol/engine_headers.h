#ifndef PROTOCOL_ENGINE_HEADERS_H_
#define PROTOCOL_ENGINE_HEADERS_H_

#include <string_view>

namespace gcw {

// HTTP header fields between nodes and endpoints; see docs/PLATFORM.md.
inline constexpr std::string_view kAttemptHeader = "X-Gcw-Attempt";
inline constexpr std::string_view kGenerationHeader = "X-Gcw-Generation";
inline constexpr std::string_view kPriorityHeader = "X-Gcw-Priority";
// The value is in Unix milliseconds.
inline constexpr std::string_view kDeadlineHeader = "X-Gcw-Deadline-Ms";
inline constexpr std::string_view kResumeFromHeader = "X-Gcw-Resume-From";
inline constexpr std::string_view kNotRunHeader = "X-Gcw-Not-Run";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

}  // namespace gcw

#endif  // PROTOCOL_ENGINE_HEADERS_H_
