#include "transport/peer_client.h"

#include <utility>

#include "transport/net_types.h"
#include "transport/peer_channel.h"

namespace gcw {

PeerClient::PeerClient(boost::asio::io_context& control,
                       PeerClientSettings settings,
                       TimestampSource timestamp_source)
    : context_(
          std::make_shared<PeerChannelContext>(control,
                                               std::move(settings),
                                               std::move(timestamp_source))),
      flush_timer_(control) {}

PeerClient::~PeerClient() {
  for (const auto& [node, channel] : channels_) {
    channel->Close();
  }
  std::unique_lock lock(context_->mutex);
  context_->all_ended.wait(lock, [this] { return context_->open_calls == 0; });
}

void PeerClient::SetAddress(const NodeId& node, const Address& address) {
  std::shared_ptr<PeerChannel>& channel = channels_[node];
  if (channel && channel->address() == address) {
    return;
  }
  if (channel) {
    channel->Close();
  }
  channel = std::make_shared<PeerChannel>(context_, node, address);
}

void PeerClient::RemoveNode(const NodeId& node) {
  const auto found = channels_.find(node);
  if (found == channels_.end()) {
    return;
  }
  found->second->Close();
  channels_.erase(found);
}

void PeerClient::Send(const NodeId& to, const PeerMessage& message) {
  const auto found = channels_.find(to);
  if (found == channels_.end()) {
    ++context_->stats.dropped_messages;
    return;
  }
  found->second->Enqueue(EncodePeerBody(message));
  ArmFlush();
}

const PeerClientStats& PeerClient::stats() const {
  return context_->stats;
}

void PeerClient::ArmFlush() {
  if (std::exchange(flush_armed_, true)) {
    return;
  }
  flush_timer_.expires_after(ToChrono(context_->settings.batch_delay));
  flush_timer_.async_wait([this, token = std::weak_ptr<int>(alive_token_)](
                              const boost::system::error_code&) {
    if (!token.expired()) {
      Flush();
    }
  });
}

void PeerClient::Flush() {
  flush_armed_ = false;
  bool messages_remain = false;
  for (const auto& [node, channel] : channels_) {
    messages_remain = channel->Flush() || messages_remain;
  }
  if (messages_remain) {
    ArmFlush();
  }
}

}  // namespace gcw
