#include "programs/gcw_node/node_process.h"

#include <atomic>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace gcw {
namespace {

constexpr std::size_t kMostCallerConnections = 20000;
constexpr std::size_t kMostOperatorConnections = 256;

template <typename Record>
std::optional<Record> ValueIfOk(Decoded<Record> decoded) {
  if (!IsOk(decoded)) {
    return std::nullopt;
  }
  return std::move(ValueOf(decoded));
}

NodeCodecs JsonCodecs() {
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
    return ValueIfOk(DecodeWantedModel(text));
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

}  // namespace

// In the order in which they are built; destroyed the other way about.
struct NodeProcess::Parts {
  explicit Parts(NodeSettings with_settings)
      : settings(std::move(with_settings)),
        clock(SystemClock()),
        log(MakeEventLog(settings, clock)),
        endpoints(traffic),
        store(traffic, {settings.store, settings.store_timeout}),
        vm_list(traffic, settings.vm_list, settings.store_timeout),
        engines(traffic),
        node_metrics(metrics) {}

  NodeSettings settings;
  Clock clock;
  EventLog log;
  Metrics metrics;
  boost::asio::io_context traffic;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      traffic_work = boost::asio::make_work_guard(traffic);
  HttpClient endpoints;
  StoreClient store;
  VmListClient vm_list;
  EngineClient engines;
  NodeMetrics node_metrics;
  std::unique_ptr<NodeCore> core;
  std::unique_ptr<PeerClient> peer_client;
  std::unique_ptr<ActionExecutor> executor;
  std::unique_ptr<NodeRuntime> runtime;
  std::unique_ptr<CallerService> callers;
  std::unique_ptr<OperatorService> operators;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> operator_server;
  std::unique_ptr<PeerServer> peer_server;
  std::vector<std::thread> threads;
  std::atomic<bool> stopped = false;
};

NodeProcess::NodeProcess(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts)) {}

NodeProcess::~NodeProcess() {
  if (parts_->runtime != nullptr) {
    parts_->runtime->Stop();
  }
  parts_->traffic.stop();
  for (std::thread& thread : parts_->threads) {
    thread.join();
  }
}

void NodeProcess::BeginStop() {
  parts_->runtime->Post(StopAsked{});
}

bool NodeProcess::stopped() const {
  return parts_->stopped;
}

}  // namespace gcw
