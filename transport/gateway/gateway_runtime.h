#ifndef TRANSPORT_GATEWAY_GATEWAY_RUNTIME_H_
#define TRANSPORT_GATEWAY_GATEWAY_RUNTIME_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/coordination.h"
#include "transport/descriptor_budget.h"
#include "transport/gateway/forward_exchange.h"
#include "transport/gateway/gateway_dialect.h"
#include "transport/gateway/gateway_metrics.h"
#include "transport/gateway/listener_limits.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/store_health.h"

namespace gcw {

struct GatewayListenAddress {
  std::string ip;
  std::uint16_t port = 0;
};

struct GatewayRuntimeSettings {
  Address store;
  // The timeout for an answer of the key-value service. A watch has its own
  // wait time in addition.
  Duration store_timeout = Duration::Millis(600);
  Duration peer_timeout = Duration::Millis(500);
  Duration tick_interval = Duration::Millis(40);
  // The delay from the end of a planned stop to the exit of the process, for
  // the last bytes of answers to callers that read slowly.
  Duration exit_delay = Duration::Millis(300);
  GatewayListenAddress callers;
  GatewayListenAddress readiness;
  GatewayListenAddress entries;
  GatewayListenAddress peers;
  // If the IP address is empty, no metrics are served.
  GatewayListenAddress metrics;
  std::size_t max_caller_connections = 2500;
  // The file descriptors that the process may use.
  std::size_t descriptor_limit = 4096;
  // The memory that the process may use.
  std::size_t memory_limit = 256UL * 1024 * 1024;
  ForwardExchangeSettings exchange;
};

struct GatewayListenError {
  GatewayListener listener;
  ListenErrorKind kind;
};

// Runs a gateway's core, all connections and all timers on one thread. The VMs
// of the platform have one processor core, so handing each event to another
// thread would cost more than handling it.
class GatewayRuntime {
 public:
  // All objects pointed to must outlive the runtime.
  struct Parts {
    boost::asio::io_context* context = nullptr;
    GatewayCore* core = nullptr;
    GatewayDialect dialect;
    GatewayMetrics* metrics = nullptr;
    // Receives events of the timeline.
    EventSink report;
    Clock clock;
  };

  GatewayRuntime(GatewayRuntimeSettings settings, Parts parts);
  GatewayRuntime(const GatewayRuntime&) = delete;
  GatewayRuntime& operator=(const GatewayRuntime&) = delete;

  // Opens all listeners. Returns the first error, or nothing on success.
  std::optional<GatewayListenError> Listen();
  void Start();
  // Begins a planned stop; the context is stopped when it is complete.
  // `grace_period` replaces the one of the settings if it is given.
  void BeginStop(std::optional<Duration> grace_period);

  // Returns an empty address if the listener is not open.
  Address ListenerAddress(GatewayListener listener) const;

 private:
  void ScheduleTick();
  void Tick();
  // Ends the process once a planned stop is complete. Returns whether it has.
  bool EndIfStopped();
  // Whether callers or other nodes have not been sent all of their answers, or
  // are sending a request.
  bool HasBusyConnections() const;
  // Applies the request limits of the operators' configuration to callers.
  void ApplyCallerLimits();
  bool ListenOn(GatewayListener listener,
                const GatewayListenAddress& listen_address,
                HttpHandler handler,
                std::optional<GatewayListenError>& error);
  void ServeCaller(HttpRequest request,
                   const std::shared_ptr<HttpResponder>& responder);
  // Serves a request that another node passes on.
  void ServeRelayed(HttpRequest request,
                    const std::shared_ptr<HttpResponder>& responder);
  // Forwards a request. `terms` are set if another node passes it on.
  void Forward(HttpRequest request,
               std::optional<RelayTerms> terms,
               const std::shared_ptr<HttpResponder>& responder);
  void ServeReadiness(const std::shared_ptr<HttpResponder>& responder);
  void ServeEntries(const std::shared_ptr<HttpResponder>& responder);
  void ServePeer(HttpRequest request,
                 const std::shared_ptr<HttpResponder>& responder);
  void ServeMirror(const HttpRequest& request, HttpResponder& responder);
  // Long poll: responds when something has changed or the wait has expired.
  void ServeChanges(const HttpRequest& request,
                    const std::shared_ptr<HttpResponder>& responder);
  // Handle another node's notice of a stalled group and its query for the
  // progress of a group.
  void ServeStallNotice(const StallNotice& notice, HttpResponder& responder);
  void ServeProgressQuery(const StallNotice& group, HttpResponder& responder);
  void ServeLimitNotice(const HttpRequest& request, HttpResponder& responder);
  void ServeCrashNotices(const HttpRequest& request, HttpResponder& responder);
  // Held until the lock is granted or the claim's wait has expired.
  void ServeRunLockClaim(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder);
  void ServeRunLockRelease(const HttpRequest& request,
                           HttpResponder& responder);
  void ServeReachQuery(HttpResponder& responder);
  void ServeBlocks(HttpResponder& responder);
  void ServeEvacuations(HttpResponder& responder);
  void ServeRouteExplanation(const HttpRequest& request,
                             HttpResponder& responder);
  void ServeBlockLift(const HttpRequest& request, HttpResponder& responder);
  void ServeMetrics(const std::shared_ptr<HttpResponder>& responder);

  void Execute(const GatewayActions& actions);
  void Execute(const CallGatewayStore& action);
  void Execute(const RequestNodeSnapshot& action);
  void Execute(const RequestNodeChanges& action);
  void Execute(const ChangesReply& action);
  void Execute(const NotifyNode& action);
  void Execute(const RequestGroupProgress& action);
  void Execute(const NotifyLimit& action);
  void Execute(const SendGroupOrder& action);
  void Execute(const ProbeEngine& action);
  void Execute(const NotifyCrashes& action);
  void Execute(const ClaimRunLock& action);
  void Execute(const ReleaseRunLock& action);
  void Execute(const AnswerRunLockClaim& action);
  void Execute(const QueryReach& action);
  void Execute(const CheckEndpoint& action);
  void Execute(const ContinueForward& action);
  void Execute(const EndForward& action);
  void Execute(const FailOverForward& action);
  void Execute(const HedgeForward& action);
  void Execute(const DropPooledConnections& action);
  static HttpCallOptions OptionsWithTimeout(Duration limit);
  // Endpoints may answer with neither a length nor chunks.
  static HttpCallOptions EndpointOptions(Duration limit);
  Time Now() const { return parts_.clock(); }

  GatewayRuntimeSettings settings_;
  Parts parts_;
  std::shared_ptr<DescriptorBudget> descriptors_;
  HttpClient endpoint_client_;
  HttpClient store_client_;
  HttpClient watch_client_;
  HttpClient engine_client_;
  HttpClient peer_client_;
  std::shared_ptr<AnswerMemory> answer_memory_;
  boost::asio::steady_timer timer_;
  std::unordered_map<GatewayListener, std::unique_ptr<HttpServer>> servers_;
  std::unordered_map<GatewayListener, std::string> ips_;
  std::unordered_map<ForwardId, std::shared_ptr<ForwardExchange>> exchanges_;
  // Pending long polls of other nodes for changes.
  std::unordered_map<ChangesRequestId, std::shared_ptr<HttpResponder>>
      pending_change_requests_;
  ChangesRequestId last_change_request_id_;
  // Pending claims of other nodes.
  std::unordered_map<RunLockClaimId, std::shared_ptr<HttpResponder>>
      pending_run_lock_claims_;
  RunLockClaimId last_run_lock_claim_id_;
  // The configuration version of the caller limits in force.
  ConfigurationVersion caller_limits_version_;
  StoreHealthMonitor store_health_{LogStoreHealth};
  // When a planned stop was first seen complete; unset while it is not.
  std::optional<Time> stop_completed_at_;
  bool stopped_ = false;
  bool open_requests_ended_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_GATEWAY_RUNTIME_H_
