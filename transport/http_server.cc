#include "transport/http_server.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "transport/http_server_session.h"
#include "transport/http_server_state.h"

namespace gcw {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// If no file descriptor is free, accepting fails until one is closed.
constexpr Duration kAcceptRetryDelay = Duration::Millis(50);

ListenErrorKind ToListenErrorKind(const error_code& error) {
  return error == boost::asio::error::address_in_use
             ? ListenErrorKind::kAddressInUse
             : ListenErrorKind::kRefused;
}

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(boost::asio::io_context& context,
        HttpServerLimits limits,
        HttpHandler handler)
      : context(context),
        strand(boost::asio::make_strand(context)),
        acceptor(strand),
        retry_timer(strand),
        connections(std::make_shared<HttpServerState>(std::move(limits),
                                                      std::move(handler))) {}

  error_code Open(const tcp::endpoint& endpoint) {
    error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
      acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor.bind(endpoint, error);
    }
    if (!error) {
      acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
      port = acceptor.local_endpoint(error).port();
    }
    return error;
  }

  void Accept() {
    if (!acceptor.is_open()) {
      return;
    }
    acceptor.async_accept(boost::asio::make_strand(context),
                          [self = shared_from_this()](const error_code& error,
                                                      StrandSocket socket) {
                            self->OnAccepted(error, std::move(socket));
                          });
  }

  void OnAccepted(const error_code& error, StrandSocket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (error) {
      RetryLater();
      return;
    }
    std::make_shared<HttpServerSession>(std::move(socket), connections)
        ->Start();
    Accept();
  }

  void RetryLater() {
    retry_timer.expires_after(ToChrono(kAcceptRetryDelay));
    retry_timer.async_wait(
        [self = shared_from_this()](const error_code&) { self->Accept(); });
  }

  void StopAccepting() {
    boost::asio::post(strand, [self = shared_from_this()] {
      error_code error;
      self->acceptor.close(error);
      self->retry_timer.cancel();
    });
  }

  boost::asio::io_context& context;
  const Strand strand;
  boost::asio::basic_socket_acceptor<tcp, Strand> acceptor;
  boost::asio::basic_waitable_timer<
      std::chrono::steady_clock,
      boost::asio::wait_traits<std::chrono::steady_clock>,
      Strand>
      retry_timer;
  const std::shared_ptr<HttpServerState> connections;
  std::uint16_t port = 0;
};

Result<std::unique_ptr<HttpServer>, ListenError> HttpServer::Listen(
    boost::asio::io_context& context,
    const std::string& ip,
    std::uint16_t port,
    HttpServerLimits limits,
    HttpHandler handler) {
  error_code error;
  const auto address = boost::asio::ip::make_address(ip, error);
  if (error) {
    return ListenError{ListenErrorKind::kAddressMalformed};
  }
  auto state =
      std::make_shared<State>(context, std::move(limits), std::move(handler));
  error = state->Open(tcp::endpoint(address, port));
  if (error) {
    return ListenError{ToListenErrorKind(error)};
  }
  boost::asio::post(state->strand, [state] { state->Accept(); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

HttpServer::~HttpServer() {
  state_->connections->set_stopping();
  state_->connections->set_closed();
  state_->StopAccepting();
  for (const auto& session : state_->connections->Sessions()) {
    session->Close();
  }
}

std::uint16_t HttpServer::port() const {
  return state_->port;
}

void HttpServer::SetRequestLimits(const HttpRequestLimits& limits) {
  state_->connections->SetRequestLimits(limits);
}

void HttpServer::AnnounceStop() {
  state_->connections->set_stopping();
}

void HttpServer::StopAccepting() {
  state_->connections->set_stopping();
  state_->StopAccepting();
  for (const auto& session : state_->connections->Sessions()) {
    session->Drain();
  }
}

bool HttpServer::has_busy_connections() const {
  const auto sessions = state_->connections->Sessions();
  return std::any_of(sessions.begin(), sessions.end(),
                     [](const auto& session) { return session->is_busy(); });
}

std::size_t HttpServer::buffered_bytes() const {
  return state_->connections->buffered_bytes();
}

std::int64_t HttpServer::out_of_memory() const {
  return state_->connections->out_of_memory();
}

std::int64_t HttpServer::evicted_requests() const {
  return state_->connections->evicted_requests();
}

std::int64_t HttpServer::evicted_connections() const {
  return state_->connections->evicted_connections();
}

std::int64_t HttpServer::refused_connections() const {
  return state_->connections->refused_connections();
}

std::size_t HttpServer::open_connections() const {
  return state_->connections->open_connections();
}

}  // namespace gcw
