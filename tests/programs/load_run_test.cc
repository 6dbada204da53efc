#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "programs/gcw_load/load_run.h"
#include "tests/transport/io_threads.h"

namespace gcw {
namespace {

// An address without a listener.
const Address kUnreachableAddress("127.0.0.1:1");

// A node that answers at once. The first send of each reservation runs, but its
// outcome is reported as unknown.
class FakeNode {
 public:
  FakeNode() {
    auto listening = HttpServer::Listen(
        io_.context(), "127.0.0.1", 0, {},
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
          Handle(request, *responder);
        });
    server_ = std::move(ValueOf(listening));
  }
  ~FakeNode() { io_.Stop(); }
  FakeNode(const FakeNode&) = delete;
  FakeNode& operator=(const FakeNode&) = delete;

  Address address() const {
    return Address("127.0.0.1:" + std::to_string(server_->port()));
  }
  std::size_t keys() const { return keys_.size(); }

  // Omits `data: [DONE]` but ends the HTTP response properly.
  std::atomic<bool> omits_done = false;

 private:
  void Handle(const HttpRequest& request, HttpResponder& responder) {
    if (request.target == "/v1/entries") {
      responder.Respond({200, {}, EntriesBody()});
    } else if (request.target == "/v1/chat/completions") {
      HandleChat(ValueOf(DecodeChatRequest(request.body)), responder);
    } else {
      HandleReservation(request.Header(kIdempotencyKeyHeader), responder);
    }
  }

  std::string EntriesBody() const {
    return R"({"entries":[{"address":")" + address().value() +
           R"(","weight":1},{"address":")" + kUnreachableAddress.value() +
           R"(","weight":1}],"keep_ms":50})";
  }

  void HandleChat(const ChatRequest& chat, HttpResponder& responder) const {
    const std::string prompt = BuildPrompt(chat);
    if (!chat.stream) {
      ChatAnswer answer;
      answer.text = ReferenceAnswer(prompt, chat.max_tokens);
      responder.Respond({200, {}, EncodeChatAnswer(answer)});
      return;
    }
    responder.StartStream(200, {});
    for (int i = 0; i < chat.max_tokens.value(); ++i) {
      responder.Write(
          EncodeChatTokenEvent({AttemptId("a"), i, ReferenceToken(prompt, i)}));
    }
    if (!omits_done) {
      responder.Write(std::string(kChatStreamEnd));
    }
    responder.Finish();
  }

  void HandleReservation(const std::string& key, HttpResponder& responder) {
    const std::lock_guard lock(mutex_);
    if (keys_.insert(key).second) {
      responder.Respond({502, {}, R"({"error":{"type":"outcome_unknown"}})"});
      return;
    }
    responder.Respond(
        {200, {{"X-Gcw-Replayed", "1"}}, R"({"key":")" + key + "\"}"});
  }

  IoThreads io_;
  std::unique_ptr<HttpServer> server_;
  std::mutex mutex_;
  std::set<std::string> keys_;
};

LoadSettings Settings(const Address& node) {
  LoadSettings settings;
  settings.entries = {kUnreachableAddress, node};
  settings.arrivals = {.paid_rate = 200,
                       .trial_rate = 200,
                       .whole_share = 0.5,
                       .length = std::chrono::milliseconds(300)};
  settings.model = ModelId("notes");
  settings.service = "desk";
  settings.max_tokens = TokenCount(5);
  settings.timeout = Duration::Seconds(20);
  settings.threads = 3;
  return settings;
}

TEST(LoadRunTest, UsesAnotherAddressIfNothingWasSent) {
  FakeNode node;
  LoadRun run(Settings(node.address()));
  EXPECT_EQ(run.Run(), LoadExitCode::kDone);
  std::int64_t sent = 0;
  std::int64_t moved = 0;
  for (const KindTally& kind : run.tally().kinds) {
    EXPECT_EQ(kind.answered, kind.sent);
    EXPECT_EQ(kind.total.count(), kind.sent);
    sent += kind.sent;
    moved += kind.moved;
  }
  EXPECT_GT(moved, 0);
  EXPECT_LT(moved, sent);
  EXPECT_GT(run.tally().entries_asked, 1);
  EXPECT_EQ(run.tally().of(RequestKind::kPaidStream).between_tokens.count(),
            4 * run.tally().of(RequestKind::kPaidStream).sent);
}

TEST(LoadRunTest, ResendsReservationsWithTheirKey) {
  FakeNode node;
  LoadSettings settings = Settings(node.address());
  settings.arrivals.paid_rate = settings.arrivals.trial_rate = 0;
  settings.arrivals.reservation_rate = 200;
  LoadRun run(settings);
  EXPECT_EQ(run.Run(), LoadExitCode::kDone);
  const KindTally& counts = run.tally().of(RequestKind::kReservation);
  EXPECT_GT(counts.sent, 0);
  EXPECT_EQ(counts.resent, counts.sent);
  EXPECT_EQ(run.keys().Count(KeyOutcome::kReplayed), counts.sent);
  EXPECT_EQ(node.keys(), static_cast<std::size_t>(counts.sent));
}

TEST(LoadRunTest, StreamWithoutDoneIsViolation) {
  FakeNode node;
  node.omits_done = true;
  LoadRun run(Settings(node.address()));
  EXPECT_EQ(run.Run(), LoadExitCode::kViolation);
  const KindTally& counts = run.tally().of(RequestKind::kTrialStream);
  EXPECT_EQ(counts.violations.at("done_missing"), counts.sent);
}

TEST(LoadRunTest, SkipsArrivalsAboveLimit) {
  FakeNode node;
  LoadSettings settings = Settings(node.address());
  settings.max_in_flight = 1;
  settings.arrivals.paid_rate = 20000;
  LoadRun run(settings);
  EXPECT_EQ(run.Run(), LoadExitCode::kDone);
  EXPECT_GT(run.tally().of(RequestKind::kPaidStream).skipped, 0);
}

TEST(LoadRunTest, EndsIfNoEntryAnswers) {
  LoadSettings settings = Settings(kUnreachableAddress);
  LoadRun run(settings);
  EXPECT_EQ(run.Run(), LoadExitCode::kNoEntry);
  EXPECT_EQ(run.tally().entries_failed, 2);
}

}  // namespace
}  // namespace gcw
