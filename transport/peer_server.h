#ifndef TRANSPORT_PEER_SERVER_H_
#define TRANSPORT_PEER_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "protocol/protocol.h"
#include "transport/secret.h"

namespace gcw {

struct PeerServerSettings {
  NodeId self;
  std::string ip;
  // Zero lets the kernel choose a port.
  std::uint16_t port = 0;
  // Shared by all nodes. Frames without it are refused.
  Secret secret;
  // Maximum number of frames that wait for the control thread. Further frames
  // are refused, as if lost, so that memory stays bounded while that thread is
  // blocked.
  std::int64_t max_waiting_frames = 4096;
};

struct PeerServerStats {
  std::int64_t frames = 0;
  std::int64_t bytes = 0;
  std::int64_t refused_unauthenticated = 0;
  std::int64_t refused_wrong_receiver = 0;
  std::int64_t refused_malformed = 0;
  std::int64_t refused_overload = 0;
  std::int64_t unknown_messages = 0;
};

enum class PeerListenError { kCannotListen };

// Receives frames from other nodes.
class PeerServer {
 public:
  // Runs on the node's control thread, which is the only thread that runs
  // `control`.
  using Handler = std::function<void(PeerEnvelope)>;

  // `control` must outlive the server. The handler is no longer called once the
  // server is destroyed on the control thread.
  static Result<std::unique_ptr<PeerServer>, PeerListenError> Listen(
      boost::asio::io_context& control,
      PeerServerSettings settings,
      Handler handler);

  // Waits for the frames that are being received.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  std::uint16_t port() const;
  // Safe from any thread.
  PeerServerStats stats() const;

 private:
  class Service;
  struct State;
  explicit PeerServer(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace gcw

#endif  // TRANSPORT_PEER_SERVER_H_
