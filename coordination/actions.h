#ifndef COORDINATION_ACTIONS_H_
#define COORDINATION_ACTIONS_H_

// Actions that many modules return.

#include "state/state.h"

namespace gcw {

// Calls the key-value service. Each module assigns its own ids; the node passes
// the reply to `OnStoreReply` of the module that made the call.
struct StoreRequest {
  StoreCallId id;
  StoreCall call;
};

// Sends a message to another node. The message may be lost, delayed, duplicated
// or reordered.
template <typename Message>
struct PeerSend {
  NodeId to;
  Message message;
};

}  // namespace gcw

#endif  // COORDINATION_ACTIONS_H_
