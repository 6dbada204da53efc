#include "transport/node_runtime.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/post.hpp>

namespace gcw {
namespace {

// Returns the request that an event may end.
std::optional<RequestId> PossiblyEndedRequest(const NodeEvent& event) {
  if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    return ended->request;
  }
  if (const auto* gone = std::get_if<CallerDisconnected>(&event)) {
    return gone->request;
  }
  return std::nullopt;
}

}  // namespace

NodeRuntime::NodeRuntime(boost::asio::io_context& control,
                         NodeCore& core,
                         EventLog& log,
                         ActionExecutor& executor,
                         NodeMetrics& metrics,
                         Hooks hooks)
    : control_(control),
      core_(core),
      log_(log),
      executor_(executor),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      timer_(control_) {}

NodeRuntime::~NodeRuntime() {
  Stop();
}

void NodeRuntime::Start() {
  executor_.SetEventSink([this](NodeEvent event) { Post(std::move(event)); });
  ScheduleTick();
  thread_ = std::thread([this] { control_.run(); });
}

void NodeRuntime::Stop() {
  control_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void NodeRuntime::Post(NodeEvent event) {
  boost::asio::post(control_,
                    [this, event = std::move(event)] { Handle(event); });
}

void NodeRuntime::RunOnControlThread(
    std::function<void(NodeCore&, EventLog&, Time)> task) {
  boost::asio::post(control_, [this, task = std::move(task)] {
    task(core_, log_, hooks_.clock());
  });
}

void NodeRuntime::StartRequest(CallerArrived arrived,
                               std::shared_ptr<CallerExchange> exchange) {
  boost::asio::post(control_, [this, arrived = std::move(arrived),
                               exchange = std::move(exchange)] {
    exchanges_.emplace(arrived.profile.id, exchange);
    Handle(arrived);
  });
}

void NodeRuntime::CommitChange(ConfigChange change,
                               std::function<void(const ChangeOutcome&)> done) {
  boost::asio::post(control_,
                    [this, change = std::move(change), done = std::move(done)] {
                      const OperatorCallId call = ++last_operator_call_;
                      operator_calls_.emplace(call, done);
                      Handle(OperatorChange{call, change});
                    });
}

void NodeRuntime::ScheduleTick() {
  timer_.expires_after(std::chrono::milliseconds(kTickInterval.millis()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    Handle(TimePassed{});
    ScheduleTick();
  });
}

void NodeRuntime::Handle(const NodeEvent& event) {
  metrics_.OnEvent(event);
  for (NodeAction& action : core_.Handle(hooks_.clock(), event)) {
    Execute(std::move(action));
  }
  const std::optional<RequestId> request = PossiblyEndedRequest(event);
  if (request && !core_.HasRequest(*request)) {
    exchanges_.erase(*request);
    metrics_.ForgetRequest(*request);
  }
}

template <typename FinalResponseType>
void NodeRuntime::SendFinalResponse(const FinalResponseType& response) {
  const auto exchange = exchanges_.find(response.request);
  if (exchange == exchanges_.end()) {
    return;
  }
  exchange->second->SendFinalResponse(response);
  exchanges_.erase(exchange);
}

void NodeRuntime::Execute(NodeAction action) {
  metrics_.OnAction(action);
  std::visit(
      Overloaded{
          [this](DispatchAttempt& dispatch) {
            const auto exchange = exchanges_.find(dispatch.request);
            if (exchange != exchanges_.end()) {
              exchange->second->Dispatch(std::move(dispatch));
            }
          },
          [this](CancelAttempt& cancel) {
            const auto exchange = exchanges_.find(cancel.request);
            if (exchange != exchanges_.end()) {
              exchange->second->Cancel(cancel.attempt);
            }
          },
          [this](RespondRefused& response) { SendFinalResponse(response); },
          [this](RespondOutcomeUnknown& response) {
            SendFinalResponse(response);
          },
          [this](RespondStreamBroken& response) {
            SendFinalResponse(response);
          },
          [this](RespondPreempted& response) { SendFinalResponse(response); },
          [this](RespondReplay& response) { SendFinalResponse(response); },
          [this](RespondDuplicate& response) { SendFinalResponse(response); },
          [this](AnswerOperator& answer) {
            const auto call = operator_calls_.find(answer.call);
            if (call != operator_calls_.end()) {
              call->second(answer.outcome);
              operator_calls_.erase(call);
            }
          },
          [this](StopNow&) { hooks_.on_stopped(); },
          [this](auto& external_action) {
            executor_.Execute(std::move(external_action));
          }},
      action);
}

}  // namespace gcw
