#ifndef COORDINATION_GATEWAY_GATEWAY_KEYS_H_
#define COORDINATION_GATEWAY_GATEWAY_KEYS_H_

#include <string_view>

namespace gcw {

// Families of this system's own keys in the key-value service.
inline constexpr std::string_view kNodePrefix = "node/";
inline constexpr std::string_view kRolePrefix = "role/";

// What a node that starts needs first, written by whoever holds the role.
inline constexpr std::string_view kOverviewKey = "overview";

// The one role: whoever holds it decides which VMs form which replica group.
inline constexpr std::string_view kKeeperRole = "keeper/fleet";

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_GATEWAY_KEYS_H_
