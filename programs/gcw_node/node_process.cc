#include "programs/gcw_node/node_process.h"

#include <unistd.h>

#include <atomic>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

namespace gcw {
namespace {

constexpr std::int64_t kNotEnded = -1;
// After accepting has ended, callers have this long to read the rest of their
// answers before the process ends.
constexpr Duration kMaxAnswerDrainTime = Duration::Seconds(15);
constexpr std::size_t kMaxCallerConnections = 20000;
constexpr std::size_t kMaxOperatorConnections = 256;

template <typename Record>
std::optional<Record> ValueIfOk(Decoded<Record> decoded) {
  if (!IsOk(decoded)) {
    return std::nullopt;
  }
  return std::move(ValueOf(decoded));
}

NodeCodecs MakeJsonCodecs() {
  NodeCodecs codecs;
  codecs.node_record.encode = EncodeNodeRecord;
  codecs.node_record.decode = [](std::string_view text) {
    return ValueIfOk(DecodeNodeRecord(text));
  };
  codecs.config_record.encode = EncodeConfigRecord;
  codecs.config_record.decode = [](std::string_view text) {
    return ValueIfOk(DecodeConfigRecord(text));
  };
  codecs.domain_record.encode = EncodeDomainRecord;
  codecs.domain_record.decode = [](std::string_view text) {
    return ValueIfOk(DecodeDomainRecord(text));
  };
  codecs.decode_contract = [](std::string_view text) {
    return ValueIfOk(DecodeContract(text));
  };
  codecs.decode_model = [](std::string_view text) {
    return ValueIfOk(DecodeDesiredModel(text));
  };
  return codecs;
}

EventLog MakeEventLog(const NodeSettings& settings, const Clock& clock) {
  EventLog::Builder builder;
  builder.SetNode(settings.core.self.id)
      .SetIncarnation(settings.core.incarnation)
      .SetClock(clock)
      .SetCapacity(static_cast<std::size_t>(settings.events_kept));
  if (settings.log_events) {
    builder.SetObserver(LogTimelineEvent);
  }
  return builder.Build();
}

Address MakeAddress(const ListenSettings& listen_settings, std::uint16_t port) {
  return Address(listen_settings.ip + ":" + std::to_string(port));
}

}  // namespace

// Members are initialized in this order and destroyed in reverse order.
struct NodeProcess::Parts {
  explicit Parts(NodeSettings initial_settings)
      : settings(std::move(initial_settings)),
        clock(SystemClock()),
        json_log(
            {settings.core.self.id, "gcw-node", settings.log_severity, {}}),
        log(MakeEventLog(settings, clock)),
        node_metrics(metrics),
        endpoints(traffic),
        store(traffic, {settings.store, settings.store_timeout}),
        vm_list(traffic, settings.vm_list, settings.store_timeout),
        engines(traffic) {}

  // Opens all listeners. Returns false and sets `error` on the first failure.
  bool OpenListeners(NodeStartError& error);
  bool Listen(const ListenSettings& listen_settings,
              std::size_t connection_limit,
              HttpHandler handler,
              std::unique_ptr<HttpServer>& server,
              ListenErrorKind& error);
  void BuildCore();
  void BuildServices();
  void StartThreads();
  // Called when the core's planned stop is complete; answers may still be in
  // transmission.
  void OnStopComplete();
  // Prints the node's addresses to standard output as a JSON line.
  void PrintAddresses() const;

  NodeSettings settings;
  Clock clock;
  JsonLog json_log;
  EventLog log;
  Metrics metrics;
  NodeMetrics node_metrics;
  boost::asio::io_context control{1};
  boost::asio::io_context traffic;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      traffic_work = boost::asio::make_work_guard(traffic);
  HttpClient endpoints;
  StoreClient store;
  VmListClient vm_list;
  EngineClient engines;
  std::unique_ptr<NodeCore> core;
  std::unique_ptr<PeerClient> peer_client;
  std::unique_ptr<ActionExecutor> executor;
  std::unique_ptr<NodeRuntime> runtime;
  std::unique_ptr<CallerService> callers;
  std::unique_ptr<OperatorService> operators;
  std::unique_ptr<PeerServer> peer_server;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> operator_server;
  std::vector<std::thread> threads;
  // When the node stopped accepting connections; kNotEnded before that.
  std::atomic<std::int64_t> accepting_ended_ms = kNotEnded;
};

// The servers are created before the core, because the core announces their
// ports. Their handlers may use parts that are built later: none runs before
// the threads start.
bool NodeProcess::Parts::OpenListeners(NodeStartError& error) {
  error.listener = NodeListener::kCallers;
  if (!Listen(
          settings.caller_listen, kMaxCallerConnections,
          [this](HttpRequest request,
                 const std::shared_ptr<HttpResponder>& responder) {
            callers->Handle(std::move(request), responder);
          },
          caller_server, error.kind)) {
    return false;
  }
  error.listener = NodeListener::kOperators;
  if (!Listen(
          settings.operator_listen, kMaxOperatorConnections,
          [this](const HttpRequest& request,
                 const std::shared_ptr<HttpResponder>& responder) {
            operators->Handle(request, responder);
          },
          operator_server, error.kind)) {
    return false;
  }
  error.listener = NodeListener::kPeers;
  PeerServerSettings peers;
  peers.self = settings.core.self.id;
  peers.ip = settings.peer_listen.ip;
  peers.port = static_cast<std::uint16_t>(settings.peer_listen.port);
  peers.secret = settings.peer_secret;
  auto listening =
      PeerServer::Listen(control, peers, [this](PeerEnvelope envelope) {
        log.Observe(envelope.time);
        for (PeerMessage& message : envelope.messages) {
          runtime->Handle(PeerReceived{envelope.sender, std::move(message)});
        }
      });
  if (!IsOk(listening)) {
    error.kind = ListenErrorKind::kRefused;
    return false;
  }
  peer_server = std::move(ValueOf(listening));
  return true;
}

bool NodeProcess::Parts::Listen(const ListenSettings& listen_settings,
                                std::size_t connection_limit,
                                HttpHandler handler,
                                std::unique_ptr<HttpServer>& server,
                                ListenErrorKind& error) {
  HttpServerLimits limits;
  limits.max_connections = connection_limit;
  auto listening =
      HttpServer::Listen(traffic, listen_settings.ip,
                         static_cast<std::uint16_t>(listen_settings.port),
                         limits, std::move(handler));
  if (!IsOk(listening)) {
    error = ErrorOf(listening).kind;
    return false;
  }
  server = std::move(ValueOf(listening));
  return true;
}

void NodeProcess::Parts::BuildCore() {
  NodeRecord& self = settings.core.self;
  self.caller_address =
      MakeAddress(settings.caller_listen, caller_server->port());
  self.operator_address =
      MakeAddress(settings.operator_listen, operator_server->port());
  self.peer_address = MakeAddress(settings.peer_listen, peer_server->port());
  core = NodeCore::Builder()
             .SetSettings(settings.core)
             .SetCodecs(MakeJsonCodecs())
             .SetRandom(SeededRandom(std::random_device()()))
             .SetEventSink(log.Sink())
             .Build(clock());
}

void NodeProcess::Parts::BuildServices() {
  PeerClientSettings peer_settings;
  peer_settings.self = settings.core.self.id;
  peer_settings.incarnation = settings.core.incarnation;
  peer_settings.secret = settings.peer_secret;
  peer_client = std::make_unique<PeerClient>(control, peer_settings,
                                             [this] { return log.Tick(); });
  ActionExecutor::Clients clients;
  clients.store = &store;
  clients.vm_list = &vm_list;
  clients.engines = &engines;
  clients.endpoints = &endpoints;
  clients.send_to_peer = [this](const SendToPeer& send) {
    peer_client->SetAddress(send.to, send.address);
    peer_client->Send(send.to, send.message);
  };
  executor = std::make_unique<ActionExecutor>(traffic, std::move(clients),
                                              settings.weights, clock);
  runtime = std::make_unique<NodeRuntime>(
      control, *core, log, *executor, node_metrics,
      NodeRuntime::Hooks{clock, [this] { OnStopComplete(); }});
  CallerServiceSettings caller_settings = settings.callers;
  caller_settings.id_prefix =
      settings.core.self.id.value() + "-" +
      std::to_string(settings.core.incarnation.value()) + "-";
  callers = std::make_unique<CallerService>(caller_settings, traffic, endpoints,
                                            *runtime, node_metrics, clock);
  operators = std::make_unique<OperatorService>(settings.operator_credential,
                                                *runtime, metrics);
}

void NodeProcess::Parts::StartThreads() {
  runtime->Start();
  for (int thread = 0; thread < settings.traffic_threads; ++thread) {
    threads.emplace_back([this] { traffic.run(); });
  }
}

// For the core a request ends when its answer is queued. Ending the process at
// that point would truncate answers to slow callers, so open connections are
// allowed to finish.
void NodeProcess::Parts::OnStopComplete() {
  caller_server->StopAccepting();
  accepting_ended_ms = clock().millis();
}

void NodeProcess::Parts::PrintAddresses() const {
  const NodeRecord& self = settings.core.self;
  std::cout << boost::json::serialize(boost::json::object{
                   {"node", self.id.value()},
                   {"callers", self.caller_address.value()},
                   {"peers", self.peer_address.value()},
                   {"operators", self.operator_address.value()},
                   {"pid", getpid()}})
            << std::endl;
}

std::variant<std::unique_ptr<NodeProcess>, NodeStartError> NodeProcess::Start(
    NodeSettings settings) {
  settings.core.incarnation = Incarnation(SystemClock()().millis());
  auto parts = std::make_unique<Parts>(std::move(settings));
  NodeStartError error{};
  if (!parts->OpenListeners(error)) {
    return error;
  }
  parts->BuildCore();
  parts->BuildServices();
  parts->StartThreads();
  parts->PrintAddresses();
  return std::unique_ptr<NodeProcess>(new NodeProcess(std::move(parts)));
}

NodeProcess::NodeProcess(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts)) {}

NodeProcess::~NodeProcess() {
  parts_->runtime->Stop();
  parts_->traffic.stop();
  for (std::thread& thread : parts_->threads) {
    thread.join();
  }
}

void NodeProcess::BeginStop() {
  parts_->runtime->Post(StopRequested{});
}

bool NodeProcess::stopped() const {
  const std::int64_t ended = parts_->accepting_ended_ms;
  if (ended == kNotEnded) {
    return false;
  }
  const Duration waited = parts_->clock() - Time::FromMillis(ended);
  return parts_->caller_server->open_connections() == 0 ||
         waited >= kMaxAnswerDrainTime;
}

}  // namespace gcw
