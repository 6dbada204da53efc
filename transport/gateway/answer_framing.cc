#include "transport/gateway/answer_framing.h"

namespace gcw {

StreamEnd FindStreamEnd(bool ends_with_connection,
                        bool has_events,
                        bool has_partial_event) {
  if (ends_with_connection && (has_partial_event || !has_events)) {
    return StreamEnd::kClosedEarly;
  }
  return has_partial_event ? StreamEnd::kMalformed : StreamEnd::kComplete;
}

}  // namespace gcw
