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
// 400 with the kind and field of the fault.
HttpResponse MalformedResponse(const CodecError& error);
HttpResponse NotFoundResponse();
// Refused without running, in the words of model engines and plain services.
HttpResponse NotRunResponse(int status, std::string_view reason);

// The part before the query.
std::string_view TargetPath(std::string_view target);
// A query parameter that is a whole number.
std::optional<std::int64_t> QueryNumber(std::string_view target,
                                        std::string_view name);
// Absent unless the text is a whole number.
std::optional<std::int64_t> ParseNumber(std::string_view text);

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_HTTP_ANSWERS_H_
