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
  // Messages to one node within this time are sent in one frame.
  Duration batch_delay = Duration::Millis(20);
  // A frame that is not acknowledged within this time counts as lost.
  Duration call_timeout = Duration::Seconds(1);
  // Limits of the queue for one node. Beyond them the oldest messages are
  // dropped, because newer messages replace what they say.
  std::size_t max_queued_messages = 4096;
  std::size_t max_queued_bytes = 4UL * 1024 * 1024;
  // Maximum number of unacknowledged frames to one node.
  std::size_t max_calls = 4;
  // A connection is replaced after this many lost frames in a row.
  int max_consecutive_losses = 3;
  // A connection without any response for the sum of these is closed.
  Duration keepalive_interval = Duration::Seconds(2);
  Duration keepalive_timeout = Duration::Seconds(2);
};

struct PeerClientStats {
  std::int64_t frames = 0;
  std::int64_t bytes = 0;
  // Messages that were not sent: too many were queued, the message was too
  // large, or the node's address is not known.
  std::int64_t dropped_messages = 0;
  std::int64_t lost_frames = 0;
  std::int64_t replaced_connections = 0;
};

// Sends messages to other nodes without a delivery guarantee. All methods and
// hooks run on the control thread, which is the only thread that runs
// `control`.
class PeerClient {
 public:
  // Returns the timestamp of an outgoing frame.
  using TimestampSource = std::function<HybridTime()>;

  PeerClient(boost::asio::io_context& control,
             PeerClientSettings settings,
             TimestampSource timestamp_source);
  // Cancels the calls in progress and waits for them to end.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sets the node's address. If it changes, messages queued for the old address
  // are dropped.
  void SetAddress(const NodeId& node, const Address& address);
  // Removes the node and drops the messages queued for it.
  void RemoveNode(const NodeId& node);
  void Send(const NodeId& to, const PeerMessage& message);
  const PeerClientStats& stats() const;

 private:
  void ArmFlush();
  void Flush();

  const std::shared_ptr<PeerChannelContext> context_;
  boost::asio::steady_timer flush_timer_;
  bool flush_armed_ = false;
  // Tells a timer handler that is already queued whether the client still
  // exists.
  std::shared_ptr<int> alive_token_ = std::make_shared<int>();
  std::map<NodeId, std::shared_ptr<PeerChannel>> channels_;
};

}  // namespace gcw

#endif  // TRANSPORT_PEER_CLIENT_H_
