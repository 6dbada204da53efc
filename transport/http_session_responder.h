#ifndef TRANSPORT_HTTP_SESSION_RESPONDER_H_
#define TRANSPORT_HTTP_SESSION_RESPONDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/http_types.h"

namespace gcw {

class HttpServerSession;

// Responds to one request of a session. Calls have no effect once that response
// has ended, so that they cannot write into the response to a later request.
class HttpSessionResponder final : public HttpResponder {
 public:
  HttpSessionResponder(std::shared_ptr<HttpServerSession> session,
                       std::uint64_t response_id);
  ~HttpSessionResponder() override;

  void Respond(HttpResponse response) override;
  void StartStream(int status, std::vector<HttpHeader> headers) override;
  void Write(std::string chunk) override;
  void Finish() override;
  void Abort() override;
  std::size_t unsent_bytes() const override;
  void OnCallerGone(std::function<void()> hook) override;

 private:
  const std::shared_ptr<HttpServerSession> session_;
  const std::uint64_t response_id_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_SESSION_RESPONDER_H_
