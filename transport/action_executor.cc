#include "transport/action_executor.h"

#include <utility>

#include "protocol/protocol.h"
#include "transport/call_error.h"

namespace gcw {
namespace {

constexpr Duration kReadTimeout = Duration::Millis(1000);
constexpr std::int64_t kMillisPerSecond = 1000;

ProbeReply ToFailedProbe(const CallError& error) {
  const auto* failure = std::get_if<HttpFailure>(&error);
  if (failure == nullptr ||
      failure->kind == HttpFailureKind::kMalformedAnswer ||
      failure->kind == HttpFailureKind::kAnswerTooLarge) {
    return ProbeFailed{ProbeFailure::kMalformed};
  }
  // A reset means that the process closed the connection: it has exited or is
  // about to.
  if (failure->kind == HttpFailureKind::kConnectRefused ||
      failure->kind == HttpFailureKind::kConnectionReset) {
    return ProbeFailed{ProbeFailure::kRefused};
  }
  return ProbeFailed{ProbeFailure::kTimeout};
}

OrderReply ToFailedOrder(const CallError& error) {
  const auto* failure = std::get_if<HttpFailure>(&error);
  if (failure != nullptr && failure->progress == HttpProgress::kNothingSent) {
    return OrderWithheld{};
  }
  return OrderNoAnswer{};
}

// Estimates how long a load that is queued now waits.
Duration EstimateQueueWait(const WeightStoreStatus& status) {
  if (status.bytes_per_second <= 0) {
    return Duration();
  }
  return Duration::Millis(status.queue_bytes * kMillisPerSecond /
                          status.bytes_per_second);
}

}  // namespace

ActionExecutor::ActionExecutor(boost::asio::io_context& context,
                               Clients clients,
                               Address weight_store,
                               Clock clock)
    : platform_(context),
      clients_(std::move(clients)),
      weight_store_(std::move(weight_store)),
      clock_(std::move(clock)) {}

void ActionExecutor::Execute(const CallStore& action) {
  const NodeModule module = action.module;
  const StoreCallId id = action.id;
  clients_.store->Call(action.call, [this, module, id](StoreReply reply) {
    event_sink_(StoreAnswered{module, id, std::move(reply)});
  });
}

void ActionExecutor::Execute(SendToPeer action) {
  clients_.send_to_peer(std::move(action));
}

void ActionExecutor::Execute(const SendProbe& action) {
  if (action.probe.purpose == VmPurpose::kModelEngine) {
    ProbeEngine(action);
  } else {
    ProbeService(action);
  }
}

void ActionExecutor::ProbeEngine(const SendProbe& action) {
  const NodeModule module = action.module;
  const ProbeId id = action.probe.id;
  clients_.engines->ReadStatus(
      action.probe.address, action.probe.timeout,
      [this, module, id](Result<EngineStatus, CallError> status) {
        event_sink_(ProbeAnswered{module, id,
                                  IsOk(status)
                                      ? ProbeReply(ValueOf(status))
                                      : ToFailedProbe(ErrorOf(status))});
      });
}

void ActionExecutor::ProbeService(const SendProbe& action) {
  const NodeModule module = action.module;
  const ProbeId id = action.probe.id;
  clients_.engines->ReadLoad(
      action.probe.address, action.probe.timeout,
      [this, module, id](const Result<LoadReport, CallError>& report) {
        event_sink_(ProbeAnswered{module, id,
                                  IsOk(report)
                                      ? ProbeReply(ServiceAlive{})
                                      : ToFailedProbe(ErrorOf(report))});
      });
}

void ActionExecutor::Execute(const SendOrder& action) {
  const OrderId id = action.id;
  clients_.engines->SendOrder(
      action.address, action.order, action.timeout,
      [clock = clock_, send_before = action.send_before] {
        return clock() < send_before;
      },
      [this, id](const Result<EngineOrderReply, CallError>& answer) {
        OrderReply reply = OrderNoAnswer{};
        if (IsOk(answer)) {
          std::visit([&reply](const auto& value) { reply = value; },
                     ValueOf(answer));
        } else {
          reply = ToFailedOrder(ErrorOf(answer));
        }
        event_sink_(OrderAnswered{id, std::move(reply)});
      });
}

void ActionExecutor::Execute(const ReadVmList&) {
  clients_.vm_list->Read([this](Result<VmListSnapshot, CallError> snapshot) {
    if (IsOk(snapshot)) {
      event_sink_(VmListRead{std::move(ValueOf(snapshot))});
    }
  });
}

void ActionExecutor::Execute(const ReadWeightStore&) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/weights";
  FetchDecoded<WeightStoreStatus>(
      platform_, weight_store_, request, OptionsWithTimeout(kReadTimeout),
      DecodeWeightStoreStatus,
      [this](const Result<WeightStoreStatus, CallError>& status) {
        if (IsOk(status)) {
          event_sink_(WeightStoreRead{EstimateQueueWait(ValueOf(status))});
        }
      });
}

void ActionExecutor::Execute(const ReadLoad& action) {
  const EndpointId endpoint = action.endpoint.id;
  clients_.engines->ReadLoad(
      action.endpoint.address, kReadTimeout,
      [this, endpoint](Result<LoadReport, CallError> report) {
        if (!IsOk(report)) {
          return;
        }
        // The engine reports itself by its VM; nodes use the endpoint's id.
        LoadReport& load = ValueOf(report);
        load.endpoint = endpoint;
        event_sink_(LoadReportRead{load});
      });
}

void ActionExecutor::Execute(const ReadCacheEvents& action) {
  const Endpoint& endpoint = action.endpoint;
  clients_.engines->ReadCacheEvents(
      endpoint.address, action.after, kReadTimeout,
      [this, id = endpoint.id](Result<CacheEventBatch, CallError> batch) {
        if (!IsOk(batch)) {
          return;
        }
        event_sink_(CacheEventsRead{id, std::move(ValueOf(batch))});
      });
}

void ActionExecutor::Execute(const DropConnections& action) {
  clients_.endpoints->CloseIdleConnections(action.address);
  clients_.engines->CloseIdleConnections(action.address);
}

}  // namespace gcw
