#include "transport/peer_server.h"

#include <atomic>
#include <chrono>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <boost/asio/post.hpp>

#include "transport/peer_metadata.h"
#include "transport/peers.grpc.pb.h"

namespace gcw {

namespace {

// Nodes often ping idle connections, which gRPC treats as abuse by default.
constexpr int kMinPingIntervalMs = 500;
constexpr std::chrono::milliseconds kShutdownTimeout(500);
// Limit of all frames that are being received together. It also bounds frames
// from senders that do not know the secret.
constexpr std::size_t kMaxBufferedBytes = 64UL * 1024 * 1024;

}  // namespace

class PeerServer::Service final : public wire::Peers::CallbackService {
 public:
  Service(boost::asio::io_context& control,
          PeerServerSettings settings,
          Handler handler)
      : control_(control),
        settings_(std::move(settings)),
        shared_state_(std::make_shared<SharedState>(std::move(handler))) {}

  grpc::ServerUnaryReactor* Deliver(grpc::CallbackServerContext* context,
                                    const wire::PeerFrame* frame,
                                    wire::PeerAck*) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    reactor->Finish(ProcessFrame(*context, *frame));
    return reactor;
  }

  PeerServerStats stats() const {
    return {frames_,    bytes_,    unauthenticated_, wrong_receiver_,
            malformed_, overload_, unknown_messages_};
  }

  void Close() { shared_state_->closed = true; }

 private:
  // Shared with the tasks posted to the control thread, which may outlive the
  // service.
  struct SharedState {
    explicit SharedState(Handler handler) : handler(std::move(handler)) {}
    const Handler handler;
    std::atomic<std::int64_t> waiting_frames = 0;
    std::atomic<bool> closed = false;
  };

  grpc::Status ProcessFrame(const grpc::CallbackServerContext& context,
                            const wire::PeerFrame& frame) {
    if (!IsAuthenticated(context)) {
      ++unauthenticated_;
      return {grpc::StatusCode::UNAUTHENTICATED, "wrong or no peer secret"};
    }
    // The address may have belonged to another node before, whose frames must
    // not be handled here.
    if (frame.receiver() != settings_.self.value()) {
      ++wrong_receiver_;
      return {grpc::StatusCode::FAILED_PRECONDITION,
              "the frame is for another node"};
    }
    auto envelope = DecodePeerFrame(frame);
    if (!IsOk(envelope)) {
      ++malformed_;
      const PeerCodecError& error = ErrorOf(envelope);
      return {grpc::StatusCode::INVALID_ARGUMENT,
              std::string(PeerCodecErrorKindName(error.kind)) + " " +
                  std::string(error.field)};
    }
    if (shared_state_->waiting_frames >= settings_.max_waiting_frames) {
      ++overload_;
      return {grpc::StatusCode::RESOURCE_EXHAUSTED, "too many frames wait"};
    }
    ++frames_;
    bytes_ += static_cast<std::int64_t>(frame.ByteSizeLong());
    unknown_messages_ +=
        static_cast<std::int64_t>(ValueOf(envelope).unknown_messages);
    Post(std::move(ValueOf(envelope)));
    return grpc::Status::OK;
  }

  bool IsAuthenticated(const grpc::CallbackServerContext& context) const {
    const auto& metadata = context.client_metadata();
    const auto found = metadata.find(kPeerSecretMetadata);
    return found != metadata.end() &&
           settings_.secret.Matches(
               {found->second.data(), found->second.size()});
  }

  void Post(PeerEnvelope envelope) {
    ++shared_state_->waiting_frames;
    boost::asio::post(control_, [shared_state = shared_state_,
                                 envelope = std::move(envelope)]() mutable {
      --shared_state->waiting_frames;
      if (!shared_state->closed) {
        shared_state->handler(std::move(envelope));
      }
    });
  }

  boost::asio::io_context& control_;
  const PeerServerSettings settings_;
  const std::shared_ptr<SharedState> shared_state_;
  std::atomic<std::int64_t> frames_ = 0;
  std::atomic<std::int64_t> bytes_ = 0;
  std::atomic<std::int64_t> unauthenticated_ = 0;
  std::atomic<std::int64_t> wrong_receiver_ = 0;
  std::atomic<std::int64_t> malformed_ = 0;
  std::atomic<std::int64_t> overload_ = 0;
  std::atomic<std::int64_t> unknown_messages_ = 0;
};

struct PeerServer::State {
  State(boost::asio::io_context& control,
        PeerServerSettings settings,
        Handler handler)
      : service(control, std::move(settings), std::move(handler)) {}

  Service service;
  std::unique_ptr<grpc::Server> server;
  int port = 0;
};

Result<std::unique_ptr<PeerServer>, PeerListenError> PeerServer::Listen(
    boost::asio::io_context& control,
    PeerServerSettings settings,
    Handler handler) {
  const std::string address = settings.ip + ":" + std::to_string(settings.port);
  auto state =
      std::make_unique<State>(control, std::move(settings), std::move(handler));
  grpc::ServerBuilder builder;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(),
                           &state->port);
  builder.RegisterService(&state->service);
  builder.SetMaxReceiveMessageSize(static_cast<int>(kMaxPeerFrameBytes));
  builder.SetResourceQuota(
      grpc::ResourceQuota("peers").Resize(kMaxBufferedBytes));
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      kMinPingIntervalMs);
  state->server = builder.BuildAndStart();
  if (state->server == nullptr || state->port == 0) {
    return PeerListenError::kCannotListen;
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(state)));
}

PeerServer::PeerServer(std::unique_ptr<State> state)
    : state_(std::move(state)) {}

PeerServer::~PeerServer() {
  state_->service.Close();
  state_->server->Shutdown(std::chrono::system_clock::now() + kShutdownTimeout);
  state_->server->Wait();
}

std::uint16_t PeerServer::port() const {
  return static_cast<std::uint16_t>(state_->port);
}

PeerServerStats PeerServer::stats() const {
  return state_->service.stats();
}

}  // namespace gcw
