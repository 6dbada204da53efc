#include "transport/gateway/gateway_runtime.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "transport/gateway/listener_limits.h"
#include "transport/json_log.h"

namespace gcw {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// Maximum answer of an endpoint to a probe, a check or an order.
constexpr std::size_t kMaxReportBytes = 256UL * 1024;
// Maximum answer of the key-value service. A page of a range has one megabyte
// and one value more at most.
constexpr std::size_t kMaxStoreAnswerBytes = 8UL * 1024 * 1024;

ProbeResult ProbeVerdictFor(const HttpFailure& failure) {
  if (failure.kind == HttpFailureKind::kConnectRefused) {
    return ProbeResult::kRefused;
  }
  return failure.progress == HttpProgress::kNothingSent
             ? ProbeResult::kUnreachable
             : ProbeResult::kConnected;
}

}  // namespace

HttpCallOptions GatewayRuntime::OptionsWithTimeout(Duration limit) {
  HttpCallOptions options;
  options.connect_timeout = limit;
  options.progress_timeout = limit;
  options.deadline = limit;
  return options;
}

HttpCallOptions GatewayRuntime::EndpointOptions(Duration limit) {
  HttpCallOptions options = OptionsWithTimeout(limit);
  options.max_answer_bytes = kMaxReportBytes;
  options.accept_unframed = true;
  return options;
}

GatewayRuntime::GatewayRuntime(GatewayRuntimeSettings settings, Parts parts)
    : settings_(std::move(settings)),
      parts_(std::move(parts)),
      descriptors_(std::make_shared<DescriptorBudget>(
          MaxConnectionsOfProcess(settings_.descriptor_limit))),
      endpoint_client_(*parts_.context, descriptors_),
      store_client_(*parts_.context, descriptors_),
      watch_client_(*parts_.context, descriptors_),
      engine_client_(*parts_.context, descriptors_),
      peer_client_(*parts_.context, descriptors_),
      answer_memory_(std::make_shared<AnswerMemory>(
          settings_.exchange.buffer_allowance,
          std::min(settings_.exchange.max_total_buffered_bytes,
                   settings_.memory_limit / 8))),
      timer_(*parts_.context) {}

std::optional<GatewayListenError> GatewayRuntime::Listen() {
  std::optional<GatewayListenError> error;
  const auto ignore_request =
      [](void (GatewayRuntime::*serve)(const std::shared_ptr<HttpResponder>&),
         GatewayRuntime* self) {
        return [serve, self](const HttpRequest&,
                             const std::shared_ptr<HttpResponder>& responder) {
          (self->*serve)(responder);
        };
      };
  const bool all_listening =
      ListenOn(
          GatewayListener::kCallers, settings_.callers,
          [this](HttpRequest request,
                 const std::shared_ptr<HttpResponder>& responder) {
            ServeCaller(std::move(request), responder);
          },
          error) &&
      ListenOn(GatewayListener::kReadiness, settings_.readiness,
               ignore_request(&GatewayRuntime::ServeReadiness, this), error) &&
      ListenOn(GatewayListener::kEntries, settings_.entries,
               ignore_request(&GatewayRuntime::ServeEntries, this), error) &&
      ListenOn(
          GatewayListener::kPeers, settings_.peers,
          [this](HttpRequest request,
                 const std::shared_ptr<HttpResponder>& responder) {
            ServePeer(std::move(request), responder);
          },
          error);
  if (all_listening && !settings_.metrics.ip.empty()) {
    ListenOn(GatewayListener::kMetrics, settings_.metrics,
             ignore_request(&GatewayRuntime::ServeMetrics, this), error);
  }
  return error;
}

bool GatewayRuntime::ListenOn(GatewayListener listener,
                              const GatewayListenAddress& listen_address,
                              HttpHandler handler,
                              std::optional<GatewayListenError>& error) {
  const HttpServerLimits limits =
      MakeListenerLimits(listener, settings_.max_caller_connections,
                         settings_.memory_limit, descriptors_);
  auto listening =
      HttpServer::Listen(*parts_.context, listen_address.ip,
                         listen_address.port, limits, std::move(handler));
  if (!IsOk(listening)) {
    error = GatewayListenError{listener, ErrorOf(listening).kind};
    return false;
  }
  servers_[listener] = std::move(ValueOf(listening));
  ips_[listener] = listen_address.ip;
  return true;
}

Address GatewayRuntime::ListenerAddress(GatewayListener listener) const {
  const auto found = servers_.find(listener);
  if (found == servers_.end()) {
    return Address();
  }
  return Address(ips_.at(listener) + ":" +
                 std::to_string(found->second->port()));
}

void GatewayRuntime::Start() {
  Execute(parts_.core->SetOwnAddresses(
      Now(), ListenerAddress(GatewayListener::kCallers),
      ListenerAddress(GatewayListener::kPeers)));
  Tick();
}

void GatewayRuntime::ScheduleTick() {
  timer_.expires_after(
      std::chrono::milliseconds(settings_.tick_interval.millis()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

void GatewayRuntime::Tick() {
  Execute(parts_.core->Tick(Now()));
  parts_.metrics->limited_endpoints.Set(
      static_cast<std::int64_t>(parts_.core->limited_endpoints()));
  parts_.metrics->held_endpoints.Set(
      static_cast<std::int64_t>(parts_.core->held_endpoints()));
  parts_.metrics->endpoints_unreachable.Set(parts_.core->is_cut() ? 1 : 0);
  parts_.metrics->relayed_requests.Set(
      static_cast<std::int64_t>(parts_.core->relayed_requests()));
  parts_.metrics->accepted_relays.Set(
      static_cast<std::int64_t>(parts_.core->accepted_relays()));
  ApplyCallerLimits();
  if (!EndIfStopped()) {
    ScheduleTick();
  }
}

bool GatewayRuntime::EndIfStopped() {
  const Time now = Now();
  if (parts_.core->is_drain_over(now) &&
      !std::exchange(open_requests_ended_, true)) {
    LogEvent(LogSeverity::kWarning, "open_requests_ended",
             {{"open_requests", static_cast<std::int64_t>(exchanges_.size())}});
    Execute(parts_.core->EndOpenRequests(now));
  }
  if (!parts_.core->is_drain_complete(now) || HasBusyConnections()) {
    stop_completed_at_.reset();
  } else if (!stop_completed_at_) {
    stop_completed_at_ = now;
  }
  const bool is_quiet =
      stop_completed_at_ && now - *stop_completed_at_ >= settings_.exit_delay;
  if ((!is_quiet && !parts_.core->is_grace_over(now)) || stopped_) {
    return stopped_;
  }
  stopped_ = true;
  LogEvent(LogSeverity::kInfo, "node_stopped",
           {{"open_requests", static_cast<std::int64_t>(exchanges_.size())},
            {"busy_connections", HasBusyConnections()}});
  parts_.context->stop();
  return true;
}

bool GatewayRuntime::HasBusyConnections() const {
  return std::any_of(servers_.begin(), servers_.end(), [](const auto& server) {
    return (server.first == GatewayListener::kCallers ||
            server.first == GatewayListener::kPeers) &&
           server.second->has_busy_connections();
  });
}

void GatewayRuntime::ApplyCallerLimits() {
  const std::shared_ptr<const RouteTable> routes = parts_.core->view().routes();
  if (!routes || routes->configuration().version == caller_limits_version_) {
    return;
  }
  caller_limits_version_ = routes->configuration().version;
  const CallerLimits& limits = routes->configuration().limits;
  servers_.at(GatewayListener::kCallers)
      ->SetRequestLimits({static_cast<std::size_t>(limits.max_header_bytes),
                          static_cast<std::size_t>(limits.max_body_bytes),
                          limits.header_timeout, limits.idle_timeout});
  // Requests of other nodes have a few more headers than their callers sent.
  constexpr std::size_t kAddedHeaderBytes = 4096;
  const HttpServerLimits peer_limits;
  servers_.at(GatewayListener::kPeers)
      ->SetRequestLimits(
          {std::max(peer_limits.max_header_bytes,
                    static_cast<std::size_t>(limits.max_header_bytes) +
                        kAddedHeaderBytes),
           std::max(peer_limits.max_body_bytes,
                    static_cast<std::size_t>(limits.max_body_bytes)),
           peer_limits.header_timeout, peer_limits.idle_timeout});
}

void GatewayRuntime::BeginStop(std::optional<Duration> grace_period) {
  parts_.core->OnStopRequested(Now(), grace_period);
  const auto callers = servers_.find(GatewayListener::kCallers);
  if (callers != servers_.end()) {
    callers->second->AnnounceStop();
  }
}

void GatewayRuntime::ServeCaller(
    HttpRequest request,
    const std::shared_ptr<HttpResponder>& responder) {
  parts_.metrics->requests.Add();
  Forward(std::move(request), std::nullopt, responder);
}

void GatewayRuntime::Forward(HttpRequest request,
                             std::optional<RelayTerms> terms,
                             const std::shared_ptr<HttpResponder>& responder) {
  ForwardExchange::Parts parts;
  parts.core = parts_.core;
  parts.dialect = &parts_.dialect;
  parts.endpoints = &endpoint_client_;
  parts.peers = &peer_client_;
  parts.answer_memory = answer_memory_;
  parts.clock = parts_.clock;
  parts.post = [this](std::function<void()> task) {
    boost::asio::post(*parts_.context, std::move(task));
  };
  parts.run_actions = [this] {
    Execute(parts_.core->TakeRequestActions(Now()));
  };
  parts.on_finished = [this](const ForwardSummary& summary) {
    parts_.metrics->RecordRequest(summary);
    parts_.report(
        {EventKind::kRequestFinished,
         summary.request.value(),
         {},
         {{"outcome", std::string(ForwardOutcomeName(summary.outcome))},
          {"status", static_cast<std::int64_t>(summary.status)},
          {"vm", summary.vm.value()},
          {"attempts", static_cast<std::int64_t>(summary.attempts)},
          {"first_byte_ms", summary.time_to_first_byte.millis()},
          {"whole_ms", summary.total_time.millis()}}});
    exchanges_.erase(summary.id);
  };
  auto exchange = std::make_shared<ForwardExchange>(
      settings_.exchange, std::move(parts), std::move(request), responder);
  if (terms) {
    exchange->SetRelayTerms(*std::move(terms));
  }
  const ForwardId id = exchange->Start();
  if (exchange->is_finished()) {
    return;
  }
  exchanges_[id] = std::move(exchange);
  Execute(parts_.core->TakeRequestActions(Now()));
}

void GatewayRuntime::ServeReadiness(
    const std::shared_ptr<HttpResponder>& responder) {
  responder->Respond({parts_.core->ready() ? kOk : kUnavailable, {}, {}});
}

void GatewayRuntime::ServeEntries(
    const std::shared_ptr<HttpResponder>& responder) {
  const std::vector<Address> addresses = parts_.core->AdvertisedAddresses();
  if (addresses.empty()) {
    responder->Respond({kUnavailable, {}, {}});
    return;
  }
  responder->Respond(parts_.dialect.make_address_list(
      addresses, parts_.core->advertised_addresses_ttl()));
}

void GatewayRuntime::ServeMetrics(
    const std::shared_ptr<HttpResponder>& responder) {
  parts_.metrics->blocked_requests.Set(
      static_cast<std::int64_t>(parts_.core->blocked_requests(Now())));
  parts_.metrics->suspected_requests.Set(
      static_cast<std::int64_t>(parts_.core->suspected_requests(Now())));
  parts_.metrics->RecordRetryBudgets(parts_.core->RetryBudgets(Now()),
                                     parts_.core->retry_share_nodes(Now()));
  parts_.metrics->age_ms.Set(parts_.core->Age(Now()).millis());
  parts_.metrics->evacuated_zones.Set(
      static_cast<std::int64_t>(parts_.core->Evacuations(Now()).size()));
  std::size_t buffered_bytes = answer_memory_->taken();
  std::int64_t out_of_memory = 0;
  std::int64_t evicted_requests = 0;
  std::int64_t evicted_connections = 0;
  std::int64_t refused_connections = 0;
  for (const auto& [listener, server] : servers_) {
    buffered_bytes += server->buffered_bytes();
    out_of_memory += server->out_of_memory();
    evicted_requests += server->evicted_requests();
    evicted_connections += server->evicted_connections();
    refused_connections += server->refused_connections();
  }
  parts_.metrics->buffered_bytes.Set(static_cast<std::int64_t>(buffered_bytes));
  parts_.metrics->refused_for_memory.Set(out_of_memory);
  parts_.metrics->evicted_requests.Set(evicted_requests);
  parts_.metrics->evicted_connections.Set(evicted_connections);
  parts_.metrics->refused_connections.Set(refused_connections);
  parts_.metrics->open_connections.Set(
      static_cast<std::int64_t>(descriptors_->used()));
  parts_.metrics->unreadable_entries.Set(
      static_cast<std::int64_t>(parts_.core->view().unreadable_entries()));
  parts_.metrics->RecordModelLoads(parts_.core->ModelLoads(Now()),
                                   parts_.core->rejected_with_room());
  parts_.metrics->cold_endpoints.Set(
      static_cast<std::int64_t>(parts_.core->cold_endpoints(Now())));
  parts_.metrics->cold_endpoint_senders.Set(
      static_cast<std::int64_t>(parts_.core->cold_endpoints_of_node(Now())));
  parts_.metrics->RecordPlacements(parts_.core->Placements());
  parts_.metrics->RecordDeferrals(parts_.core->deferral_counts());
  responder->Respond({kOk,
                      {{"Content-Type", "text/plain; version=0.0.4"}},
                      parts_.metrics->Expose()});
}

void GatewayRuntime::Execute(const GatewayActions& actions) {
  for (const GatewayAction& action : actions) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
}

void GatewayRuntime::Execute(const CallGatewayStore& action) {
  const auto* watch = std::get_if<StoreWatch>(&action.request.call);
  Duration timeout = settings_.store_timeout;
  if (watch != nullptr) {
    timeout = timeout + watch->wait;
  }
  HttpClient& client = watch != nullptr ? watch_client_ : store_client_;
  HttpCallOptions options = OptionsWithTimeout(timeout);
  options.max_answer_bytes = kMaxStoreAnswerBytes;
  parts_.metrics->store_calls.Add();
  client.Fetch(
      settings_.store, parts_.dialect.make_store_request(action.request.call),
      options,
      [this, action, &client](const Result<HttpResponse, HttpFailure>& answer) {
        StoreReply reply = StoreNoAnswer{};
        if (IsOk(answer)) {
          reply = parts_.dialect.read_store_reply(action.request.call,
                                                  ValueOf(answer));
        } else if (ErrorOf(answer).kind == HttpFailureKind::kAnswerTooLarge &&
                   std::holds_alternative<StoreWatch>(action.request.call)) {
          // The next watch would get the same changes again, and pages of the
          // range are short.
          StoreWatchReply watched;
          watched.compacted = true;
          reply = std::move(watched);
        } else {
          // Other idle connections may be dead too.
          client.CloseIdleConnections(settings_.store);
          parts_.metrics->store_failures.Add();
        }
        store_health_.Observe(reply);
        Execute(parts_.core->OnStoreReply(Now(), action.module,
                                          action.request.id, reply));
      });
}

void GatewayRuntime::Execute(const SendGroupOrder& action) {
  parts_.metrics->orders.Add();
  engine_client_.Fetch(
      action.address,
      parts_.dialect.make_order_request(action.vm, action.order),
      EndpointOptions(action.timeout),
      [this, id = action.id](const Result<HttpResponse, HttpFailure>& answer) {
        GroupOrderResult result = GroupOrderResult::kNoAnswer;
        if (IsOk(answer)) {
          result = parts_.dialect.read_order_verdict(ValueOf(answer).status);
        } else if (ErrorOf(answer).progress == HttpProgress::kNothingSent) {
          result = GroupOrderResult::kUnreachable;
        }
        Execute(parts_.core->OnOrderReply(Now(), id, result));
      });
}

void GatewayRuntime::Execute(const ProbeEngine& action) {
  parts_.metrics->probes.Add();
  HttpCallOptions options = EndpointOptions(action.timeout);
  options.reuse_connection = action.reuse_connection;
  engine_client_.Fetch(
      action.address, parts_.dialect.make_probe_request(action.vm), options,
      [this, vm = action.vm](const Result<HttpResponse, HttpFailure>& answer) {
        const ProbeReport report =
            IsOk(answer) ? parts_.dialect.read_probe_report(ValueOf(answer))
                         : ProbeReport{ProbeVerdictFor(ErrorOf(answer)), 1};
        Execute(parts_.core->OnProbeReply(Now(), vm, report));
      });
}

void GatewayRuntime::Execute(const CheckEndpoint& action) {
  parts_.metrics->probes.Add();
  HttpCallOptions options = EndpointOptions(action.timeout);
  // Only a new connection shows whether the process is gone.
  options.reuse_connection = false;
  engine_client_.Fetch(
      action.address, parts_.dialect.make_probe_request(action.vm), options,
      [this, action](const Result<HttpResponse, HttpFailure>& answer) {
        const ProbeResult result =
            IsOk(answer)
                ? parts_.dialect.read_probe_report(ValueOf(answer)).result
                : ProbeVerdictFor(ErrorOf(answer));
        Execute(parts_.core->OnCheckReply(Now(), action, result));
      });
}

void GatewayRuntime::Execute(const DropPooledConnections& action) {
  endpoint_client_.CloseIdleConnections(action.address);
  engine_client_.CloseIdleConnections(action.address);
}

void GatewayRuntime::Execute(const ContinueForward& action) {
  const auto found = exchanges_.find(action.id);
  if (found != exchanges_.end()) {
    const std::shared_ptr<ForwardExchange> exchange = found->second;
    exchange->Continue(action.step);
  }
}

void GatewayRuntime::Execute(const EndForward& action) {
  const auto found = exchanges_.find(action.id);
  if (found != exchanges_.end()) {
    const std::shared_ptr<ForwardExchange> exchange = found->second;
    exchange->End(action.step);
  }
}

void GatewayRuntime::Execute(const FailOverForward& action) {
  const auto found = exchanges_.find(action.id);
  if (found != exchanges_.end()) {
    const std::shared_ptr<ForwardExchange> exchange = found->second;
    exchange->FailOver();
  }
}

void GatewayRuntime::Execute(const HedgeForward& action) {
  const auto found = exchanges_.find(action.id);
  if (found != exchanges_.end()) {
    const std::shared_ptr<ForwardExchange> exchange = found->second;
    exchange->StartSecondAttempt();
  }
}

}  // namespace gcw
