#ifndef TRANSPORT_CALLER_SERVICE_H_
#define TRANSPORT_CALLER_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "transport/http_client.h"
#include "transport/http_types.h"
#include "transport/node_metrics.h"
#include "transport/node_runtime.h"

namespace gcw {

struct CallerServiceSettings {
  // Makes request ids unique across nodes and their restarts.
  std::string id_prefix;
  Duration connect_timeout = Duration::Millis(500);
  // A stream without a token for this long counts as stalled.
  Duration model_progress_timeout = Duration::Seconds(10);
  Duration service_progress_timeout = Duration::Seconds(10);
  // The default timeouts apply if a caller sends no `X-Gcw-Timeout-Ms` header.
  Duration default_model_timeout = Duration::Seconds(120);
  Duration default_service_timeout = Duration::Seconds(30);
  Duration max_timeout = Duration::Seconds(600);
};

// Serves the API that a node offers to callers; see docs/API.md. Parses and
// validates each request and passes it to the core.
class CallerService {
 public:
  // All references must outlive the service.
  CallerService(CallerServiceSettings settings,
                boost::asio::io_context& traffic_context,
                HttpClient& client,
                NodeRuntime& runtime,
                NodeMetrics& metrics,
                Clock clock);

  // Handler for an `HttpServer`.
  void Handle(HttpRequest request,
              const std::shared_ptr<HttpResponder>& responder);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void HandleChat(const HttpRequest& request, const Responder& responder);
  void HandleService(HttpRequest request, const Responder& responder);
  void HandleEntries(const Responder& responder);
  void HandleIssueKey(const HttpRequest& request, const Responder& responder);
  // Fills in the fields common to all kinds of request. Returns false if the
  // caller was sent an error.
  bool ReadCommonFields(const HttpRequest& request,
                        Duration default_timeout,
                        const Responder& responder,
                        CallerArrived& arrived);
  void SubmitRequest(CallerArrived arrived,
                     const Responder& responder,
                     std::unique_ptr<AnswerReceiver> receiver,
                     Duration progress_timeout);

  CallerServiceSettings settings_;
  boost::asio::io_context& traffic_context_;
  HttpClient& client_;
  NodeRuntime& runtime_;
  NodeMetrics& metrics_;
  Clock clock_;
  std::atomic<std::int64_t> last_request_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_CALLER_SERVICE_H_
