#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "programs/gcw_standin/engine_http_frontend.h"
#include "programs/gcw_standin/store_http_frontend.h"

namespace gcw {
namespace {

// Runs a stand-in and its caller over loopback on one thread.
class StandinShellTest : public testing::Test {
 protected:
  ~StandinShellTest() override { server_.Close(); }

  void Listen(StandinServer::Hooks hooks) {
    const auto port = server_.Listen("test", "127.0.0.1", 0, std::move(hooks));
    ASSERT_TRUE(IsOk(port));
    address_ = Address("127.0.0.1:" + std::to_string(ValueOf(port)));
  }

  void ListenAsStore() {
    store_ =
        std::make_unique<StoreHttpFrontend>(server_, StandinStore::Settings{});
    Listen(store_->MakeHooks());
  }

  Result<HttpResponse, HttpFailure> Fetch(std::string target,
                                          std::string body,
                                          HttpCallOptions options = {}) {
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    std::optional<Result<HttpResponse, HttpFailure>> outcome;
    client_.Fetch(address_, std::move(request), options,
                  [&](Result<HttpResponse, HttpFailure> result) {
                    outcome = std::move(result);
                  });
    context_.restart();
    while (!outcome) {
      context_.run_one();
    }
    return *std::move(outcome);
  }

  // Returns the status and body, or the name of the failure.
  std::string Text(const std::string& target, const std::string& body) {
    const auto result = Fetch(target, body);
    if (!IsOk(result)) {
      return std::string(HttpFailureKindName(ErrorOf(result).kind));
    }
    const HttpResponse& response = ValueOf(result);
    return std::to_string(response.status) + ' ' + response.body;
  }

  boost::asio::io_context context_;
  StandinServer server_{context_, Faults{}};
  // The shells must outlive the connections, which the destructor closes.
  std::unique_ptr<StoreHttpFrontend> store_;
  std::unique_ptr<EngineHttpFrontend> engine_;
  HttpClient client_{context_};
  Address address_;
};

// Guards against a writer that treats a lost answer as a failed write and
// writes again: the store applies the write, then the connection closes without
// an answer.
TEST_F(StandinShellTest, WriteWithLostAnswerTakesEffect) {
  ListenAsStore();
  Text("/faults", R"({"name":"lose_answer","value":1})");
  const StoreCallMessage put =
      EncodeStoreCall(StorePut{"a", "v", Revision(), LeaseId()});
  EXPECT_FALSE(IsOk(Fetch(std::string(put.path), put.body)));
  EXPECT_TRUE(Text("/kv/range", R"({"prefix":"a"})").starts_with("200 "));
  EXPECT_TRUE(Text(std::string(put.path), put.body).starts_with("409 "));
}

TEST_F(StandinShellTest, MalformedAndRefusedCallsAreAnswered) {
  ListenAsStore();
  EXPECT_EQ(Text("/kv/range", "{}"),
            R"(400 {"error":"missing","field":"prefix"})");
  EXPECT_TRUE(Text("/kv/other", "{}").starts_with("400 "));
  Text("/faults", R"({"name":"outage","value":true})");
  EXPECT_TRUE(Text("/kv/range", R"({"prefix":""})").starts_with("503 "));
}

TEST_F(StandinShellTest, SilentStandinKeepsConnectionOpen) {
  ListenAsStore();
  Text("/faults", R"({"name":"silent","value":true})");
  const auto result = Fetch("/kv/range", R"({"prefix":""})",
                            {.progress_timeout = Duration::Millis(50)});
  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result).kind, HttpFailureKind::kProgressTimeout);
}

TEST_F(StandinShellTest, EngineStreamsTokensAndRefusesBeforeServing) {
  EngineHttpFrontend::Settings settings;
  settings.engine.member.vm = VmId("vm");
  engine_ = std::make_unique<EngineHttpFrontend>(server_, settings);
  Listen(engine_->MakeHooks());
  const ChatRequest chat{.model = ModelId("m"),
                         .adapter = AdapterId(),
                         .messages = {{"user", "hello"}},
                         .max_tokens = TokenCount(2),
                         .stream = true};
  const std::string path = "/v1/chat/completions";
  EXPECT_TRUE(Text(path, EncodeChatRequest(chat)).starts_with("503 "));
  const EngineOrder order{.kind = EngineOrderKind::kLoad,
                          .group = GroupId("g"),
                          .model = ModelId("m"),
                          .generation = Generation(1),
                          .members = {{VmId("vm"), address_}},
                          .fence = FencingToken(1),
                          .change = ChangeId("c")};
  EXPECT_EQ(Text("/orders", EncodeEngineOrder(order)), "200 {}");
  while (Text("/status", "").find("\"ready\"") == std::string::npos) {
  }
  const std::string prompt = BuildPrompt(chat);
  std::string expected = "200 ";
  for (std::int64_t index = 0; index < 2; ++index) {
    expected += EncodeChatTokenEvent(
        {AttemptId(), index, ReferenceToken(prompt, index)});
  }
  expected += kChatStreamEnd;
  EXPECT_EQ(Text(path, EncodeChatRequest(chat)), expected);
}

}  // namespace
}  // namespace gcw
