#ifndef PROGRAMS_GCW_LOAD_REQUEST_SENDER_H_
#define PROGRAMS_GCW_LOAD_REQUEST_SENDER_H_

#include <memory>
#include <string>
#include <vector>

#include "programs/gcw_load/load_context.h"

namespace gcw {

// Sends a request to an address of the entry list. If an attempt fails before
// anything was sent, tries the next address at once until all were tried. Never
// repeats a request of which a byte may have left. Must be held by a shared
// pointer.
class RequestSender : public std::enable_shared_from_this<RequestSender> {
 public:
  RequestSender(LoadContext& context, RequestKind kind);

  // `handlers` see only the last attempt.
  void Send(HttpRequest request, HttpCallHandlers handlers);

 private:
  void TryNext();
  HttpCallHandlers MakeHandlers(const Address& address);
  void OnFailure(const Address& address, HttpFailure failure);

  LoadContext& context_;
  const RequestKind kind_;
  HttpRequest request_;
  HttpCallHandlers handlers_;
  std::vector<Address> tried_;
  HttpFailure last_failure_;
};

// Returns the headers that all requests of the kind carry.
std::vector<HttpHeader> CallerHeaders(const LoadSettings& settings,
                                      RequestKind kind);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_REQUEST_SENDER_H_
