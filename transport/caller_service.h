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
  // Makes request ids unique over nodes and their runs.
  std::string id_prefix;
  Duration connect_timeout = Duration::Millis(500);
  // A stream without a token for this long has gone silent.
  Duration model_progress_timeout = Duration::Seconds(10);
  Duration service_progress_timeout = Duration::Seconds(10);
  // For callers that name none by `X-Gcw-Timeout-Ms`.
  Duration default_model_timeout = Duration::Seconds(120);
  Duration default_service_timeout = Duration::Seconds(30);
  Duration longest_timeout = Duration::Seconds(600);
};

// What callers can ask a node for; see docs/API.md. Reads each request, checks
// it, and hands it to the core.
class CallerService {
 public:
  // All arguments outlive the service.
  CallerService(CallerServiceSettings settings,
                boost::asio::io_context& traffic,
                HttpClient& client,
                NodeRuntime& runtime,
                NodeMetrics& metrics,
                Clock clock);

  // To be used as the handler of an `HttpServer`.
  void Handle(HttpRequest request,
              const std::shared_ptr<HttpResponder>& responder);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void HandleChat(const HttpRequest& request, const Responder& responder);
  void HandleService(HttpRequest request, const Responder& responder);
  void HandleEntries(const Responder& responder);
  void HandleIssueKey(const HttpRequest& request, const Responder& responder);
  // Fills what all kinds of request share; false where the caller was answered
  // with an error.
  bool ReadCommon(const HttpRequest& request,
                  Duration default_timeout,
                  const Responder& responder,
                  CallerArrived& arrived);
  void Arrive(CallerArrived arrived,
              const Responder& responder,
              std::unique_ptr<AnswerReceiver> receiver,
              Duration progress_timeout);

  CallerServiceSettings settings_;
  boost::asio::io_context& traffic_;
  HttpClient& client_;
  NodeRuntime& runtime_;
  NodeMetrics& metrics_;
  Clock clock_;
  std::atomic<std::int64_t> last_request_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_CALLER_SERVICE_H_
