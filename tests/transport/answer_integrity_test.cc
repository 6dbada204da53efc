#include <chrono>
#include <cstddef>
#include <future>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "tests/transport/answer_integrity.h"

namespace gcw {
namespace {

std::string WholeAnswer(const std::string& status,
                        const std::string& fields,
                        const std::string& body = "whole") {
  return "HTTP/1.1 " + status + " OK\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against a reset that is reported to the write of the request, after
// which reads report an end of file.
TEST_F(AnswerIntegrityTest, AResetDuringTheRequestEndsNoUnframedAnswer) {
  for (const std::string bytes :
       {"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\npart", "HTTP/1.1 500 No\r\n\r\npart",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart"}) {
    ExpectFailure(FetchBytes(bytes, kUploadBytes, Ending::kReset),
                  HttpFailureKind::kConnectionReset);
  }
}

// Guards against the same with the kernel's timeout for a peer that takes no
// more bytes.
TEST_F(AnswerIntegrityTest, ATimeoutDuringTheRequestEndsNoUnframedAnswer) {
  options_.progress_timeout = Duration::Millis(500);
  std::promise<void> ended;
  const ScriptedServer server([&](RawPeer& peer, int) {
    peer.ReadHead();
    peer.Send("HTTP/1.1 200 OK\r\n\r\n");
    // Each byte is progress for the client, but not for the kernel, which
    // probes the window after 200 ms without a byte.
    auto has_ended = ended.get_future();
    while (has_ended.wait_for(std::chrono::milliseconds(300)) ==
           std::future_status::timeout) {
      peer.Send("x");
    }
  });
  const Answer answer = Fetch(server, kUploadBytes);
  ended.set_value();
  ExpectFailure(answer, HttpFailureKind::kProgressTimeout);
}

// Guards against the same while the client writes all the time and hardly ever
// waits.
TEST_F(AnswerIntegrityTest, AResetAtAnyMomentEndsNoUnframedAnswer) {
  constexpr std::size_t kStepBytes = 64UL * 1024;
  for (std::size_t read = 0; read < kUploadBytes; read += kStepBytes) {
    const ScriptedServer server([&](RawPeer& peer, int) {
      peer.ReadHead();
      peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
      peer.ReadExactly(read);
      peer.Reset();
    });
    ASSERT_FALSE(IsOk(Fetch(server, kUploadBytes))) << read;
  }
}

// Guards against sound answers that are lost because a reset follows the close
// that ended them.
TEST_F(AnswerIntegrityTest, AResetAfterACloseLosesNoUnframedAnswer) {
  for (int i = 0; i < 20; ++i) {
    const ScriptedServer server([](RawPeer& peer, int) {
      peer.ReadHead();
      peer.Send("HTTP/1.1 413 No\r\n\r\ntoo large");
      // The client waits for room to write by then.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      peer.CloseSending();
      peer.Reset();
    });
    const Answer answer = Fetch(server, kUploadBytes);
    ASSERT_TRUE(IsOk(answer));
    EXPECT_EQ(ValueOf(answer).body, "too large");
  }
}

// Guards against sound answers that are lost because the server closes the
// connection before it has read the request.
TEST_F(AnswerIntegrityTest, ACloseDuringTheRequestEndsAnUnframedAnswer) {
  const Answer answer =
      FetchBytes("HTTP/1.1 413 No\r\n\r\ntoo large", kUploadBytes);
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).status, 413);
  EXPECT_EQ(ValueOf(answer).body, "too large");
}

TEST_F(AnswerIntegrityTest, TellsAnswersThatEndWithTheirConnection) {
  for (const std::string head : {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n",
                                 "HTTP/1.1 200 OK\r\nConnection: close\r\n"}) {
    const Answer answer = FetchBytes(head + "\r\nbody");
    ASSERT_TRUE(IsOk(answer)) << head;
    EXPECT_TRUE(ValueOf(answer).ends_with_connection) << head;
  }
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n", "HTTP/1.1 204 Empty\r\n",
        "HTTP/1.1 304 Same\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"}) {
    const Answer answer = FetchBytes(head + "\r\n0\r\n\r\n");
    ASSERT_TRUE(IsOk(answer)) << head;
    EXPECT_FALSE(ValueOf(answer).ends_with_connection) << head;
  }
}

// Guards against a line that changes the field before it.
TEST_F(AnswerIntegrityTest, FoldedHeaderLinesAreMalformed) {
  for (const std::string fields :
       {"X-A: b\r\n c\r\n", "X-A: b\r\n\tc\r\n", "X-A:\r\n c\r\n",
        "X-A: b\r\n \r\n", "X-A: b\r\nX-B: c\r\n d\r\nX-C: e\r\n", " a\r\n"}) {
    ExpectFailure(FetchBytes(WholeAnswer("200", fields)),
                  HttpFailureKind::kMalformedAnswer);
  }
  ExpectFailure(
      FetchBytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n 5\r\n\r\nwhole"),
      HttpFailureKind::kMalformedAnswer);
}

// Guards against encoded bytes that are taken for a body.
TEST_F(AnswerIntegrityTest, TransferCodingsOtherThanChunkedAreMalformed) {
  for (const std::string field :
       {"gzip", "other", "identity", "", "chunked, gzip", "gzip, chunked",
        "chunked, chunked", "chunked;a=b", "xchunked",
        "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: gzip", "gzip\r\nContent-Length: 15"}) {
    ExpectFailure(FetchBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + field +
                             "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
                  HttpFailureKind::kMalformedAnswer);
  }
  const Answer chunked = FetchBytes(
      "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n\r\n"
      "5\r\nwhole\r\n0\r\n\r\n");
  ASSERT_TRUE(IsOk(chunked));
  EXPECT_EQ(ValueOf(chunked).body, "whole");
}

// Guards against a field that is taken for a header only if it arrives together
// with the head.
TEST_F(AnswerIntegrityTest, TrailersAreNoHeaders) {
  const Answer answer = FetchBytes(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n0\r\nX-Late: a\r\n\r\n");
  ASSERT_TRUE(IsOk(answer));
  EXPECT_EQ(ValueOf(answer).body, "whole");
  EXPECT_EQ(ValueOf(answer).Header("X-Late"), "");
}

// Guards against an invalid status, and against the body of such an answer that
// is taken for the next one.
TEST_F(AnswerIntegrityTest, InvalidStatusesAreMalformed) {
  for (const std::string status :
       {"000", "001", "099", "101", "600", "999", "20", "2000", "-20", "2 0"}) {
    const std::string answer = WholeAnswer(status, "");
    ExpectFailure(FetchBytes(answer), HttpFailureKind::kMalformedAnswer);
    // Without a length, another answer follows.
    ExpectFailure(FetchBytes(answer.substr(0, answer.find("Content")) + "\r\n" +
                             WholeAnswer("200", "")),
                  HttpFailureKind::kMalformedAnswer);
    ExpectFailure(FetchBytes(WholeAnswer(status, "", WholeAnswer("200", ""))),
                  HttpFailureKind::kMalformedAnswer);
  }
}

// Guards against the same where the body arrives after the head.
TEST_F(AnswerIntegrityTest, BodiesOfInvalidStatusesAreNoAnswers) {
  for (const std::string status : {"000", "001", "099"}) {
    const std::string hidden = WholeAnswer("200", "");
    const std::string answer = WholeAnswer(status, "", hidden);
    const ScriptedServer server([&](RawPeer& peer, int) {
      peer.ReadHead();
      peer.Send(answer.substr(0, answer.size() - hidden.size()));
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      peer.Send(hidden);
      peer.CloseSending();
      peer.ReadToEnd();
    });
    ExpectFailure(Fetch(server, 4), HttpFailureKind::kMalformedAnswer);
  }
}

}  // namespace
}  // namespace gcw
