#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>
#include <boost/asio/post.hpp>

#include "tests/transport/io_threads.h"
#include "tests/transport/raw_peer.h"
#include "transport/peer_client.h"
#include "transport/peer_metadata.h"
#include "transport/peer_server.h"
#include "transport/peers.grpc.pb.h"

namespace gcw {
namespace {

const NodeId kReceiver("receiver");

PeerMessage PingNumber(std::int64_t number) {
  return MembershipMessage(Ping{ProbeId(number), {}, {}});
}

std::int64_t NumberOf(const PeerMessage& message) {
  return std::get<Ping>(std::get<MembershipMessage>(message)).probe.value();
}

// Client and server share one control thread, as in a node.
class PeerTest : public ::testing::Test {
 protected:
  PeerTest() {
    settings_.self = NodeId("sender");
    settings_.incarnation = Incarnation(3);
    settings_.secret = Secret("s3cret");
    // The client does not send a frame again that is not acknowledged in time,
    // so a message that was sent once would never arrive. A sanitized build on
    // a busy machine can need longer for its first connection than the default
    // timeout, so tests that send a message once must not depend on that
    // timeout.
    settings_.call_timeout = Duration::Seconds(600);
  }
  ~PeerTest() override {
    OnControl([this] {
      client_.reset();
      server_.reset();
    });
  }

  void OnControl(const std::function<void()>& task) {
    std::promise<void> done;
    boost::asio::post(control_.context(), [&] {
      task();
      done.set_value();
    });
    done.get_future().get();
  }
  void Listen(std::uint16_t port = 0) {
    auto result = PeerServer::Listen(
        control_.context(), {kReceiver, "127.0.0.1", port, Secret("s3cret")},
        [this](PeerEnvelope envelope) { OnEnvelope(std::move(envelope)); });
    ASSERT_TRUE(IsOk(result));
    server_ = std::move(ValueOf(result));
  }
  void OnEnvelope(PeerEnvelope envelope) {
    const std::lock_guard lock(mutex_);
    envelopes_.push_back(std::move(envelope));
    changed_.notify_all();
  }
  // Waits until a ping with the given number has arrived.
  void AwaitPing(std::int64_t number) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] {
      return std::ranges::any_of(envelopes_, [&](const auto& envelope) {
        return std::ranges::any_of(envelope.messages, [&](const auto& message) {
          return NumberOf(message) == number;
        });
      });
    });
  }
  void Connect(std::uint16_t port) {
    OnControl([&] {
      client_ = std::make_unique<PeerClient>(control_.context(), settings_, [] {
        return HybridTime{Time::FromMillis(7), 8};
      });
      client_->SetAddress(kReceiver,
                          Address("127.0.0.1:" + std::to_string(port)));
    });
  }
  void Send(std::int64_t from, std::int64_t to) {
    OnControl([&] {
      for (std::int64_t number = from; number <= to; ++number) {
        client_->Send(kReceiver, PingNumber(number));
      }
    });
  }
  PeerClientStats ClientStats() {
    PeerClientStats stats;
    OnControl([&] { stats = client_->stats(); });
    return stats;
  }
  // Sends pings until the counters of the client satisfy `reached`.
  void SendUntil(const std::function<bool(const PeerClientStats&)>& reached) {
    while (!reached(ClientStats())) {
      Send(0, 0);
      std::this_thread::yield();
    }
  }
  // Sends a frame without the client and returns the server's status.
  grpc::Status Deliver(const wire::PeerFrame& frame,
                       const std::string& secret = "s3cret") {
    const auto stub = wire::Peers::NewStub(
        grpc::CreateChannel("127.0.0.1:" + std::to_string(server_->port()),
                            grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.AddMetadata(kPeerSecretMetadata, secret);
    wire::PeerAck ack;
    return stub->Deliver(&context, frame, &ack);
  }
  static wire::PeerFrame Frame() {
    return EncodePeerFrame(
        {NodeId("sender"), Incarnation(3), kReceiver, {}, {PingNumber(1)}});
  }

  PeerClientSettings settings_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<PeerEnvelope> envelopes_;
  IoThreads control_{1};
  std::unique_ptr<PeerServer> server_;
  std::unique_ptr<PeerClient> client_;
};

TEST_F(PeerTest, MessagesArriveInBatchesAndInOrder) {
  Listen();
  Connect(server_->port());
  Send(1, 100);
  AwaitPing(100);
  const std::lock_guard lock(mutex_);
  ASSERT_EQ(envelopes_.size(), 1U);
  EXPECT_EQ(envelopes_[0].sender, settings_.self);
  EXPECT_EQ(envelopes_[0].incarnation, Incarnation(3));
  EXPECT_EQ(envelopes_[0].time, (HybridTime{Time::FromMillis(7), 8}));
  for (std::int64_t i = 0; i < 100; ++i) {
    EXPECT_EQ(NumberOf(envelopes_[0].messages[i]), i + 1);
  }
  EXPECT_EQ(server_->stats().frames, 1);
  EXPECT_GT(server_->stats().bytes, 0);
}

TEST_F(PeerTest, DropsOldestMessagesIfQueueIsFull) {
  Listen();
  settings_.max_queued_messages = 10;
  Connect(server_->port());
  Send(1, 100);
  AwaitPing(100);
  EXPECT_EQ(ClientStats().dropped_messages, 90);
  const std::lock_guard lock(mutex_);
  EXPECT_EQ(NumberOf(envelopes_[0].messages[0]), 91);
}

TEST_F(PeerTest, MessagesTooLargeOrForUnknownNodesAreDropped) {
  Listen();
  Connect(server_->port());
  OnControl([&] {
    OnceFinish finish{OnceClaimId("c"), IdempotencyKey("k"),
                      OnceAnswered{{200, {}, {}}}};
    std::get<OnceAnswered>(finish.outcome)
        .answer.body.assign(kMaxPeerFrameBytes, 'x');
    client_->Send(kReceiver, OnceMessage(finish));
    client_->Send(NodeId("nobody"), PingNumber(1));
  });
  EXPECT_EQ(ClientStats().dropped_messages, 2);
}

TEST_F(PeerTest, RefusesFramesWithoutTheSecret) {
  Listen();
  EXPECT_EQ(Deliver(Frame(), "guess").error_code(),
            grpc::StatusCode::UNAUTHENTICATED);
  EXPECT_EQ(server_->stats().refused_unauthenticated, 1);
  EXPECT_TRUE(Deliver(Frame()).ok());
  AwaitPing(1);
}

// Guards against a node that acts on messages for another node. This happens
// when the address of a VM is reassigned while a peer still has the old view.
TEST_F(PeerTest, RefusesFramesForAnotherNode) {
  Listen();
  wire::PeerFrame frame = Frame();
  frame.set_receiver("another");
  EXPECT_EQ(Deliver(frame).error_code(), grpc::StatusCode::FAILED_PRECONDITION);
  EXPECT_EQ(server_->stats().refused_wrong_receiver, 1);
}

TEST_F(PeerTest, RefusesMalformedAndOversizedFrames) {
  Listen();
  wire::PeerFrame malformed = Frame();
  malformed.set_incarnation(-1);
  const grpc::Status status = Deliver(malformed);
  EXPECT_EQ(status.error_code(), grpc::StatusCode::INVALID_ARGUMENT);
  EXPECT_EQ(status.error_message(), "out_of_range incarnation");
  wire::PeerFrame oversized = Frame();
  oversized.mutable_bodies(0)->mutable_ping_ack()->set_target(
      std::string(kMaxPeerFrameBytes + 1, 'x'));
  EXPECT_EQ(Deliver(oversized).error_code(),
            grpc::StatusCode::RESOURCE_EXHAUSTED);
  EXPECT_TRUE(Deliver(Frame()).ok());
}

TEST_F(PeerTest, SkipsUnknownMessageBodies) {
  Listen();
  wire::PeerFrame frame = Frame();
  frame.add_bodies();
  EXPECT_TRUE(Deliver(frame).ok());
  EXPECT_EQ(server_->stats().unknown_messages, 1);
  AwaitPing(1);
}

TEST_F(PeerTest, ReconnectsToARestartedNode) {
  Listen();
  const std::uint16_t port = server_->port();
  Connect(port);
  Send(1, 1);
  AwaitPing(1);
  OnControl([&] { server_.reset(); });
  SendUntil([](const PeerClientStats& stats) { return stats.lost_frames > 3; });
  Listen(port);
  const std::int64_t frames = server_->stats().frames;
  SendUntil(
      [&](const PeerClientStats&) { return server_->stats().frames > frames; });
}

// Guards against declaring a live peer dead. An open connection can stall for
// ever while new connections work, so the client has to replace it.
TEST_F(PeerTest, ReplacesASilentConnection) {
  ScriptedServer silent([](RawPeer& peer, int) { peer.ReadToEnd(); });
  settings_.call_timeout = Duration::Millis(50);
  Connect(silent.port());
  SendUntil([&](const PeerClientStats& stats) {
    return stats.replaced_connections >= 1 && silent.connections() >= 2;
  });
  OnControl([&] { client_.reset(); });
}

// A frame that is not acknowledged within the call timeout counts as lost and
// is not sent again, because newer messages replace its content. A caller that
// waits for one particular message would wait for ever.
TEST_F(PeerTest, AFrameThatIsNotAcknowledgedInTimeIsLost) {
  ScriptedServer silent([](RawPeer& peer, int) { peer.ReadToEnd(); });
  settings_.call_timeout = Duration::Millis(20);
  Connect(silent.port());
  Send(1, 1);
  PeerClientStats stats;
  do {
    std::this_thread::yield();
    stats = ClientStats();
  } while (stats.lost_frames == 0);
  EXPECT_EQ(stats.lost_frames, 1);
  EXPECT_EQ(stats.frames, 1);
  EXPECT_EQ(stats.dropped_messages, 0);
  OnControl([&] { client_.reset(); });
}

// Guards against losing messages to a live node on a busy machine. The node
// takes 300 ms to answer the opening of the connection; a fixed connect timeout
// of 100 ms ended the attempt, and with it every frame in flight, although the
// call timeout of the frames was longer.
TEST_F(PeerTest, ConnectingMayTakeAsLongAsTheCallTimeout) {
  // An empty HTTP/2 SETTINGS frame: length, type, flags and stream.
  constexpr std::string_view kSettings("\0\0\0\4\0\0\0\0\0", 9);
  std::promise<bool> frame_arrived;
  ScriptedServer slow([&](RawPeer& peer, int connection) {
    peer.ReadUntil("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    if (connection > 0) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    peer.Send(kSettings);
    frame_arrived.set_value(peer.ReadUntil("Deliver").ends_with("Deliver"));
  });
  Connect(slow.port());
  Send(1, 1);
  EXPECT_TRUE(frame_arrived.get_future().get());
  OnControl([&] { client_.reset(); });
}

TEST_F(PeerTest, ReportsThatItCannotListen) {
  Listen();
  const auto result = PeerServer::Listen(
      control_.context(),
      {kReceiver, "127.0.0.1", server_->port(), Secret("x")}, {});
  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result), PeerListenError::kCannotListen);
}

}  // namespace
}  // namespace gcw
