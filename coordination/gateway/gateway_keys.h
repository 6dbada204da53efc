#ifndef COORDINATION_GATEWAY_GATEWAY_KEYS_H_
#define COORDINATION_GATEWAY_GATEWAY_KEYS_H_

#include <string_view>

namespace gcw {

// Prefixes of this system's own keys in the key-value service.
inline constexpr std::string_view kNodePrefix = "node/";
inline constexpr std::string_view kRolePrefix = "role/";

// The overview that a starting node reads first. The holder of the controller
// role writes it.
inline constexpr std::string_view kOverviewKey = "overview";

// Records of requests under which endpoints crashed. The fingerprint follows.
// The prefix begins like the keys that a starting node reads first, so that it
// knows them before it serves requests.
inline constexpr std::string_view kCrashRecordPrefix = "offender/";
// Says until when evidence of crashes may be missing. It has the prefix of the
// records, so that every node knows it, and no fingerprint.
inline constexpr std::string_view kLostEvidenceKey = "offender/lost_evidence";

// The only role: its holder decides which VMs form which replica group.
inline constexpr std::string_view kControllerRole = "keeper/fleet";

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_GATEWAY_KEYS_H_
