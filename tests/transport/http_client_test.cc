#include "transport/http_client.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/transport/io_threads.h"
#include "tests/transport/raw_peer.h"
#include "transport/http_framing.h"
#include "transport/http_server.h"

namespace gcw {
namespace {

using Answer = Result<HttpResponse, HttpFailure>;

constexpr std::string_view kOk =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

Address LoopbackAt(std::uint16_t port) {
  return Address("127.0.0.1:" + std::to_string(port));
}

// Guards against an address or a header of another writer that ends the
// process.
TEST(HttpFramingTest, OverlongHeadersFailTheRequest) {
  const std::string overlong(200000, 'x');
  EXPECT_TRUE(EncodeRequest({"GET", "/", {{"A", "b"}}, {}}, "h"));
  EXPECT_FALSE(EncodeRequest({"GET", "/", {}, {}}, overlong));
  EXPECT_FALSE(EncodeRequest({"GET", "/", {{"A", overlong}}, {}}, "h"));
  EXPECT_EQ(
      EncodeResponse(*FinalStatus::FromNumber(200), {{"A", overlong}}, {}, {})
          .find("xx"),
      std::string::npos);
}

class HttpClientTest : public ::testing::Test {
 protected:
  ~HttpClientTest() override { io_.Stop(); }

  std::unique_ptr<HttpServer> Serve(HttpHandler handler) {
    auto result = HttpServer::Listen(io_.context(), "127.0.0.1", 0, {},
                                     std::move(handler));
    return std::move(ValueOf(result));
  }
  Answer Fetch(std::uint16_t port, HttpRequest request = {"GET", "/", {}, ""}) {
    std::promise<Answer> answer;
    client_.Fetch(LoopbackAt(port), std::move(request), options_,
                  [&](Answer result) { answer.set_value(std::move(result)); });
    return answer.get_future().get();
  }
  // Sends one request to a server that runs the script.
  Answer FetchFrom(const ScriptedServer::Script& script,
                   HttpRequest request = {"GET", "/", {}, ""}) {
    ScriptedServer server(script);
    return Fetch(server.port(), std::move(request));
  }
  // Sends one request to a server that answers its head with `bytes` and
  // closes.
  Answer FetchBytes(std::string bytes) {
    return FetchFrom([&](RawPeer& peer, int) {
      peer.ReadHead();
      peer.Send(bytes);
    });
  }

  static void ExpectFailure(const Answer& answer,
                            HttpFailureKind kind,
                            HttpProgress progress) {
    ASSERT_FALSE(IsOk(answer));
    EXPECT_EQ(HttpFailureKindName(ErrorOf(answer).kind),
              HttpFailureKindName(kind));
    EXPECT_EQ(ErrorOf(answer).progress, progress);
  }

  HttpCallOptions options_;
  IoThreads io_;
  HttpClient client_{io_.context()};
};

TEST_F(HttpClientTest, FetchesCompleteAnswers) {
  const Answer sized = FetchBytes(std::string(kOk));
  ASSERT_TRUE(IsOk(sized));
  EXPECT_EQ(ValueOf(sized).body, "ok");
  const Answer chunked = FetchBytes(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 201 Made\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n"
      "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
  ASSERT_TRUE(IsOk(chunked));
  EXPECT_EQ(ValueOf(chunked).status, 201);
  EXPECT_EQ(ValueOf(chunked).body, "abcde");
  EXPECT_EQ(ValueOf(chunked).Header("x-a"), "b");
}

TEST_F(HttpClientTest, WritesTheRequestWithItsOwnFraming) {
  std::string received;
  FetchFrom(
      [&](RawPeer& peer, int) {
        received = peer.ReadUntil("body");
        peer.Send(kOk);
      },
      {"POST",
       "/p?q=1",
       {{"X-A", "b"}, {"Content-Length", "9"}, {"X-C", "d\r\nX-E: f"}},
       "body"});
  EXPECT_THAT(received, ::testing::StartsWith("POST /p?q=1 HTTP/1.1\r\n"));
  EXPECT_THAT(received, ::testing::HasSubstr("X-A: b\r\n"));
  EXPECT_THAT(received, ::testing::HasSubstr("Content-Length: 4\r\n"));
  EXPECT_THAT(received, ::testing::Not(::testing::HasSubstr("X-E")));
}

TEST_F(HttpClientTest, DoesNotSendInvalidRequests) {
  ExpectFailure(
      FetchFrom([](RawPeer&, int) {}, {"GET", "/ HTTP/1.1\r\nX: y", {}, ""}),
      HttpFailureKind::kCancelled, HttpProgress::kNothingSent);
}

TEST_F(HttpClientTest, SendsNothingIfConnectionIsRefused) {
  std::uint16_t port = 0;
  {
    const ScriptedServer server([](RawPeer&, int) {});
    port = server.port();
  }
  ExpectFailure(Fetch(port), HttpFailureKind::kConnectRefused,
                HttpProgress::kNothingSent);
}

// Guards against a connection attempt without a timeout. The accept queue of
// the peer is full, so the kernel drops the packets that would open the
// connection.
TEST_F(HttpClientTest, SendsNothingIfConnectingTimesOut) {
  boost::asio::io_context context;
  using Tcp = boost::asio::ip::tcp;
  Tcp::acceptor acceptor(context);
  acceptor.open(Tcp::v4());
  acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
  acceptor.listen(0);
  std::vector<std::unique_ptr<Tcp::socket>> queued;
  for (int i = 0; i < 4; ++i) {
    queued.push_back(std::make_unique<Tcp::socket>(context));
    queued.back()->async_connect(acceptor.local_endpoint(), [](auto) {});
  }
  options_.connect_timeout = Duration::Millis(50);
  ExpectFailure(Fetch(acceptor.local_endpoint().port()),
                HttpFailureKind::kConnectTimeout, HttpProgress::kNothingSent);
}

TEST_F(HttpClientTest, SendsNothingIfBeforeSendReturnsFalse) {
  std::string received;
  std::promise<HttpFailure> failure;
  {
    ScriptedServer server(
        [&](RawPeer& peer, int) { received = peer.ReadToEnd(); });
    HttpCallHandlers handlers;
    handlers.before_send = [] { return false; };
    handlers.on_failure = [&](HttpFailure f) { failure.set_value(f); };
    client_.Send(LoopbackAt(server.port()), {"POST", "/", {}, "x"}, options_,
                 handlers);
    const HttpFailure failed = failure.get_future().get();
    EXPECT_EQ(failed.kind, HttpFailureKind::kCancelled);
    EXPECT_EQ(failed.progress, HttpProgress::kNothingSent);
  }
  EXPECT_EQ(received, "");
}

// Guards against reporting a request as not run although it ran. If the
// connection is reset after the request was sent, the client cannot know.
TEST_F(HttpClientTest, ReportsMaybeSentAfterResetWithoutAnswer) {
  ExpectFailure(FetchFrom([](RawPeer& peer, int) {
                  peer.ReadHead();
                  peer.Reset();
                }),
                HttpFailureKind::kConnectionReset, HttpProgress::kMaybeSent);
  ExpectFailure(FetchFrom([](RawPeer& peer, int) {
                  peer.ReadHead();
                  peer.Close();
                }),
                HttpFailureKind::kConnectionReset, HttpProgress::kMaybeSent);
}

TEST_F(HttpClientTest, ReportsMaybeSentAfterResetDuringWrite) {
  ExpectFailure(FetchFrom(
                    [](RawPeer& peer, int) {
                      peer.ReadHead();
                      peer.Reset();
                    },
                    {"POST", "/", {}, std::string(32UL * 1024 * 1024, 'x')}),
                HttpFailureKind::kConnectionReset, HttpProgress::kMaybeSent);
}

TEST_F(HttpClientTest, AcceptsAnswerBeforeEndOfRequest) {
  // The body is larger than the kernel's buffers and is never read.
  std::promise<void> answered;
  ScriptedServer server([&](RawPeer& peer, int) {
    peer.ReadHead();
    peer.Send("HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno");
    answered.get_future().wait();
  });
  const Answer answer = Fetch(
      server.port(), {"POST", "/", {}, std::string(32UL * 1024 * 1024, 'x')});
  answered.set_value();
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 413);
}

TEST_F(HttpClientTest, DetectsTruncatedAnswers) {
  for (const std::string& bytes : std::vector<std::string>{
           "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "2\r\nab\r\n0\r\n",
       }) {
    ExpectFailure(FetchBytes(bytes), HttpFailureKind::kTruncated,
                  HttpProgress::kAnswerBegun);
  }
  ExpectFailure(FetchBytes("HTTP/1.1 200 OK\r\nContent-"),
                HttpFailureKind::kTruncated, HttpProgress::kMaybeSent);
}

TEST_F(HttpClientTest, RefusesMalformedAndOversizedAnswers) {
  options_.max_answer_bytes = 100;
  ExpectFailure(FetchBytes("SSH-2.0 nonsense\r\n\r\n"),
                HttpFailureKind::kMalformedAnswer, HttpProgress::kMaybeSent);
  ExpectFailure(FetchBytes("HTTP/1.1 200 OK\r\nX: " + std::string(70000, 'x')),
                HttpFailureKind::kMalformedAnswer, HttpProgress::kMaybeSent);
  for (const std::string& bytes : std::vector<std::string>{
           std::string("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"),
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
               std::string(101, 'x'),
       }) {
    ExpectFailure(FetchBytes(bytes), HttpFailureKind::kAnswerTooLarge,
                  HttpProgress::kAnswerBegun);
  }
  for (const std::string& bytes : std::vector<std::string>{
           std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "zz\r\n"),
           // Without a length, a truncated answer would look complete.
           std::string("HTTP/1.1 200 OK\r\n\r\nsome text"),
       }) {
    ExpectFailure(FetchBytes(bytes), HttpFailureKind::kMalformedAnswer,
                  HttpProgress::kAnswerBegun);
  }
}

// Guards against a whole answer that is taken for a broken one, and against one
// that is reset on the way and taken for whole.
TEST_F(HttpClientTest, AnUnframedAnswerEndsWithItsConnection) {
  options_.accept_unframed = true;
  const auto whole = FetchBytes("HTTP/1.1 200 OK\r\n\r\nsome text");
  ASSERT_TRUE(IsOk(whole));
  EXPECT_EQ(ValueOf(whole).body, "some text");
  EXPECT_FALSE(IsOk(FetchFrom([](RawPeer& peer, int) {
    peer.ReadHead();
    peer.Send("HTTP/1.1 200 OK\r\n\r\nsome");
    peer.Reset();
  })));
}

TEST_F(HttpClientTest, DistinguishesSilentPeerFromDeadline) {
  options_.progress_timeout = Duration::Millis(50);
  ExpectFailure(FetchFrom([](RawPeer& peer, int) { peer.ReadToEnd(); }),
                HttpFailureKind::kProgressTimeout, HttpProgress::kMaybeSent);
  options_.progress_timeout = Duration::Seconds(60);
  options_.deadline = Duration::Millis(100);
  ExpectFailure(FetchFrom([](RawPeer& peer, int) {
                  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
                  peer.ReadToEnd();
                }),
                HttpFailureKind::kDeadlineExceeded, HttpProgress::kAnswerBegun);
}

TEST_F(HttpClientTest, PausedCallStopsReading) {
  std::promise<void> begun;
  std::promise<std::string> ended;
  std::atomic<std::size_t> received = 0;
  std::string body;
  const std::size_t size = 32UL * 1024 * 1024;
  ScriptedServer server([&](RawPeer& peer, int) {
    peer.ReadHead();
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
              "\r\n\r\n" + std::string(size, 'x'));
  });
  std::shared_ptr<HttpCall> call;
  std::mutex call_mutex;
  HttpCallHandlers handlers;
  handlers.on_head = [&](const HttpResponse&) {
    const std::lock_guard lock(call_mutex);
    call->Pause();
    begun.set_value();
  };
  handlers.on_body = [&](std::string_view chunk) { received += chunk.size(); };
  handlers.on_end = [&] { ended.set_value("end"); };
  handlers.on_failure = [&](HttpFailure) { ended.set_value("failure"); };
  {
    const std::lock_guard lock(call_mutex);
    call = client_.Send(LoopbackAt(server.port()), {"GET", "/", {}, ""},
                        options_, handlers);
  }
  begun.get_future().get();
  EXPECT_LT(received, size);
  call->Resume();
  EXPECT_EQ(ended.get_future().get(), "end");
  EXPECT_EQ(received, size);
}

// Answers each request on a connection with the connection's number.
void AnswerWithNumber(RawPeer& peer, int connection) {
  while (!peer.ReadHead().empty()) {
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
              std::to_string(connection));
  }
}

TEST_F(HttpClientTest, ReusesConnectionOnlyIfAllowed) {
  {
    ScriptedServer server(AnswerWithNumber);
    EXPECT_EQ(ValueOf(Fetch(server.port())).body, "0");
    EXPECT_EQ(ValueOf(Fetch(server.port())).body, "0");
    options_.reuse_connection = false;
    EXPECT_EQ(ValueOf(Fetch(server.port())).body, "1");
    options_.reuse_connection = true;
    client_.CloseIdleConnections(LoopbackAt(server.port()));
    EXPECT_EQ(ValueOf(Fetch(server.port())).body, "2");
    client_.CloseIdleConnections(LoopbackAt(server.port()));
  }
}

// Guards against a caller getting part of another caller's answer. Bytes that
// arrive after an answer, at once or while the connection is idle, must not be
// read as the next answer.
TEST_F(HttpClientTest, ExtraBytesNeverReachTheNextCaller) {
  for (const bool at_once : {true, false}) {
    std::promise<void> first_done;
    std::promise<void> late_sent;
    ScriptedServer server([&](RawPeer& peer, int connection) {
      peer.ReadHead();
      if (connection > 0) {
        peer.Send(kOk);
        return;
      }
      const std::string foreign =
          "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
      peer.Send(std::string(kOk) + (at_once ? foreign : ""));
      first_done.get_future().wait();
      peer.Send(foreign);
      late_sent.set_value();
      peer.ReadToEnd();
    });
    EXPECT_EQ(ValueOf(Fetch(server.port())).body, "ok");
    first_done.set_value();
    late_sent.get_future().wait();
    EXPECT_EQ(ValueOf(Fetch(server.port())).body, "ok");
    EXPECT_EQ(server.connections(), 2);
  }
}

TEST_F(HttpClientTest, DropsPooledConnectionsThatTheServerClosed) {
  std::promise<void> closed;
  ScriptedServer server([&](RawPeer& peer, int connection) {
    peer.ReadHead();
    peer.Send(kOk);
    peer.Close();
    if (connection == 0) {
      closed.set_value();
    }
  });
  EXPECT_TRUE(IsOk(Fetch(server.port())));
  closed.get_future().wait();
  EXPECT_TRUE(IsOk(Fetch(server.port())));
}

TEST_F(HttpClientTest, ConcurrentCallsGetTheirOwnAnswers) {
  const auto server =
      Serve([](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
        responder->StartStream(200, {});
        for (int i = 0; i < 4; ++i) {
          responder->Write(request.target);
        }
        responder->Finish();
      });
  constexpr int calls = 400;
  std::atomic<int> correct = 0;
  std::atomic<int> ended = 0;
  std::promise<void> all_ended;
  for (int i = 0; i < calls; ++i) {
    const std::string target = "/" + std::to_string(i);
    std::string expected;
    for (int k = 0; k < 4; ++k) {
      expected += target;
    }
    client_.Fetch(LoopbackAt(server->port()), {"GET", target, {}, ""}, options_,
                  [&, expected](const Answer& answer) {
                    if (IsOk(answer) && ValueOf(answer).body == expected) {
                      ++correct;
                    }
                    if (++ended == calls) {
                      all_ended.set_value();
                    }
                  });
  }
  all_ended.get_future().get();
  EXPECT_EQ(correct, calls);
}

// Some of the concurrent calls are cancelled at random moments. The others must
// get their own complete answers, and each cancelled call must end exactly
// once.
RC_GTEST_FIXTURE_PROP(HttpClientTest, CancelNeverMixesAnswers, ()) {
  const auto cancel_after =
      *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 6));
  const auto server =
      Serve([](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
        responder->StartStream(200, {});
        for (int i = 0; i < 50; ++i) {
          responder->Write(request.target);
        }
        responder->Finish();
      });
  std::atomic<int> mixed = 0;
  std::vector<std::promise<void>> ends(cancel_after.size());
  std::vector<std::shared_ptr<HttpCall>> calls;
  for (std::size_t i = 0; i < cancel_after.size(); ++i) {
    const std::string target = "/" + std::to_string(i) + ".";
    calls.push_back(client_.Fetch(
        LoopbackAt(server->port()), {"GET", target, {}, ""}, options_,
        [&, i, target](const Answer& answer) {
          std::string expected;
          for (int k = 0; k < 50; ++k) {
            expected += target;
          }
          if (IsOk(answer)
                  ? ValueOf(answer).body != expected
                  : ErrorOf(answer).kind != HttpFailureKind::kCancelled) {
            ++mixed;
          }
          ends[i].set_value();
        }));
    for (int k = 0; k < cancel_after[i]; ++k) {
      std::this_thread::yield();
    }
    if (cancel_after[i] < 4) {
      calls[i]->Cancel();
    }
  }
  for (std::promise<void>& end : ends) {
    end.get_future().get();
  }
  RC_ASSERT(mixed == 0);
}

}  // namespace
}  // namespace gcw
