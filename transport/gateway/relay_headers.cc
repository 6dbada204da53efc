#include "transport/gateway/relay_headers.h"

#include <boost/beast/core/string.hpp>

namespace gcw {

void RemoveRelayHeaders(std::vector<HttpHeader>& headers) {
  std::erase_if(headers, [](const HttpHeader& header) {
    return boost::beast::iequals(header.name, kRelayHeader) ||
           boost::beast::iequals(header.name, kRelayRefusalHeader) ||
           boost::beast::iequals(header.name, kRelayUnsentHeader) ||
           boost::beast::iequals(header.name, kRelayEndpointHeader);
  });
}

RelayAnswer ReadRelayAnswer(const HttpResponse& head) {
  RelayAnswer answer;
  answer.refusal = RefusalKindFromName(head.Header(kRelayRefusalHeader));
  answer.is_unsent = !head.Header(kRelayUnsentHeader).empty();
  answer.endpoint = VmId(head.Header(kRelayEndpointHeader));
  return answer;
}

}  // namespace gcw
