#ifndef TRANSPORT_REFUSAL_HTTP_H_
#define TRANSPORT_REFUSAL_HTTP_H_

#include <string_view>

#include "coordination/coordination.h"
#include "transport/http_types.h"

namespace gcw {

// Returns the HTTP status for a refusal.
int RefusalStatus(RefusalKind kind);

// Returns a message for people: what happened and what to do.
std::string_view RefusalMessage(RefusalKind kind);

// Adds `Retry-After`, in whole seconds rounded up, unless it is zero.
void AddRetryAfter(Duration retry_after, HttpResponse& response);

}  // namespace gcw

#endif  // TRANSPORT_REFUSAL_HTTP_H_
