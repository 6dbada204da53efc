#ifndef COORDINATION_NODE_PEER_MESSAGE_H_
#define COORDINATION_NODE_PEER_MESSAGE_H_

#include <variant>

#include "coordination/at_most_once/once_messages.h"
#include "coordination/configuration/config_messages.h"
#include "coordination/groups/groups_messages.h"
#include "coordination/limits/limit_messages.h"
#include "coordination/membership/membership_messages.h"
#include "coordination/requests/guard_messages.h"
#include "coordination/routing/load_exchange.h"

namespace gcw {

// A message from one node to another.
using PeerMessage = std::variant<MembershipMessage,
                                 ConfigMessage,
                                 LimitBatch,
                                 OnceMessage,
                                 GuardMessage,
                                 PresenceReport,
                                 LoadDigest>;

}  // namespace gcw

#endif  // COORDINATION_NODE_PEER_MESSAGE_H_
