#include "transport/peer_channel.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "transport/peer_metadata.h"

namespace gcw {

namespace {

// Maximum size of a frame's fields other than its bodies, and of a body's
// encoding beyond its own bytes.
constexpr std::size_t kFrameOverhead = 1024;
constexpr std::size_t kBodyOverhead = 8;

int ToMillis(Duration duration) {
  return static_cast<int>(duration.millis());
}

grpc::ChannelArguments MakeChannelArguments(
    const PeerClientSettings& settings) {
  grpc::ChannelArguments arguments;
  // Without this, a new channel would share the broken connection of the old
  // one.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS,
                   ToMillis(settings.keepalive_interval));
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                   ToMillis(settings.keepalive_timeout));
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  // The minimum time that an attempt to connect may take. An attempt that ended
  // before the frames' timeout would fail the pending frames too, and a node on
  // a busy machine, which is slow to respond, would not be reached. A refused
  // attempt ends at once.
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   ToMillis(settings.call_timeout));
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  arguments.SetMaxSendMessageSize(static_cast<int>(kMaxPeerFrameBytes));
  return arguments;
}

// A refusal is not a loss, because it arrives over a working connection.
bool IsLoss(const grpc::Status& status) {
  return status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ||
         status.error_code() == grpc::StatusCode::UNAVAILABLE;
}

}  // namespace

struct PeerChannel::Call {
  grpc::ClientContext context;
  wire::PeerFrame frame;
  wire::PeerAck ack;
  int connection_number = 0;
  // The stub must outlive its calls.
  std::shared_ptr<wire::Peers::Stub> stub;
};

PeerChannel::PeerChannel(std::shared_ptr<PeerChannelContext> context,
                         NodeId node,
                         Address address)
    : context_(std::move(context)),
      node_(std::move(node)),
      address_(std::move(address)) {
  Connect();
}

void PeerChannel::Enqueue(wire::PeerBody body) {
  const PeerClientSettings& settings = context_->settings;
  const std::size_t size = body.ByteSizeLong() + kBodyOverhead;
  if (size + kFrameOverhead > kMaxPeerFrameBytes) {
    ++context_->stats.dropped_messages;
    return;
  }
  queue_.push_back(std::move(body));
  queued_bytes_ += size;
  while (queue_.size() > settings.max_queued_messages ||
         queued_bytes_ > settings.max_queued_bytes) {
    queued_bytes_ -= queue_.front().ByteSizeLong() + kBodyOverhead;
    queue_.pop_front();
    ++context_->stats.dropped_messages;
  }
}

bool PeerChannel::Flush() {
  while (!queue_.empty() && calls_.size() < context_->settings.max_calls) {
    auto call = std::make_shared<Call>();
    call->frame = TakeFrame();
    Start(std::move(call));
  }
  return !queue_.empty();
}

void PeerChannel::Close() {
  closed_ = true;
  queue_.clear();
  queued_bytes_ = 0;
  for (const std::shared_ptr<Call>& call : calls_) {
    call->context.TryCancel();
  }
  calls_.clear();
}

void PeerChannel::Connect() {
  ++connection_number_;
  consecutive_losses_ = 0;
  stub_ = wire::Peers::NewStub(grpc::CreateCustomChannel(
      address_.value(), grpc::InsecureChannelCredentials(),
      MakeChannelArguments(context_->settings)));
}

wire::PeerFrame PeerChannel::TakeFrame() {
  wire::PeerFrame frame;
  frame.set_sender(context_->settings.self.value());
  frame.set_incarnation(context_->settings.incarnation.value());
  frame.set_receiver(node_.value());
  const HybridTime time = context_->timestamp_source();
  frame.mutable_time()->set_physical(time.physical.millis());
  frame.mutable_time()->set_logical(time.logical);
  std::size_t bytes = kFrameOverhead;
  while (!queue_.empty()) {
    const std::size_t size = queue_.front().ByteSizeLong() + kBodyOverhead;
    if (bytes + size > kMaxPeerFrameBytes) {
      break;
    }
    bytes += size;
    queued_bytes_ -= size;
    *frame.add_bodies() = std::move(queue_.front());
    queue_.pop_front();
  }
  return frame;
}

void PeerChannel::Start(std::shared_ptr<Call> call) {
  ++context_->stats.frames;
  context_->stats.bytes +=
      static_cast<std::int64_t>(call->frame.ByteSizeLong());
  call->connection_number = connection_number_;
  call->stub = stub_;
  call->context.AddMetadata(kPeerSecretMetadata,
                            context_->settings.secret.Reveal());
  call->context.set_deadline(
      std::chrono::system_clock::now() +
      std::chrono::milliseconds(context_->settings.call_timeout.millis()));
  calls_.insert(call);
  {
    const std::lock_guard lock(context_->mutex);
    ++context_->open_calls;
  }
  wire::Peers::Stub* const stub = call->stub.get();
  Call* const call_ptr = call.get();
  stub->async()->Deliver(&call_ptr->context, &call_ptr->frame, &call_ptr->ack,
                         [weak = weak_from_this(), call = std::move(call),
                          context = context_](grpc::Status status) mutable {
                           boost::asio::post(
                               context->control, [weak, call = std::move(call),
                                                  status = std::move(status)] {
                                 if (const auto self = weak.lock()) {
                                   self->OnEnded(call, status);
                                 }
                               });
                           const std::lock_guard lock(context->mutex);
                           --context->open_calls;
                           context->all_ended.notify_all();
                         });
}

void PeerChannel::OnEnded(const std::shared_ptr<Call>& call,
                          const grpc::Status& status) {
  calls_.erase(call);
  if (closed_) {
    return;
  }
  if (!status.ok()) {
    ++context_->stats.lost_frames;
  }
  if (call->connection_number != connection_number_) {
    return;
  }
  consecutive_losses_ = IsLoss(status) ? consecutive_losses_ + 1 : 0;
  if (consecutive_losses_ >= context_->settings.max_consecutive_losses) {
    ++context_->stats.replaced_connections;
    Connect();
  }
}

}  // namespace gcw
