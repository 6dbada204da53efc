#include "transport/http_server.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <future>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/support/client_crowd.h"
#include "tests/transport/io_threads.h"
#include "tests/transport/raw_peer.h"
#include "transport/eviction_order.h"
#include "transport/http_client.h"
#include "transport/net_types.h"

namespace gcw {
namespace {

using ::testing::EndsWith;
using ::testing::HasSubstr;
using ::testing::Not;
using ::testing::StartsWith;
using Responder = std::shared_ptr<HttpResponder>;

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

class HttpServerTest : public ::testing::Test {
 protected:
  ~HttpServerTest() override { io_.Stop(); }

  void Serve(HttpHandler handler) {
    auto result =
        HttpServer::Listen(io_.context(), "127.0.0.1", 0, limits_,
                           [this, handler = std::move(handler)](
                               HttpRequest request, Responder responder) {
                             ++handled_;
                             handler(std::move(request), std::move(responder));
                           });
    ASSERT_TRUE(IsOk(result));
    server_ = std::move(ValueOf(result));
  }
  void ServeEcho() {
    Serve([](const HttpRequest& request, const Responder& responder) {
      responder->Respond(
          {200, {}, request.method + " " + request.target + request.body});
    });
  }
  std::string Exchange(std::string_view bytes) {
    RawPeer peer(server_->port());
    peer.Send(bytes);
    return peer.ReadToEnd();
  }

  // Returns the bytes that the kernel holds for accepted connections.
  static std::size_t UnreadBytes(std::uint16_t port) {
    constexpr int kHex = 16;
    std::size_t unread = 0;
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::getline(connections, line);
    while (std::getline(connections, line)) {
      std::istringstream fields(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      std::string queues;
      fields >> number >> local >> remote >> state >> queues;
      if (std::stoi(local.substr(local.find(':') + 1), nullptr, kHex) == port &&
          state == "01") {
        unread +=
            std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHex);
      }
    }
    return unread;
  }

  HttpServerLimits limits_;
  std::atomic<int> handled_ = 0;
  // The server must not outlive the context.
  IoThreads io_;
  std::mutex mutex_;
  std::vector<Responder> responders_;
  std::unique_ptr<HttpServer> server_;
};

TEST_F(HttpServerTest, RefusesMalformedRequestsWithTypedErrors) {
  ServeEcho();
  for (const std::string& request : std::vector<std::string>{
           "nonsense\r\n\r\n",
           "GET\r\n\r\n",
           "GET / HTTP/9.9\r\n\r\n",
           "GET / HTTP/1.1\r\nbroken header\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
           "POST / HTTP/1.1\r\nContent-Length: 1\r\n"  // NOLINT
           "Transfer-Encoding: chunked\r\n\r\n",
           "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
           "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
           "0\r\n\r\n",
           "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n"  // NOLINT
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
       }) {
    const std::string answer = Exchange(request);
    EXPECT_THAT(answer, StartsWith("HTTP/1.1 400 ")) << request;
    EXPECT_THAT(answer, HasSubstr(R"({"error":{"type":"malformed_request")"));
  }
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerTest, RefusesOversizedRequests) {
  limits_.max_body_bytes = 1000;
  limits_.max_header_bytes = 2000;
  ServeEcho();
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"),
              HasSubstr(R"("type":"body_too_large")"));
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3e9\r\n" +
                       std::string(1001, 'x')),
              StartsWith("HTTP/1.1 413 "));
  EXPECT_THAT(Exchange("GET / HTTP/1.1\r\nX: " + std::string(3000, 'x')),
              StartsWith("HTTP/1.1 431 "));
  EXPECT_EQ(handled_, 0);
}

// Guards against requests that each are within their limit and together take
// all memory.
TEST_F(HttpServerTest, RequestsBeyondTheMemoryAreRefusedUntilSomeHaveEnded) {
  limits_.max_buffered_bytes = 100UL * 1024;
  std::promise<Responder> first;
  Serve([&first, this](const HttpRequest&, Responder responder) {
    if (handled_ == 1) {
      first.set_value(std::move(responder));
    } else {
      responder->Respond({200, {}, "later"});
    }
  });
  const std::string body(40UL * 1024, 'x');
  const std::string request =
      "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  RawPeer holder(server_->port());
  holder.Send(request);
  Responder responder = first.get_future().get();
  // The head has two headers with 34 bytes of text.
  EXPECT_EQ(server_->buffered_bytes(), 2 * (body.size() + 34 + 96));
  const std::string refused = Exchange(request);
  EXPECT_THAT(refused, StartsWith("HTTP/1.1 503 "));
  EXPECT_THAT(refused, HasSubstr("Retry-After: 1\r\n"));
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "a000\r\n" +
                       body),
              StartsWith("HTTP/1.1 503 "));
  EXPECT_EQ(handled_, 1);
  EXPECT_EQ(server_->out_of_memory(), 2);
  responder->Respond({200, {}, "first"});
  responder.reset();
  EXPECT_THAT(holder.ReadToEnd(), HasSubstr("first"));
  EXPECT_THAT(Exchange(request), HasSubstr("later"));
}

// Guards against requests that have stalled and keep the memory from callers
// whose requests are whole.
TEST_F(HttpServerTest, ARequestThatHasStalledGivesWay) {
  limits_.max_buffered_bytes = 100UL * 1024;
  ServeEcho();
  const std::string body(40UL * 1024, 'x');
  const std::string request =
      "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  RawPeer stalled(server_->port());
  stalled.Send(std::string_view(request).substr(0, request.size() - 1));
  while (server_->buffered_bytes() < 2 * (body.size() - 1)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_THAT(Exchange(request), StartsWith("HTTP/1.1 503 "));
  std::this_thread::sleep_for(ToChrono(EvictionOrder::kStallTime));
  EXPECT_THAT(Exchange(request), StartsWith("HTTP/1.1 200 "));
  const std::string refused = stalled.ReadToEnd();
  EXPECT_THAT(refused, StartsWith("HTTP/1.1 503 "));
  EXPECT_THAT(refused, HasSubstr("Retry-After: 1\r\n"));
}

// Guards against heads whose fields arrive one by one, which the parser does
// not limit.
TEST_F(HttpServerTest, RefusesHeadsOfManyFieldsOverTheLimit) {
  limits_.max_header_bytes = 2000;
  ServeEcho();
  RawPeer peer(server_->port());
  peer.Send("GET /a HTTP/1.1\r\n");
  for (int i = 0; i < 500; ++i) {
    peer.Send("a: b\r\n");
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
  EXPECT_THAT(peer.ReadHead(), StartsWith("HTTP/1.1 431 "));
  EXPECT_EQ(handled_, 0);
}

// Guards against responses that callers do not read and nobody counts.
TEST_F(HttpServerTest, UnsentResponsesCount) {
  limits_.max_buffered_bytes = 1024UL * 1024;
  Serve([](const HttpRequest&, const Responder& responder) {
    responder->Respond({200, {}, std::string(16UL * 1024 * 1024, 'x')});
  });
  RawPeer slow(server_->port());
  slow.Send(kGet);
  while (server_->buffered_bytes() < limits_.max_buffered_bytes) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_TRUE(server_->has_busy_connections());
  EXPECT_THAT(Exchange(kGet), StartsWith("HTTP/1.1 503 "));
  slow.Close();
  while (server_->buffered_bytes() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

// Guards against callers that do not read and together take all memory: each of
// them may leave a whole response unsent.
TEST_F(HttpServerTest, TheConnectionThatIsBlockedLongestMakesRoom) {
  constexpr std::size_t kBytes = 32UL * 1024 * 1024;
  limits_.max_blocked_bytes = kBytes / 4 * 5;
  Serve([](const HttpRequest&, const Responder& responder) {
    responder->Respond({200, {}, std::string(kBytes, 'x')});
  });
  RawPeer first(server_->port());
  first.Send(kGet);
  // The response is counted, and not only the request.
  while (server_->buffered_bytes() < kBytes / 2) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  RawPeer second(server_->port());
  second.Send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  while (server_->open_connections() != 1 || server_->buffered_bytes() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_GT(second.ReadToEnd().size(), kBytes);
  EXPECT_LT(first.ReadToEnd().size(), kBytes);
}

// Guards against chunk lines and trailers without end, which the parser does
// not limit.
TEST_F(HttpServerTest, RefusesFramingOverTheLimit) {
  limits_.max_header_bytes = 2000;
  ServeEcho();
  const std::string head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string many_bytes(100UL * 1024, 'x');
  for (const std::string& body : std::vector<std::string>{
           "1;a=" + many_bytes, "0;a=" + many_bytes, "0\r\na: " + many_bytes}) {
    EXPECT_THAT(Exchange(head + body),
                HasSubstr(R"("type":"framing_too_large")"));
  }
  std::string extensions;
  for (int i = 0; i < 1000; ++i) {
    extensions += "1;a=" + std::string(1000, 'x') + "\r\nb\r\n";
  }
  EXPECT_THAT(Exchange(head + extensions), StartsWith("HTTP/1.1 431 "));
  EXPECT_EQ(handled_, 0);
}

// Guards against trailers that are taken for headers.
TEST_F(HttpServerTest, TrailersAreNotPassedOn) {
  Serve([](const HttpRequest& request, const Responder& responder) {
    responder->Respond(
        {200, {}, request.Header("A") + request.Header("B") + request.body});
  });
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nA: head\r\nConnection: close\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "4\r\nbody\r\n0\r\nB: trailer\r\n\r\n"),
              EndsWith("\r\n\r\nheadbody"));
}

// Guards against the parser's assertion when the end of an empty chunked body
// arrives in pieces.
TEST_F(HttpServerTest, ChunkedRequestsMayArriveByteByByte) {
  ServeEcho();
  for (const std::string_view body :
       {"0\r\n\r\n", "1\r\nx\r\n0\r\n\r\n", "0\r\na: b\r\n\r\n"}) {
    RawPeer peer(server_->port());
    for (const char byte :
         "POST /a HTTP/1.1\r\nConnection: close\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
             std::string(body)) {
      peer.Send({&byte, 1});
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    EXPECT_THAT(peer.ReadToEnd(), StartsWith("HTTP/1.1 200 "));
  }
}

TEST_F(HttpServerTest, TimesOutSlowRequests) {
  limits_.request_timeout = Duration::Millis(50);
  ServeEcho();
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"),
              StartsWith("HTTP/1.1 408 "));
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerTest, TimesOutSlowHeaders) {
  limits_.header_timeout = Duration::Millis(50);
  ServeEcho();
  EXPECT_THAT(Exchange("POST / HTTP/1.1\r\nContent-Le"),
              StartsWith("HTTP/1.1 408 "));
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerTest, AppliesNewLimitsWhileRunning) {
  ServeEcho();
  const std::string request =
      "POST / HTTP/1.1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nabcd";
  EXPECT_THAT(Exchange(request), StartsWith("HTTP/1.1 200 "));
  server_->SetRequestLimits(
      {1000, 3, Duration::Millis(50), Duration::Millis(50)});
  EXPECT_THAT(Exchange(request), StartsWith("HTTP/1.1 413 "));
  EXPECT_THAT(Exchange("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x')),
              StartsWith("HTTP/1.1 431 "));
  EXPECT_THAT(Exchange("GET / HTTP/1.1\r\nX"), StartsWith("HTTP/1.1 408 "));
  EXPECT_EQ(Exchange(""), "");
}

TEST_F(HttpServerTest, ClosesIdleConnections) {
  limits_.idle_timeout = Duration::Millis(50);
  ServeEcho();
  EXPECT_EQ(Exchange(""), "");
}

TEST_F(HttpServerTest, RefusesRequestsTruncatedByHalfClose) {
  ServeEcho();
  RawPeer peer(server_->port());
  peer.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  peer.CloseSending();
  EXPECT_THAT(peer.ReadToEnd(), HasSubstr(R"("type":"incomplete_request")"));
  EXPECT_EQ(handled_, 0);
}

TEST_F(HttpServerTest, RefusesConnectionsBeyondTheLimitAtOnce) {
  limits_.max_connections = 2;
  ServeEcho();
  RawPeer first(server_->port());
  RawPeer second(server_->port());
  first.Send(kGet);
  second.Send(kGet);
  first.ReadUntil("GET /a");
  second.ReadUntil("GET /a");
  const std::string answer = Exchange("");
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 503 "));
  EXPECT_THAT(answer, HasSubstr(R"("type":"too_many_connections")"));
}

// Guards against connections without a request that leave none to others.
TEST_F(HttpServerTest, TheOldestSilentConnectionGivesWay) {
  limits_.max_connections = 2;
  ServeEcho();
  RawPeer first(server_->port());
  while (server_->open_connections() < 1) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  RawPeer second(server_->port());
  while (server_->open_connections() < 2) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  RawPeer third(server_->port());
  EXPECT_EQ(first.ReadToEnd(), "");
  second.Send(kGet);
  third.Send(kGet);
  EXPECT_THAT(second.ReadHead(), StartsWith("HTTP/1.1 200 "));
  EXPECT_THAT(third.ReadHead(), StartsWith("HTTP/1.1 200 "));
  EXPECT_EQ(server_->evicted_connections(), 1);
}

// Guards against clients that are refused and stay connected as if they had
// been served.
TEST_F(HttpServerTest, AConnectionWithoutASuccessfulRequestGivesWay) {
  limits_.max_connections = 1;
  Serve([](const HttpRequest&, const Responder& responder) {
    responder->Respond({401, {}, {}});
  });
  RawPeer refused(server_->port());
  refused.Send(kGet);
  EXPECT_THAT(refused.ReadHead(), StartsWith("HTTP/1.1 401 "));
  RawPeer next(server_->port());
  next.Send(kGet);
  EXPECT_THAT(next.ReadHead(), StartsWith("HTTP/1.1 401 "));
}

// Guards against servers that leave no descriptors to the calls of the process.
TEST_F(HttpServerTest, ConnectionsOfTheProcessAreLimited) {
  limits_.descriptors = std::make_shared<DescriptorBudget>(4);
  limits_.max_descriptors = 2;
  ServeEcho();
  const DescriptorBudget::Token own(limits_.descriptors);
  RawPeer first(server_->port());
  first.Send(kGet);
  first.ReadUntil("GET /a");
  EXPECT_EQ(limits_.descriptors->used(), 2);
  const std::string answer = Exchange("");
  EXPECT_THAT(answer, StartsWith("HTTP/1.1 503 "));
  EXPECT_THAT(answer, HasSubstr("Retry-After: 1\r\n"));
  first.Close();
  while (limits_.descriptors->used() > 1) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_THAT(Exchange("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n"),
              StartsWith("HTTP/1.1 200 "));
}

TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder) {
  ServeEcho();
  const std::string answers = Exchange(
      "GET /1 HTTP/1.1\r\n\r\n"
      "POST /2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
      "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_LT(answers.find("GET /1"), answers.find("POST /2ab"));
  EXPECT_LT(answers.find("POST /2ab"), answers.find("GET /3"));
  EXPECT_NE(answers.find("GET /3"), std::string::npos);
}

// Guards against clients that send on while their responses are pending: bytes
// that the kernel holds count for the memory of the process.
TEST_F(HttpServerTest, BytesSentAheadAreLimitedAndCounted) {
  constexpr std::size_t kClients = 20;
  Serve([this](const HttpRequest&, Responder responder) {
    const std::lock_guard lock(mutex_);
    responders_.push_back(std::move(responder));
  });
  ClientCrowd crowd;
  crowd.Connect(server_->port(), kClients);
  crowd.Send({"", std::string(kGet), 1024UL * 1024});
  EXPECT_EQ(handled_, kClients);
  const std::size_t unread = UnreadBytes(server_->port());
  EXPECT_GT(unread, 0);
  EXPECT_LE(unread, server_->buffered_bytes());
}

// Guards against refusing other callers because many send ahead: at the limit
// their connections close after the response, which arrives.
TEST_F(HttpServerTest, BytesSentAheadAreDroppedAtTheLimit) {
  limits_.max_buffered_bytes = 40UL * 1024;
  std::promise<Responder> first;
  Serve([&first, this](const HttpRequest& request, Responder responder) {
    if (handled_ == 1) {
      first.set_value(std::move(responder));
    } else {
      responder->Respond({200, {}, request.target});
    }
  });
  RawPeer ahead(server_->port());
  ahead.Send(kGet);
  const Responder responder = first.get_future().get();
  ahead.Send(std::string(100UL * 1024, 'x'));
  EXPECT_THAT(Exchange("GET /b HTTP/1.1\r\nConnection: close\r\n\r\n"),
              HasSubstr("/b"));
  responder->Respond({200, {}, "first"});
  EXPECT_THAT(ahead.ReadToEnd(), EndsWith("first"));
}

TEST_F(HttpServerTest, AnswersExpectContinue) {
  ServeEcho();
  RawPeer peer(server_->port());
  peer.Send(
      "POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  EXPECT_THAT(peer.ReadHead(), StartsWith("HTTP/1.1 100 "));
  peer.Send("ab");
  EXPECT_THAT(peer.ReadUntil("POST /aab"), StartsWith("HTTP/1.1 200 "));
}

// Guards against an engine that keeps working for a caller that has
// disconnected. The caller closes or resets its connection while its answer is
// pending, and only a pending read detects it.
TEST_F(HttpServerTest, ReportsCallerGoneBeforeAnswer) {
  std::promise<Responder> arrived;
  std::atomic<int> gone = 0;
  Serve([&](const HttpRequest&, const Responder& responder) {
    arrived.set_value(responder);
  });
  for (const bool reset : {false, true}) {
    arrived = {};
    std::promise<void> notified;
    RawPeer peer(server_->port());
    peer.Send(kGet);
    const Responder responder = arrived.get_future().get();
    responder->OnCallerGone([&] {
      ++gone;
      notified.set_value();
    });
    reset ? peer.Reset() : peer.Close();
    notified.get_future().get();
    // A hook that is set after the caller has disconnected is called as well.
    std::promise<void> notified_late;
    responder->OnCallerGone([&] { notified_late.set_value(); });
    notified_late.get_future().get();
    responder->Respond({200, {}, "too late"});
  }
  EXPECT_EQ(gone, 2);
}

TEST_F(HttpServerTest, DoesNotReportCallerGoneAfterCompleteAnswer) {
  std::atomic<int> gone = 0;
  Serve([&](const HttpRequest&, const Responder& responder) {
    responder->OnCallerGone([&] { ++gone; });
    responder->Respond({200, {}, "whole"});
  });
  EXPECT_THAT(Exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"),
              HasSubstr("whole"));
  while (server_->open_connections() > 0) {
    std::this_thread::yield();
  }
  EXPECT_EQ(gone, 0);
}

TEST_F(HttpServerTest, StreamsInChunks) {
  Serve([](const HttpRequest&, const Responder& responder) {
    responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
    responder->Write("one");
    responder->Write("");
    responder->Write("three");
    responder->Finish();
    responder->Write("after the end");
  });
  const std::string answer =
      Exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_THAT(answer, HasSubstr("Transfer-Encoding: chunked\r\n"));
  EXPECT_THAT(answer, HasSubstr("3\r\none\r\n5\r\nthree\r\n0\r\n\r\n"));
  EXPECT_THAT(answer, Not(HasSubstr("after the end")));
}

// Guards against a truncated answer that looks complete. The server leaves out
// the last chunk (HTTP/1.1) or resets the connection (HTTP/1.0, where a close
// marks the end).
TEST_F(HttpServerTest, AbortedStreamsDoNotLookComplete) {
  Serve([](const HttpRequest&, const Responder& responder) {
    responder->StartStream(200, {});
    responder->Write("part");
    responder->Abort();
  });
  const std::string answer = Exchange(kGet);
  EXPECT_THAT(answer, HasSubstr("4\r\npart\r\n"));
  EXPECT_THAT(answer, Not(HasSubstr("0\r\n\r\n")));

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({boost::asio::ip::address_v4::loopback(), server_->port()});
  boost::asio::write(socket, boost::asio::buffer("GET / HTTP/1.0\r\n\r\n", 18));
  std::string bytes;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), error);
  EXPECT_EQ(error, boost::asio::error::connection_reset);
}

TEST_F(HttpServerTest, DroppedResponderAnswersWithAnError) {
  Serve([](const HttpRequest& request, const Responder& responder) {
    if (request.target == "/stream") {
      responder->StartStream(200, {});
    }
  });
  EXPECT_THAT(Exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"),
              StartsWith("HTTP/1.1 500 "));
  EXPECT_THAT(Exchange("GET /stream HTTP/1.1\r\n\r\n"),
              Not(HasSubstr("0\r\n\r\n")));
}

// Guards against mixed answers. The responder of a finished answer continues to
// write while the connection carries the next answer.
TEST_F(HttpServerTest, AnEndedResponderCannotWriteIntoTheNextAnswer) {
  Responder ended;
  Serve([&](const HttpRequest& request, const Responder& responder) {
    if (request.target == "/a") {
      responder->Respond({200, {}, "first"});
      ended = responder;
      return;
    }
    responder->StartStream(200, {});
    ended->Write("foreign");
    ended->Respond({200, {}, "foreign"});
    ended->Abort();
    EXPECT_EQ(ended->unsent_bytes(), 0U);
    responder->Write("second");
    responder->Finish();
  });
  const std::string answers = Exchange(
      std::string(kGet) + "GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_THAT(answers, HasSubstr("first"));
  EXPECT_THAT(answers, HasSubstr("6\r\nsecond\r\n0\r\n\r\n"));
  EXPECT_THAT(answers, Not(HasSubstr("foreign")));
  ended.reset();
}

TEST_F(HttpServerTest, ReportsUnsentBytesOfSlowCallers) {
  std::promise<Responder> arrived;
  Serve([&](const HttpRequest&, const Responder& responder) {
    responder->StartStream(200, {});
    arrived.set_value(responder);
  });
  RawPeer peer(server_->port());
  peer.Send(kGet);
  const Responder responder = arrived.get_future().get();
  const std::string chunk(1024UL * 1024, 'x');
  // This is more than the kernel buffers on both sides hold.
  for (int i = 0; i < 32; ++i) {
    responder->Write(chunk);
  }
  EXPECT_GT(responder->unsent_bytes(), chunk.size());
  responder->Finish();
  const std::string answer = peer.ReadUntil("\r\n0\r\n\r\n");
  EXPECT_GT(answer.size(), 32 * chunk.size());
  EXPECT_EQ(responder->unsent_bytes(), 0U);
}

TEST_F(HttpServerTest, TreatsStalledCallerAsGone) {
  limits_.write_timeout = Duration::Millis(100);
  std::promise<void> gone;
  Responder kept;
  Serve([&](const HttpRequest&, const Responder& responder) {
    kept = responder;
    responder->OnCallerGone([&] { gone.set_value(); });
    responder->StartStream(200, {});
    responder->Write(std::string(32UL * 1024 * 1024, 'x'));
  });
  RawPeer peer(server_->port());
  peer.Send(kGet);
  gone.get_future().get();
}

TEST_F(HttpServerTest, StopAcceptingFinishesRunningRequests) {
  std::promise<Responder> arrived;
  Serve([&](const HttpRequest&, const Responder& responder) {
    arrived.set_value(responder);
  });
  RawPeer peer(server_->port());
  peer.Send(kGet);
  const Responder responder = arrived.get_future().get();
  server_->StopAccepting();
  responder->Respond({200, {}, "whole"});
  EXPECT_THAT(peer.ReadToEnd(), HasSubstr("whole"));
}

TEST_F(HttpServerTest, StopAcceptingAllowsOneMoreRequestOnIdleConnections) {
  ServeEcho();
  RawPeer peer(server_->port());
  peer.Send(kGet);
  peer.ReadUntil("GET /a");
  server_->StopAccepting();
  peer.Send(kGet);
  EXPECT_THAT(peer.ReadToEnd(), HasSubstr("Connection: close\r\n"));
}

TEST_F(HttpServerTest, ReportsWhyItCannotListen) {
  ServeEcho();
  const auto listen = [&](const std::string& ip, std::uint16_t port) {
    return HttpServer::Listen(io_.context(), ip, port, limits_, {});
  };
  EXPECT_EQ(ErrorOf(listen("nowhere", 0)).kind,
            ListenErrorKind::kAddressMalformed);
  EXPECT_EQ(ErrorOf(listen("127.0.0.1", server_->port())).kind,
            ListenErrorKind::kAddressInUse);
  EXPECT_EQ(ErrorOf(listen("192.0.2.1", 0)).kind, ListenErrorKind::kRefused);
}

}  // namespace
}  // namespace gcw
