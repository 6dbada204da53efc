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

// Runs a node's core on the one thread that holds control state. Everything
// else, on whatever thread, talks to the core by `Post` and `Run`.
class NodeRuntime {
 public:
  struct Hooks {
    Clock clock;
    // On the control thread, once the planned stop is complete.
    std::function<void()> on_stopped;
  };

  // `control` is run by the runtime's one thread and nobody else. `core` and
  // `log` are used on that thread only, from `Start` on. All arguments outlive
  // the runtime.
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
  // Ends the control thread; what was posted and not handled is dropped.
  void Stop();

  // Callable from any thread.
  void Post(NodeEvent event);
  // On the control thread only.
  void Handle(const NodeEvent& event);
  // Runs `task` on the control thread.
  void Run(std::function<void(NodeCore&, EventLog&, Time)> task);
  // A request that has arrived; its exchange carries out what the core decides.
  void Arrive(CallerArrived arrived, std::shared_ptr<CallerExchange> exchange);
  // Commits an operator's change; `done` gets the outcome on the control
  // thread.
  void Change(ConfigChange change,
              std::function<void(const ChangeOutcome&)> done);

 private:
  static constexpr Duration kTickInterval = Duration::Millis(50);

  void ScheduleTick();
  void Execute(NodeAction action);
  // Gives a request's final answer to its exchange and forgets it.
  template <typename Told>
  void Tell(const Told& told);

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
  OperatorCallId last_call_;
};

}  // namespace gcw

#endif  // TRANSPORT_NODE_RUNTIME_H_
