#ifndef PROGRAMS_GCW_STANDIN_HTTP_ANSWERS_H_
#define PROGRAMS_GCW_STANDIN_HTTP_ANSWERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/protocol.h"
#include "transport/transport.h"

namespace gcw {

HttpResponse JsonResponse(int status, std::string body);
// Returns status 400 with the kind and the field of the error.
HttpResponse MalformedResponse(const CodecError& error);
HttpResponse NotFoundResponse();
// Returns the answer of model engines and plain services to a request that they
// rejected without running it.
HttpResponse NotRunResponse(int status, std::string_view reason);

// Returns the target without its query.
std::string_view TargetPath(std::string_view target);
// Returns the value of a query parameter, or nothing if it is missing or not an
// integer.
std::optional<std::int64_t> QueryNumber(std::string_view target,
                                        std::string_view name);
// Returns nothing unless the whole text is an integer.
std::optional<std::int64_t> ParseNumber(std::string_view text);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_HTTP_ANSWERS_H_
