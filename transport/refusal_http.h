#ifndef TRANSPORT_REFUSAL_HTTP_H_
#define TRANSPORT_REFUSAL_HTTP_H_

#include <string_view>

#include "coordination/coordination.h"
#include "transport/http_types.h"

namespace gcw {

// How a refusal stands in HTTP.
int RefusalStatus(RefusalKind kind);

// One sentence for people: what happened and what to do.
std::string_view RefusalMessage(RefusalKind kind);

// Adds `Retry-After`, in whole seconds rounded up, where it is not zero.
void AddRetryAfter(Duration retry_after, HttpResponse& response);

}  // namespace gcw

#endif  // TRANSPORT_REFUSAL_HTTP_H_
