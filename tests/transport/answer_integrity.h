#ifndef TESTS_TRANSPORT_ANSWER_INTEGRITY_H_
#define TESTS_TRANSPORT_ANSWER_INTEGRITY_H_

#include <chrono>
#include <cstddef>
#include <future>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "tests/transport/io_threads.h"
#include "tests/transport/raw_peer.h"
#include "transport/http_client.h"

namespace gcw {

// Size of a request that is longer than what the kernel takes from the client
// while the server does not read.
inline constexpr std::size_t kUploadBytes = 8UL * 1024 * 1024;

enum class Ending { kCloseSending, kClose, kReset };

// A client that accepts answers without a length, and servers that answer with
// given bytes.
class AnswerIntegrityTest : public ::testing::Test {
 protected:
  AnswerIntegrityTest() { options_.accept_unframed = true; }
  ~AnswerIntegrityTest() override { io_.Stop(); }

  using Answer = Result<HttpResponse, HttpFailure>;

  Answer Fetch(const ScriptedServer& server, std::size_t request_bytes) {
    const Address address("127.0.0.1:" + std::to_string(server.port()));
    std::promise<Answer> answer;
    client_.Fetch(address, {"POST", "/", {}, std::string(request_bytes, 'x')},
                  options_,
                  [&](Answer result) { answer.set_value(std::move(result)); });
    Answer result = answer.get_future().get();
    // Servers read until the connection is closed.
    client_.CloseIdleConnections(address);
    return result;
  }

  // Sends a request to a server that answers its head with `bytes`.
  Answer FetchBytes(const std::string& bytes,
                    std::size_t request_bytes = 4,
                    Ending ending = Ending::kCloseSending) {
    const ScriptedServer server([&](RawPeer& peer, int) {
      peer.ReadHead();
      peer.Send(bytes);
      if (ending == Ending::kReset) {
        // The client has read the answer by then, and waits for room to write.
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        peer.Reset();
        return;
      }
      peer.CloseSending();
      peer.ReadToEnd();
    });
    return Fetch(server, request_bytes);
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

}  // namespace gcw

#endif  // TESTS_TRANSPORT_ANSWER_INTEGRITY_H_
