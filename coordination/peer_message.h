#ifndef COORDINATION_PEER_MESSAGE_H_
#define COORDINATION_PEER_MESSAGE_H_

#include <variant>

#include "coordination/config_messages.h"
#include "coordination/groups_messages.h"
#include "coordination/guard_messages.h"
#include "coordination/limit_messages.h"
#include "coordination/load_exchange.h"
#include "coordination/membership_messages.h"
#include "coordination/once_messages.h"

namespace gcw {

// Everything that one node says to another.
using PeerMessage = std::variant<MembershipMessage,
                                 ConfigMessage,
                                 LimitBatch,
                                 OnceMessage,
                                 GuardMessage,
                                 PresenceReport,
                                 LoadDigest>;

}  // namespace gcw

#endif  // COORDINATION_PEER_MESSAGE_H_
