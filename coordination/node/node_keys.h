#ifndef COORDINATION_NODE_NODE_KEYS_H_
#define COORDINATION_NODE_NODE_KEYS_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/limits/limit_messages.h"
#include "coordination/roles/role_assignment.h"

namespace gcw {

// Prefixes of the keys in the key-value service that are replicated to every
// node.
inline constexpr std::string_view kContractPrefix = "contract/";
inline constexpr std::string_view kModelPrefix = "setting/model/";
inline constexpr std::string_view kDomainPrefix = "domain/";

inline constexpr std::string_view kLimitRolePrefix = "limit/";

inline RoleName LimitRole(LimitShard shard) {
  return RoleName(std::string(kLimitRolePrefix) +
                  std::to_string(shard.value()));
}

// Returns nothing if the role is not that of a limit owner.
inline std::optional<LimitShard> LimitShardOf(const RoleName& role) {
  std::string_view text = role.value();
  if (!text.starts_with(kLimitRolePrefix)) {
    return std::nullopt;
  }
  text.remove_prefix(kLimitRolePrefix.size());
  std::int64_t shard = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), shard);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return LimitShard(shard);
}

}  // namespace gcw

#endif  // COORDINATION_NODE_NODE_KEYS_H_
