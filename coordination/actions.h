#ifndef COORDINATION_ACTIONS_H_
#define COORDINATION_ACTIONS_H_

// Actions that many modules return.

#include "state/state.h"

namespace gcw {

// Asks the key-value service. The id is the module's own; the node passes the
// reply to `OnStoreReply` of the module that asked.
struct StoreRequest {
  StoreCallId id;
  StoreCall call;
};

// Sends a message to another node. It may be lost, late, doubled or reordered.
template <typename Message>
struct PeerSend {
  NodeId to;
  Message message;
};

}  // namespace gcw

#endif  // COORDINATION_ACTIONS_H_
