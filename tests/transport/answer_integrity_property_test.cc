#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/beast/core/string.hpp>

#include "tests/transport/answer_integrity.h"
#include "tests/transport/reference_http_reader.h"
#include "transport/http_framing.h"

namespace gcw {
namespace {

// What a server sends, and when it ends the connection.
struct SentAnswer {
  // The answer before it was changed or cut.
  std::string whole;
  std::string bytes;
  bool is_changed = false;
  bool is_unframed = false;
  Ending ending = Ending::kClose;
  std::size_t request_bytes = 0;
  // How much of the request's body the server reads before it answers.
  std::size_t read_bytes = 0;
  // In microseconds.
  int pause_before_ending = 0;
  std::vector<std::size_t> splits;
};

std::string GenerateWhole(SentAnswer& sent) {
  std::string text;
  if (*rc::gen::inRange(0, 4) == 0) {
    text += "HTTP/1.1 100 Continue\r\nX-Interim: a\r\n\r\n";
  }
  text += *rc::gen::element<std::string>(
      "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 413 No\r\n",
      "HTTP/1.1 500 No\r\n");
  text += "X-Proof: " + std::to_string(*rc::gen::inRange(0, 1000)) + "\r\n";
  const auto body = *rc::gen::container<std::string>(
      static_cast<std::size_t>(*rc::gen::element(0, 1, 5, 300, 20000)),
      rc::gen::element('a', '\r', '\n', ' ', '0', ':'));
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      sent.is_unframed = true;
      return text + "\r\n" + body;
    case 1:
      return text + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    default:
      break;
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < body.size(); at += 7000) {
    text += EncodeChunk(std::string_view(body).substr(at, 7000), {});
  }
  return text + EncodeLastChunk({});
}

// Puts bytes into the answer that a reader might tolerate.
std::string Change(const std::string& whole) {
  using std::string_literals::operator""s;
  const auto inserted = *rc::gen::element<std::string>(
      " ", "\t", "\r\n", "\n", "\r\n ", "\r\n\t", "\0"s, "\x01", "\x7f", ":",
      " :", "x", "-1", "0", "\r\nTransfer-Encoding: gzip",
      "\r\nTransfer-Encoding: gzip, chunked", "\r\nContent-Length: 3",
      "\r\nX-Proof: other", "\r\n\r\n", "HTTP/1.1 000 No\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n", ";a=\"b\"", "\x80");
  const std::size_t head_bytes = whole.find("\r\n\r\n") + 4;
  std::size_t at = *rc::gen::inRange<std::size_t>(0, head_bytes + 1);
  if (*rc::gen::arbitrary<bool>()) {
    // The end of a line.
    at = std::min(whole.find("\r\n", at), head_bytes);
  }
  std::string changed = whole;
  const std::size_t replaced = *rc::gen::inRange<std::size_t>(0, 3);
  return changed.replace(at, replaced, inserted);
}

SentAnswer GenerateAnswer() {
  SentAnswer sent;
  sent.whole = GenerateWhole(sent);
  sent.bytes = sent.whole;
  sent.is_changed = *rc::gen::inRange(0, 3) == 0;
  if (sent.is_changed) {
    sent.bytes = Change(sent.bytes);
  }
  if (*rc::gen::inRange(0, 3) == 0) {
    sent.bytes.resize(*rc::gen::inRange<std::size_t>(0, sent.bytes.size() + 1));
  }
  sent.ending =
      *rc::gen::element(Ending::kCloseSending, Ending::kClose, Ending::kReset);
  sent.request_bytes = *rc::gen::element<std::size_t>(0, 100, kUploadBytes);
  sent.read_bytes = *rc::gen::element<std::size_t>(0, sent.request_bytes / 2,
                                                   sent.request_bytes);
  sent.pause_before_ending = *rc::gen::element(0, 0, 100, 3000);
  sent.splits = *rc::gen::container<std::vector<std::size_t>>(
      *rc::gen::inRange<std::size_t>(0, 4),
      rc::gen::inRange<std::size_t>(0, sent.bytes.size() + 1));
  std::ranges::sort(sent.splits);
  return sent;
}

void Serve(RawPeer& peer, const SentAnswer& sent) {
  peer.DisableSendDelay();
  peer.ReadHead();
  peer.ReadExactly(sent.read_bytes);
  std::size_t at = 0;
  for (const std::size_t split : sent.splits) {
    peer.Send(std::string_view(sent.bytes).substr(at, split - at));
    std::this_thread::yield();
    at = split;
  }
  peer.Send(std::string_view(sent.bytes).substr(at));
  std::this_thread::sleep_for(
      std::chrono::microseconds(sent.pause_before_ending));
  switch (sent.ending) {
    case Ending::kCloseSending:
      peer.CloseSending();
      peer.ReadToEnd();
      return;
    case Ending::kClose:
      peer.Close();
      return;
    case Ending::kReset:
      peer.Reset();
      return;
  }
}

// The order of fields with different names has no meaning (RFC 9110, 5.3), that
// of fields with the same name does.
std::vector<HttpHeader> SortByName(std::vector<HttpHeader> headers) {
  std::ranges::stable_sort(headers, boost::beast::iless(), &HttpHeader::name);
  return headers;
}

bool IsSame(const HttpResponse& answer, const HttpResponse& expected) {
  return answer.status == expected.status && answer.body == expected.body &&
         std::ranges::equal(SortByName(answer.headers),
                            SortByName(expected.headers),
                            [](const HttpHeader& a, const HttpHeader& b) {
                              return a.name == b.name && a.value == b.value;
                            });
}

// Whether the answer must reach the caller. A close while the request is not
// read resets the connection, which may cost an answer without a length.
bool MustArrive(const SentAnswer& sent) {
  if (sent.is_changed || sent.bytes.size() < sent.whole.size()) {
    return false;
  }
  return !sent.is_unframed || sent.ending == Ending::kCloseSending ||
         (sent.ending == Ending::kClose &&
          sent.read_bytes == sent.request_bytes);
}

// A server sends any bytes, cut anywhere, and ends the connection in any way
// while the request is written: the caller gets the server's whole answer or an
// error, and never an error in place of a sound answer.
RC_GTEST_FIXTURE_PROP(AnswerIntegrityTest, AnswersAreWholeOrErrors, ()) {
  const SentAnswer sent = GenerateAnswer();
  const ScriptedServer server([&](RawPeer& peer, int) { Serve(peer, sent); });
  const Answer answer = Fetch(server, sent.request_bytes);
  const std::optional<HttpResponse> expected =
      ReferenceHttpReader::Read(sent.bytes);
  RC_TAG(IsOk(answer) ? "answer" : "error");
  if (IsOk(answer)) {
    RC_ASSERT(expected.has_value());
    RC_ASSERT(IsSame(ValueOf(answer), *expected));
    RC_ASSERT(sent.ending != Ending::kReset ||
              !ValueOf(answer).ends_with_connection);
  } else {
    RC_ASSERT(!MustArrive(sent));
  }
}

}  // namespace
}  // namespace gcw
