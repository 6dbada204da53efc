#ifndef COORDINATION_STORE_REQUEST_H_
#define COORDINATION_STORE_REQUEST_H_

#include "state/state.h"

namespace gcw {

// Asks the node to make a call to the key-value service and to hand its reply
// back under the same id.
struct StoreRequest {
  StoreCallId id;
  StoreCall call;
};

}  // namespace gcw

#endif  // COORDINATION_STORE_REQUEST_H_
