#include <chrono>
#include <future>
#include <string>
#include <string_view>
#include <thread>

#include <gtest/gtest.h>

#include "tests/transport/io_threads.h"
#include "tests/transport/raw_peer.h"
#include "transport/http_client.h"

namespace gcw {
namespace {

using Answer = Result<HttpResponse, HttpFailure>;

constexpr std::string_view kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Servers that send without end, until the client closes the connection.
class EndlessAnswerTest : public ::testing::Test {
 protected:
  EndlessAnswerTest() {
    options_.progress_timeout = Duration::Seconds(20);
    options_.deadline = Duration::Seconds(20);
    options_.max_answer_bytes = 1024UL * 1024;
    options_.accept_unframed = true;
  }
  ~EndlessAnswerTest() override { io_.Stop(); }

  Answer Fetch(const ScriptedServer& server) {
    std::promise<Answer> answer;
    client_.Fetch(Address("127.0.0.1:" + std::to_string(server.port())),
                  {"GET", "/", {}, ""}, options_,
                  [&](Answer result) { answer.set_value(std::move(result)); });
    return answer.get_future().get();
  }

  // The server sends `begin`, then `again` over and over. Returns only once the
  // client has closed the connection.
  Answer FetchEndless(const std::string& begin, const std::string& again) {
    std::string many;
    while (many.size() < 16UL * 1024) {
      many += again;
    }
    const ScriptedServer server([&](RawPeer& peer, int) {
      peer.ReadHead();
      peer.Send(begin);
      while (peer.Send(many)) {
      }
    });
    return Fetch(server);
  }

  // The same with a pause after each `again`.
  Answer FetchDribbled(const std::string& begin, const std::string& again) {
    const ScriptedServer server([&](RawPeer& peer, int) {
      peer.ReadHead();
      peer.Send(begin);
      while (peer.Send(again)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    });
    return Fetch(server);
  }

  static void ExpectFailure(const Answer& answer, HttpFailureKind kind) {
    ASSERT_FALSE(IsOk(answer));
    EXPECT_EQ(HttpFailureKindName(ErrorOf(answer).kind),
              HttpFailureKindName(kind));
  }

  HttpCallOptions options_;
  IoThreads io_;
  HttpClient client_{io_.context()};
};

// Guards against interim responses that are read until the deadline.
TEST_F(EndlessAnswerTest, InterimAnswersEnd) {
  ExpectFailure(FetchEndless("", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
                HttpFailureKind::kMalformedAnswer);
}

// Guards against interim responses that renew the progress timeout.
TEST_F(EndlessAnswerTest, DribbledInterimAnswersEnd) {
  ExpectFailure(FetchDribbled("", "HTTP/1.1 100 Continue\r\n\r\n"),
                HttpFailureKind::kMalformedAnswer);
}

// Guards against a head that fills the memory.
TEST_F(EndlessAnswerTest, AHeadEnds) {
  ExpectFailure(FetchEndless("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
                HttpFailureKind::kMalformedAnswer);
}

// Guards against a head whose bytes renew the progress timeout.
TEST_F(EndlessAnswerTest, ADribbledHeadEnds) {
  options_.head_timeout = Duration::Millis(200);
  ExpectFailure(FetchDribbled("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
                HttpFailureKind::kAnswerTimeout);
}

// Guards against the extension of one chunk that fills the memory.
TEST_F(EndlessAnswerTest, AChunkExtensionEnds) {
  ExpectFailure(FetchEndless(std::string(kChunkedHead) + "1;", "x"),
                HttpFailureKind::kMalformedAnswer);
}

// Guards against the size of one chunk that fills the memory.
TEST_F(EndlessAnswerTest, AChunkSizeEnds) {
  ExpectFailure(FetchEndless(std::string(kChunkedHead), "0"),
                HttpFailureKind::kMalformedAnswer);
}

// Guards against chunks that carry hardly any body and never reach its limit.
TEST_F(EndlessAnswerTest, ChunksOfMostlyExtensionsEnd) {
  ExpectFailure(FetchEndless(std::string(kChunkedHead),
                             "1;" + std::string(4000, 'x') + "\r\na\r\n"),
                HttpFailureKind::kMalformedAnswer);
}

// Guards against trailers that fill the memory.
TEST_F(EndlessAnswerTest, TrailersEnd) {
  ExpectFailure(FetchEndless(std::string(kChunkedHead) + "0\r\n", "A: b\r\n"),
                HttpFailureKind::kMalformedAnswer);
}

// Guards against a parser that aborts the process because the end of an empty
// body arrives in pieces.
TEST_F(EndlessAnswerTest, AnEmptyBodyInPiecesIsWhole) {
  const ScriptedServer server([](RawPeer& peer, int) {
    peer.ReadHead();
    peer.Send(std::string(kChunkedHead) + "0\r\n");
    for (const char* piece : {"\r", "\n"}) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      peer.Send(piece);
    }
  });
  const auto answer = Fetch(server);
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "");
}

TEST_F(EndlessAnswerTest, AChunkedBodyEnds) {
  ExpectFailure(FetchEndless(std::string(kChunkedHead), "4\r\nabcd\r\n"),
                HttpFailureKind::kAnswerTooLarge);
}

TEST_F(EndlessAnswerTest, AnUnframedBodyEnds) {
  ExpectFailure(FetchEndless("HTTP/1.1 200 OK\r\n\r\n", "abcd"),
                HttpFailureKind::kAnswerTooLarge);
}

// Guards against a body whose bytes renew the progress timeout.
TEST_F(EndlessAnswerTest, ADribbledBodyEnds) {
  options_.body_timeout = Duration::Millis(200);
  ExpectFailure(FetchDribbled("HTTP/1.1 200 OK\r\n\r\n", "a"),
                HttpFailureKind::kAnswerTimeout);
}

// Guards against a limit that ends the answer of a slow but sound server.
TEST_F(EndlessAnswerTest, ALateAnswerAfterAnInterimOneIsWhole) {
  options_.head_timeout = Duration::Millis(100);
  const ScriptedServer server([](RawPeer& peer, int) {
    peer.ReadHead();
    peer.Send("HTTP/1.1 102 Processing\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  const Answer answer = Fetch(server);
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "ok");
}

// Guards against a limit that ends a long answer in small chunks.
TEST_F(EndlessAnswerTest, ManySmallChunksAreWhole) {
  constexpr std::size_t kChunks = 100'000;
  const ScriptedServer server([](RawPeer& peer, int) {
    peer.ReadHead();
    peer.Send(kChunkedHead);
    std::string many;
    for (std::size_t i = 0; i < kChunks; ++i) {
      many += "1\r\na\r\n";
    }
    peer.Send(many + "0\r\n\r\n");
  });
  const Answer answer = Fetch(server);
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body.size(), kChunks);
}

}  // namespace
}  // namespace gcw
