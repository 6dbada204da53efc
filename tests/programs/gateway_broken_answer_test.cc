#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "tests/support/gateway_path.h"
#include "tests/support/scripted_endpoints.h"

namespace gcw {
namespace {

// Longer than what the kernel takes from the gateway while an endpoint does not
// read, and within the limit of bodies.
constexpr std::size_t kUploadBytes = 4000000;
constexpr std::string_view kProof = "sound";
constexpr std::string_view kOkLine = "HTTP/1.1 200 OK";
constexpr std::string_view kEvent = "id: 1\ndata: one\n\n";

// How the endpoint ends the connection after its answer.
enum class Ending {
  kClose,
  // Closes its sending side and reads until the gateway closes.
  kHalfClose,
  kResetAtOnce,
  kResetLater,
};

// What one endpoint answers to each request.
struct ScriptedAnswer {
  // May follow an interim answer.
  std::string status_line;
  // Follows the lines that identify the answer.
  std::string rest;
  Ending ending = Ending::kClose;
};

// Gateways in front of endpoints of which each gives a scripted answer.
class GatewayBrokenAnswerTest : public GatewayPathTest {
 protected:
  GatewayBrokenAnswerTest()
      : GatewayPathTest({"--domains", "0", "--plain", "0"}) {}
  ~GatewayBrokenAnswerTest() override {
    // The endpoints end once nobody is connected to them.
    fleet_.Signal("gw-1", SIGKILL);
    fleet_.Signal("gw-2", SIGKILL);
  }

  void AddEndpoints(const std::vector<ScriptedAnswer>& answers) {
    for (const ScriptedAnswer& answer : answers) {
      const std::size_t number = endpoint_count_++;
      endpoints_.Add([this, answer, number](RawPeer& peer, int) {
        for (std::string head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          if (HeaderIn(head, kAttemptIdHeader).empty()) {
            // A probe.
            peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            continue;
          }
          Answer(peer, head, answer);
          const std::lock_guard lock(mutex_);
          answered_.insert(number);
          return;
        }
      });
    }
    endpoints_.Register();
  }

  // Sends requests until each endpoint has answered one. Returns the answers.
  std::vector<HttpResponse> CollectAnswers(const std::string& route,
                                           const std::string& body) {
    std::vector<HttpResponse> answers;
    EXPECT_TRUE(fleet_.WaitUntil([&] {
      answers.push_back(
          SendRequest(first_.callers, route, "standin-key", body));
      const std::lock_guard lock(mutex_);
      return answered_.size() == endpoint_count_;
    }));
    return answers;
  }

  // Callers take an answer that has the proof, or is a success, for the
  // endpoint's. A stream that was broken off has neither.
  void ExpectNotPassedOn(const std::string& route, const std::string& body) {
    for (const HttpResponse& answer : CollectAnswers(route, body)) {
      EXPECT_EQ(answer.Header(kProofHeader), "");
      EXPECT_NE(answer.status, 200)
          << answer.body.size() << " bytes: " << answer.body;
    }
  }

  static const std::string& Upload() {
    static const std::string upload(kUploadBytes, 'x');
    return upload;
  }

 private:
  static void Answer(RawPeer& peer,
                     const std::string& request,
                     const ScriptedAnswer& answer) {
    peer.Send(answer.status_line + "\r\n" + std::string(kAttemptIdHeader) +
              ": " + HeaderIn(request, kAttemptIdHeader) + "\r\n" +
              std::string(kProofHeader) + ": " + std::string(kProof) + "\r\n" +
              answer.rest);
    switch (answer.ending) {
      case Ending::kClose:
        peer.Close();
        return;
      case Ending::kHalfClose:
        peer.CloseSending();
        peer.ReadToEnd();
        return;
      case Ending::kResetLater:
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        [[fallthrough]];
      case Ending::kResetAtOnce:
        peer.Reset();
        return;
    }
  }

  std::mutex mutex_;
  std::size_t endpoint_count_ = 0;
  // Numbers of the endpoints that have answered a request.
  std::set<std::size_t> answered_;
  ScriptedEndpoints endpoints_{
      [this](HttpRequest request) { return Call(store_, std::move(request)); }};
};

// Returns the rest of an answer with these fields and a body.
std::string WithBody(const std::string& fields) {
  return fields + "Content-Length: 5\r\n\r\nwhole";
}

// Answers without a length that are reset while the request is written.
std::vector<ScriptedAnswer> ResetUnframedAnswers(const std::string& part) {
  const std::string rest = "\r\n" + part;
  return {
      {std::string(kOkLine), rest, Ending::kResetLater},
      {std::string(kOkLine), rest, Ending::kResetAtOnce},
      {"HTTP/1.0 200 OK", rest, Ending::kResetLater},
      {"HTTP/1.1 100 Continue\r\n\r\n" + std::string(kOkLine), rest,
       Ending::kResetLater},
  };
}

// Guards against a part of an answer that is passed on as whole because the
// reset that cut it was reported to the write of the request.
TEST_F(GatewayBrokenAnswerTest, AResetDuringAnUploadEndsNoAnswer) {
  AddEndpoints(ResetUnframedAnswers("part"));
  ExpectNotPassedOn("safe", Upload());
}

// Guards against the same for a request that may not be repeated, whose outcome
// is unknown.
TEST_F(GatewayBrokenAnswerTest, AResetDuringAnUploadLeavesTheOutcomeUnknown) {
  AddEndpoints(ResetUnframedAnswers("part"));
  ExpectNotPassedOn("once", Upload());
}

// Guards against an empty answer in place of one whose body was lost, and
// against an endpoint's failure that is passed on in part.
TEST_F(GatewayBrokenAnswerTest, AResetDuringAnUploadEndsNoEmptyAnswer) {
  std::vector<ScriptedAnswer> answers = ResetUnframedAnswers("");
  answers.push_back(
      {"HTTP/1.1 500 Internal Server Error", "\r\npart", Ending::kResetLater});
  AddEndpoints(answers);
  ExpectNotPassedOn("safe", Upload());
}

// Guards against a stream that ends as if it were complete.
TEST_F(GatewayBrokenAnswerTest, AResetDuringAnUploadEndsNoStream) {
  AddEndpoints(ResetUnframedAnswers(std::string(kEvent)));
  ExpectNotPassedOn("events", Upload());
}

// Guards against sound answers that are lost because their endpoints do not
// read the request to its end.
TEST_F(GatewayBrokenAnswerTest, WholeAnswersDuringUploadsArePassedOn) {
  AddEndpoints({
      {std::string(kOkLine), "\r\nwhole", Ending::kHalfClose},
      {std::string(kOkLine), "Content-Length: 5\r\n\r\nwhole",
       Ending::kHalfClose},
      {std::string(kOkLine), "Content-Length: 5\r\n\r\nwhole",
       Ending::kResetLater},
      {std::string(kOkLine),
       "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
       Ending::kResetLater},
  });
  ASSERT_TRUE(fleet_.WaitUntil(
      [this] { return SendRequest(first_.callers, "safe").status == 200; }));
  for (const HttpResponse& answer : CollectAnswers("once", Upload())) {
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.Header(kProofHeader), kProof);
    EXPECT_EQ(answer.body, "whole");
  }
}

// Guards against a line of a head that changes the field before it, such as the
// proof.
TEST_F(GatewayBrokenAnswerTest, FoldedHeaderLinesAreNotPassedOn) {
  AddEndpoints({
      {std::string(kOkLine), WithBody(" folded\r\n")},
      {std::string(kOkLine), WithBody("\tfolded\r\n")},
      {std::string(kOkLine), WithBody("X-Other: a\r\n  b\r\n")},
  });
  ExpectNotPassedOn("safe", "body");
}

// Guards against encoded bytes that are passed on as a body.
TEST_F(GatewayBrokenAnswerTest, UnsupportedTransferCodingsAreNotPassedOn) {
  const std::string body = "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
  AddEndpoints({
      {std::string(kOkLine), "Transfer-Encoding: gzip" + body},
      {std::string(kOkLine), "Transfer-Encoding: other" + body},
      {std::string(kOkLine), "Transfer-Encoding: chunked, gzip" + body},
      {std::string(kOkLine), "Transfer-Encoding: gzip, chunked" + body},
      {std::string(kOkLine),
       "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked" + body},
  });
  ExpectNotPassedOn("safe", "body");
}

// Guards against fields after the body that are taken for those of the head.
TEST_F(GatewayBrokenAnswerTest, TrailersAreNotPassedOnAsHeaders) {
  AddEndpoints({{std::string(kOkLine),
                 "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
                 "X-Late: a\r\n\r\n"}});
  ASSERT_TRUE(fleet_.WaitUntil(
      [this] { return SendRequest(first_.callers, "safe").status == 200; }));
  const HttpResponse answer = SendRequest(first_.callers, "safe");
  EXPECT_EQ(answer.body, "whole");
  EXPECT_EQ(answer.Header("X-Late"), "");
}

// Guards against an invalid status that is passed on.
TEST_F(GatewayBrokenAnswerTest, InvalidStatusesAreNotPassedOn) {
  std::vector<ScriptedAnswer> answers;
  for (const char* status : {"000", "001", "099", "600", "999", "20", "2000",
                             "-20", "+20", "2 0", "abc"}) {
    answers.push_back(
        {"HTTP/1.1 " + std::string(status) + " OK", WithBody("")});
  }
  AddEndpoints(answers);
  for (const HttpResponse& answer : CollectAnswers("safe", "body")) {
    EXPECT_EQ(answer.Header(kProofHeader), "") << answer.status;
    EXPECT_TRUE(answer.status >= 500 && answer.status < 600) << answer.status;
  }
}

// Guards against malformed fields that are passed on, or that change where the
// body begins.
TEST_F(GatewayBrokenAnswerTest, MalformedFieldsAreNotPassedOn) {
  using std::string_literals::operator""s;
  std::vector<ScriptedAnswer> answers;
  for (const std::string& line :
       {"X Other: a"s, "X\tOther: a"s, "X\x01Other: a"s, "X\0Other: a"s,
        "X\x7fOther: a"s, "X-Other : a"s, ": a"s, "X-Other"s, "X-Other: a\x01"s,
        "X-Other: a\0b"s, "X-Other: a\nX-Next: b"s, "X-Other: a\rb"s}) {
    answers.push_back({std::string(kOkLine), WithBody(line + "\r\n")});
  }
  AddEndpoints(answers);
  ExpectNotPassedOn("safe", "body");
}

// Guards against a head that ends early and is passed on with an empty or short
// body.
TEST_F(GatewayBrokenAnswerTest, CutHeadsAreNotPassedOn) {
  std::vector<ScriptedAnswer> answers;
  for (const char* head :
       {"", "X", "X-Other", "X-Other:", "X-Other: a", "X-Other: a\r",
        "X-Other: a\r\n", "X-Other: a\r\n\r", "Content-Length: 0\r\n"}) {
    answers.push_back({std::string(kOkLine), head});
    answers.push_back({std::string(kOkLine), head, Ending::kResetLater});
  }
  AddEndpoints(answers);
  ExpectNotPassedOn("safe", "body");
}

}  // namespace
}  // namespace gcw
