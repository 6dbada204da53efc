#ifndef TRANSPORT_PEER_CHANNEL_H_
#define TRANSPORT_PEER_CHANNEL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <boost/asio/io_context.hpp>

#include "transport/peer_client.h"
#include "transport/peers.grpc.pb.h"

namespace gcw {

// State shared by the channels of one client.
struct PeerChannelContext {
  PeerChannelContext(boost::asio::io_context& control,
                     PeerClientSettings settings,
                     PeerClient::TimestampSource timestamp_source)
      : control(control),
        settings(std::move(settings)),
        timestamp_source(std::move(timestamp_source)) {}

  boost::asio::io_context& control;
  const PeerClientSettings settings;
  const PeerClient::TimestampSource timestamp_source;
  PeerClientStats stats;

  // Number of calls whose end gRPC has not reported yet. The client's
  // destructor waits for them, because their ends are posted to `control`,
  // which may be destroyed next.
  std::mutex mutex;
  std::condition_variable all_ended;
  int open_calls = 0;
};

// The connection to one node and the queue of messages for it. Used on the
// control thread; only the end of a call is reported on a thread of gRPC.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
 public:
  PeerChannel(std::shared_ptr<PeerChannelContext> context,
              NodeId node,
              Address address);

  const Address& address() const { return address_; }
  void Enqueue(wire::PeerBody body);
  // Sends frames while messages are queued and a call is free. Returns whether
  // messages remain.
  bool Flush();
  // Drops the queued messages and cancels the calls in progress.
  void Close();

 private:
  struct Call;

  void Connect();
  wire::PeerFrame TakeFrame();
  void Start(std::shared_ptr<Call> call);
  void OnEnded(const std::shared_ptr<Call>& call, const grpc::Status& status);

  const std::shared_ptr<PeerChannelContext> context_;
  const NodeId node_;
  const Address address_;
  std::shared_ptr<wire::Peers::Stub> stub_;
  std::deque<wire::PeerBody> queue_;
  std::size_t queued_bytes_ = 0;
  std::set<std::shared_ptr<Call>> calls_;
  int consecutive_losses_ = 0;
  // Incremented with each new connection, so that losses on an earlier one do
  // not count.
  int connection_number_ = 0;
  bool closed_ = false;
};

}  // namespace gcw

#endif  // TRANSPORT_PEER_CHANNEL_H_
