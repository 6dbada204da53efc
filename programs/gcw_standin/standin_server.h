#ifndef PROGRAMS_GCW_STANDIN_STANDIN_SERVER_H_
#define PROGRAMS_GCW_STANDIN_STANDIN_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "programs/gcw_standin/faults.h"
#include "programs/gcw_standin/faulty_responder.h"
#include "transport/transport.h"

namespace gcw {

// The parts that all stand-ins share: the HTTP server, the faults with their
// test interface `GET` and `POST /faults`, timers and the startup line. Runs on
// one thread.
class StandinServer {
 public:
  using Handler = std::function<
      void(Time now, HttpRequest, std::shared_ptr<HttpResponder>)>;
  using RequestPredicate = std::function<bool(const HttpRequest&)>;

  struct Hooks {
    Handler handle;
    // Selects the requests to which the faults `refuse` and `crash_on` apply.
    RequestPredicate is_workload;
    // Selects the requests to which the fault `lose_answer` applies.
    RequestPredicate is_write;
    // Called after the faults have changed.
    std::function<void()> on_faults_changed;
  };

  StandinServer(boost::asio::io_context& context, Faults faults);

  // Returns the current faults. The reference stays valid for the life of the
  // server.
  const Faults& faults() const { return faults_; }
  Time now() const { return clock_(); }
  boost::asio::io_context& context() { return context_; }

  // Listens and prints a JSON line with the address and the port.
  Result<std::uint16_t, ListenError> Listen(const std::string& name,
                                            const std::string& ip,
                                            std::uint16_t port,
                                            Hooks hooks);
  // Closes all connections. The objects that the hooks use may be destroyed
  // afterwards.
  void Close();
  void RunAfter(Duration delay, std::function<void(Time)> action);
  void RunEvery(Duration period, std::function<void(Time)> action);

 private:
  void OnRequest(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  void OnFaultsRequest(const HttpRequest& request, HttpResponder& responder);
  void Dispatch(HttpRequest request, std::shared_ptr<HttpResponder> responder);
  bool ConsumeLostAnswer(const HttpRequest& request);

  boost::asio::io_context& context_;
  Faults faults_;
  Clock clock_;
  Hooks hooks_;
  FaultyResponder::SilencedResponders silenced_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_STANDIN_SERVER_H_
