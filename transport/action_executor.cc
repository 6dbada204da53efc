#include "transport/action_executor.h"

#include <utility>

#include "protocol/protocol.h"
#include "transport/call_error.h"

namespace gcw {
namespace {

constexpr Duration kReadTimeout = Duration::Millis(1000);
constexpr std::int64_t kMillisPerSecond = 1000;

ProbeReply FailedProbe(const CallError& error) {
  const auto* failure = std::get_if<HttpFailure>(&error);
  if (failure == nullptr ||
      failure->kind == HttpFailureKind::kMalformedAnswer) {
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

OrderReply FailedOrder(const CallError& error) {
  const auto* failure = std::get_if<HttpFailure>(&error);
  if (failure != nullptr && failure->progress == HttpProgress::kNothingSent) {
    return OrderWithheld{};
  }
  return OrderNoAnswer{};
}

// Estimates how long a load that is queued now waits.
Duration WaitOf(const WeightStoreStatus& status) {
  if (status.bytes_per_second <= 0) {
    return Duration();
  }
  return Duration::Millis(status.queue_bytes * kMillisPerSecond /
                          status.bytes_per_second);
}

}  // namespace

ActionExecutor::ActionExecutor(boost::asio::io_context& context,
                               Clients clients,
                               Address weights,
                               Clock clock)
    : platform_(context),
      clients_(std::move(clients)),
      weights_(std::move(weights)),
      clock_(std::move(clock)) {}

void ActionExecutor::Execute(const CallStore& action) {
  const NodeModule module = action.module;
  const StoreCallId id = action.id;
  clients_.store->Call(action.call, [this, module, id](StoreReply reply) {
    post_(StoreAnswered{module, id, std::move(reply)});
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
        post_(ProbeAnswered{module, id,
                            IsOk(status) ? ProbeReply(ValueOf(status))
                                         : FailedProbe(ErrorOf(status))});
      });
}

void ActionExecutor::ProbeService(const SendProbe& action) {
  const NodeModule module = action.module;
  const ProbeId id = action.probe.id;
  clients_.engines->ReadLoad(
      action.probe.address, action.probe.timeout,
      [this, module, id](const Result<LoadReport, CallError>& report) {
        post_(ProbeAnswered{module, id,
                            IsOk(report) ? ProbeReply(ServiceAlive{})
                                         : FailedProbe(ErrorOf(report))});
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
          std::visit([&reply](const auto& told) { reply = told; },
                     ValueOf(answer));
        } else {
          reply = FailedOrder(ErrorOf(answer));
        }
        post_(OrderAnswered{id, std::move(reply)});
      });
}

void ActionExecutor::Execute(const ReadVmList&) {
  clients_.vm_list->Read([this](Result<VmListSnapshot, CallError> snapshot) {
    if (IsOk(snapshot)) {
      post_(VmListRead{std::move(ValueOf(snapshot))});
    }
  });
}

void ActionExecutor::Execute(const ReadWeightStore&) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/weights";
  FetchDecoded<WeightStoreStatus>(
      platform_, weights_, request, OptionsWithin(kReadTimeout),
      DecodeWeightStoreStatus,
      [this](const Result<WeightStoreStatus, CallError>& status) {
        if (IsOk(status)) {
          post_(WeightStoreRead{WaitOf(ValueOf(status))});
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
        LoadReport& loaded = ValueOf(report);
        loaded.endpoint = endpoint;
        post_(LoadReportRead{loaded});
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
        post_(CacheEventsRead{id, std::move(ValueOf(batch))});
      });
}

void ActionExecutor::Execute(const DropConnections& action) {
  clients_.endpoints->ForgetConnections(action.address);
  clients_.engines->ForgetConnections(action.address);
}

}  // namespace gcw
