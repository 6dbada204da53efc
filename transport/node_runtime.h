#ifndef TRANSPORT_NODE_RUNTIME_H_
#define TRANSPORT_NODE_RUNTIME_H_

#include <functional>
#include <memory>
#include <thread>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordination/coordination.h"
#include "transport/action_executor.h"
#include "transport/caller_exchange.h"
#include "transport/node_metrics.h"

namespace gcw {

// Runs a node's core on the only thread that holds control state. All other
// code, on any thread, reaches the core through `Post`, `RunOnControlThread`,
// `StartRequest` and `CommitChange`.
class NodeRuntime {
 public:
  struct Hooks {
    Clock clock;
    // Called on the control thread once the planned stop is complete.
    std::function<void()> on_stopped;
  };

  // Only the runtime's own thread runs `control`. `core` and `log` are used
  // only on that thread once `Start` is called. All arguments must outlive the
  // runtime.
  NodeRuntime(boost::asio::io_context& control,
              NodeCore& core,
              EventLog& log,
              ActionExecutor& executor,
              NodeMetrics& metrics,
              Hooks hooks);
  ~NodeRuntime();
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;

  void Start();
  // Ends the control thread. Posted events that have not been handled are
  // dropped.
  void Stop();

  // Callable from any thread, as are `RunOnControlThread`, `StartRequest` and
  // `CommitChange`.
  void Post(NodeEvent event);
  // Called on the control thread only.
  void Handle(const NodeEvent& event);
  // Runs `task` on the control thread.
  void RunOnControlThread(std::function<void(NodeCore&, EventLog&, Time)> task);
  // Passes a new request to the core. `exchange` carries out what the core
  // decides.
  void StartRequest(CallerArrived arrived,
                    std::shared_ptr<CallerExchange> exchange);
  // Commits an operator's change of the configuration. `done` gets the outcome
  // on the control thread.
  void CommitChange(ConfigChange change,
                    std::function<void(const ChangeOutcome&)> done);

 private:
  static constexpr Duration kTickInterval = Duration::Millis(50);

  void ScheduleTick();
  void Execute(NodeAction action);
  // Passes a request's final response to its exchange and releases the
  // exchange.
  template <typename FinalResponseType>
  void SendFinalResponse(const FinalResponseType& response);

  boost::asio::io_context& control_;
  NodeCore& core_;
  EventLog& log_;
  ActionExecutor& executor_;
  NodeMetrics& metrics_;
  Hooks hooks_;
  boost::asio::steady_timer timer_;
  std::thread thread_;
  std::unordered_map<RequestId, std::shared_ptr<CallerExchange>> exchanges_;
  std::unordered_map<OperatorCallId, std::function<void(const ChangeOutcome&)>>
      operator_calls_;
  OperatorCallId last_operator_call_;
};

}  // namespace gcw

#endif  // TRANSPORT_NODE_RUNTIME_H_
