#ifndef TRANSPORT_OPERATOR_SERVICE_H_
#define TRANSPORT_OPERATOR_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "transport/http_types.h"
#include "transport/metrics.h"
#include "transport/node_runtime.h"
#include "transport/secret.h"

namespace gcw {

// Serves the API that a node offers to operators, on a port of its own and with
// a separate credential; see docs/API.md.
class OperatorService {
 public:
  // All references must outlive the service.
  OperatorService(Secret credential, NodeRuntime& runtime, Metrics& metrics);

  // Handler for an `HttpServer`.
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpResponder>& responder);

 private:
  using Responder = std::shared_ptr<HttpResponder>;
  // A family of configuration keys that operators write.
  struct ConfigFamily {
    // Used in paths and as the name of the list.
    std::string_view name;
    std::string_view prefix;
    // Validates what the operator sent and returns the text to store. An error
    // response gives the reason as `field: kind`.
    std::function<Result<std::string, HttpResponse>(const std::string& id,
                                                    std::string_view text)>
        normalize;
  };

  bool IsAuthorized(const HttpRequest& request) const;
  bool HandlePage(const HttpRequest& request, const Responder& responder);
  bool HandleAction(const HttpRequest& request, const Responder& responder);
  bool HandleConfigFamily(const ConfigFamily& family,
                          const HttpRequest& request,
                          const Responder& responder);
  void ShowEntry(const std::string& key, const Responder& responder);
  void WriteEntry(const ConfigFamily& family,
                  const std::string& id,
                  const HttpRequest& request,
                  const Responder& responder);
  void ShowTimeline(const HttpRequest& request, const Responder& responder);
  void ShowExplanation(const HttpRequest& request, const Responder& responder);
  void ShowChange(const std::string& text, const Responder& responder);
  void DrainGroup(const HttpRequest& request, const Responder& responder);

  Secret credential_;
  NodeRuntime& runtime_;
  Metrics& metrics_;
  std::vector<ConfigFamily> families_;
};

}  // namespace gcw

#endif  // TRANSPORT_OPERATOR_SERVICE_H_
