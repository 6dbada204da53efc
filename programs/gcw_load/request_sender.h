#ifndef PROGRAMS_GCW_LOAD_REQUEST_SENDER_H_
#define PROGRAMS_GCW_LOAD_REQUEST_SENDER_H_

#include <memory>
#include <string>
#include <vector>

#include "programs/gcw_load/load_context.h"

namespace gcw {

// Sends a request to an address of the entry book. Where nothing was sent it
// takes another one at once, until all were tried; nothing is repeated once a
// byte may have left. It must be held by a shared pointer.
class RequestSender : public std::enable_shared_from_this<RequestSender> {
 public:
  RequestSender(LoadContext& context, RequestKind kind);

  // `handlers` get the outcome of the last try only.
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

// Headers that all requests of the kind carry.
std::vector<HttpHeader> CallerHeaders(const LoadSettings& settings,
                                      RequestKind kind);

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_REQUEST_SENDER_H_
