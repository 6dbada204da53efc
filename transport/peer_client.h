#ifndef TRANSPORT_PEER_CLIENT_H_
#define TRANSPORT_PEER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "protocol/protocol.h"
#include "transport/secret.h"

namespace gcw {

class PeerChannel;
struct PeerChannelContext;

struct PeerClientSettings {
  NodeId self;
  Incarnation incarnation;
  Secret secret;
  // Messages to one node within this time go out in one frame.
  Duration batch_delay = Duration::Millis(20);
  // A frame that is not acknowledged in time counts as lost.
  Duration call_timeout = Duration::Seconds(1);
  // Bounds of what waits for one node. Beyond them the oldest messages are
  // dropped, since newer ones replace what they say.
  std::size_t max_waiting_messages = 4096;
  std::size_t max_waiting_bytes = 4UL * 1024 * 1024;
  // Frames under way to one node at a time.
  std::size_t max_calls = 4;
  // A connection on which so many frames in a row were lost is replaced.
  int max_losses = 3;
  // A connection that answers nothing for the sum of these is closed.
  Duration keepalive_interval = Duration::Seconds(2);
  Duration keepalive_timeout = Duration::Seconds(2);
};

struct PeerClientStats {
  std::int64_t frames = 0;
  std::int64_t bytes = 0;
  // Messages that left no frame: too many waited, too large, or the node's
  // address is not known.
  std::int64_t dropped_messages = 0;
  std::int64_t lost_frames = 0;
  std::int64_t replaced_connections = 0;
};

// Sends messages to other nodes, without promise: a message may be lost. All
// methods and hooks run on the control thread, which is the one thread that
// runs `control`.
class PeerClient {
 public:
  // Stamps an outgoing frame.
  using Stamp = std::function<HybridTime()>;

  PeerClient(boost::asio::io_context& control,
             PeerClientSettings settings,
             Stamp stamp);
  // Cancels what is under way.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Where the node is reached from now on.
  void SetAddress(const NodeId& node, const Address& address);
  // Drops the node with what waits for it.
  void Forget(const NodeId& node);
  void Send(const NodeId& to, const PeerMessage& message);
  const PeerClientStats& stats() const;

 private:
  void ArmFlush();
  void Flush();

  const std::shared_ptr<PeerChannelContext> context_;
  boost::asio::steady_timer flush_timer_;
  bool flush_armed_ = false;
  // Tells a timer that had fired already whether the client is still there.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  std::map<NodeId, std::shared_ptr<PeerChannel>> channels_;
};

}  // namespace gcw

#endif  // TRANSPORT_PEER_CLIENT_H_
