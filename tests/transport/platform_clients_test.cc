#include <future>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "tests/transport/io_threads.h"
#include "transport/engine_client.h"
#include "transport/http_server.h"
#include "transport/key_digest.h"
#include "transport/store_client.h"
#include "transport/vm_list_client.h"

namespace gcw {
namespace {

TEST(KeyDigestTest, IsSha256InHexadecimal) {
  const KeyDigest digest = ComputeKeyDigest("abc");
  EXPECT_EQ(digest.value(),
            "ba7816bf8f01cfea414140de5dae2223"
            "b00361a396177a9cb410ff61f20015ad");
  EXPECT_TRUE(EqualInConstantTime(digest, ComputeKeyDigest("abc")));
  EXPECT_FALSE(EqualInConstantTime(digest, ComputeKeyDigest("abd")));
  EXPECT_FALSE(EqualInConstantTime(digest, KeyDigest("ba")));
}

class PlatformClientsTest : public ::testing::Test {
 protected:
  ~PlatformClientsTest() override { io_.Stop(); }

  // Starts a service that gives the same answer to every request.
  Address Serve(const HttpResponse& answer) {
    return Serve([answer](const HttpRequest&,
                          const std::shared_ptr<HttpResponder>& responder) {
      responder->Respond(answer);
    });
  }
  Address Serve(HttpHandler handler) {
    auto server = HttpServer::Listen(io_.context(), "127.0.0.1", 0, {},
                                     std::move(handler));
    server_ = std::move(ValueOf(server));
    return Address("127.0.0.1:" + std::to_string(server_->port()));
  }
  StoreReply CallStore(const Address& address, const StoreCall& call) {
    StoreClient client(io_.context(), {address, Duration::Millis(100)});
    std::promise<StoreReply> reply;
    client.Call(call, [&](StoreReply r) { reply.set_value(std::move(r)); });
    return reply.get_future().get();
  }
  template <typename Value, typename Call>
  Result<Value, CallError> Await(Call call) {
    std::promise<Result<Value, CallError>> result;
    call([&](Result<Value, CallError> r) { result.set_value(std::move(r)); });
    return result.get_future().get();
  }

  IoThreads io_;
  std::unique_ptr<HttpServer> server_;
  EngineClient engines_{io_.context()};
};

constexpr Duration kTimeout = Duration::Seconds(10);

TEST_F(PlatformClientsTest, StoreCallsGetTheirReplies) {
  std::string path;
  const Address store =
      Serve([&](const HttpRequest& request,
                const std::shared_ptr<HttpResponder>& responder) {
        path = request.target;
        responder->Respond({200, {}, R"({"revision":7})"});
      });
  const StoreReply reply = CallStore(store, StorePut{"k", "v", {}, {}});
  ASSERT_TRUE(std::holds_alternative<StoreWritten>(reply));
  EXPECT_EQ(std::get<StoreWritten>(reply).revision, Revision(7));
  EXPECT_EQ(path, "/kv/put");
}

TEST_F(PlatformClientsTest, BusyStoreReplyHasRetryDelay) {
  const StoreReply reply = CallStore(
      Serve({429, {}, R"({"retry_after_ms":30})"}), StoreRange{"contract/"});
  ASSERT_TRUE(std::holds_alternative<StoreRefused>(reply));
  EXPECT_EQ(std::get<StoreRefused>(reply).retry_after, Duration::Millis(30));
}

// Guards against a wrong conclusion about a write. An outage, a malformed
// answer and a missing answer all leave open whether it took effect.
TEST_F(PlatformClientsTest, UnclearOutcomesAreReportedAsNoAnswer) {
  const StoreCall put = StorePut{"k", "v", {}, {}};
  for (const HttpResponse& answer :
       {HttpResponse{503, {}, {}}, HttpResponse{200, {}, "{"},
        HttpResponse{200, {}, R"({"revision":"x"})"},
        HttpResponse{302, {}, R"({"revision":7})"}}) {
    EXPECT_TRUE(
        std::holds_alternative<StoreNoAnswer>(CallStore(Serve(answer), put)));
  }
  std::shared_ptr<HttpResponder> kept;
  const Address silent = Serve(
      [&](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
        kept = responder;
      });
  EXPECT_TRUE(std::holds_alternative<StoreNoAnswer>(CallStore(silent, put)));
  EXPECT_TRUE(std::holds_alternative<StoreNoAnswer>(
      CallStore(Address("127.0.0.1:1"), put)));
}

// Guards against one timeout for all calls. A watch waits for a change, so a
// timeout meant for calls that are answered at once would end it as unanswered,
// and each change would be seen only by the next watch.
TEST_F(PlatformClientsTest, WatchesMayTakeLongerThanOtherCalls) {
  std::promise<std::shared_ptr<HttpResponder>> watch_arrived;
  std::promise<std::shared_ptr<HttpResponder>> read_arrived;
  const Address store =
      Serve([&](const HttpRequest& request,
                const std::shared_ptr<HttpResponder>& responder) {
        const bool is_watch = request.target.find("watch") != std::string::npos;
        (is_watch ? watch_arrived : read_arrived).set_value(responder);
      });
  StoreClient client(io_.context(), {store, Duration::Millis(50)});
  std::promise<StoreReply> watched;
  std::promise<StoreReply> read;
  client.Call(StoreWatch{"a", {}, kTimeout},
              [&](StoreReply r) { watched.set_value(std::move(r)); });
  const auto watch_responder = watch_arrived.get_future().get();
  client.Call(StoreRange{"a"},
              [&](StoreReply r) { read.set_value(std::move(r)); });
  // The responder is kept, so that the read can only end by its timeout.
  const auto read_responder = read_arrived.get_future().get();
  EXPECT_TRUE(std::holds_alternative<StoreNoAnswer>(read.get_future().get()));
  watch_responder->Respond(
      {200,
       {},
       R"({"revision":7,"changed":[],"deleted":[],"compacted":false})"});
  EXPECT_TRUE(
      std::holds_alternative<StoreWatchReply>(watched.get_future().get()));
}

TEST_F(PlatformClientsTest, ReadsTheVmList) {
  VmListSnapshot list{Time::FromMillis(5), {}};
  VmListClient client(io_.context(), Serve({200, {}, EncodeVmList(list)}),
                      kTimeout);
  const auto read = Await<VmListSnapshot>(
      [&](CallDone<VmListSnapshot> done) { client.Read(std::move(done)); });
  ASSERT_TRUE(IsOk(read));
  EXPECT_EQ(ValueOf(read).as_of, list.as_of);
}

TEST_F(PlatformClientsTest, OrdersDistinguishStaleFromUnclear) {
  const auto send = [&](const HttpResponse& answer, bool may_send) {
    return Await<EngineOrderReply>([&](CallDone<EngineOrderReply> done) {
      engines_.SendOrder(
          Serve(answer), EngineOrder{}, kTimeout, [=] { return may_send; },
          std::move(done));
    });
  };
  const auto stale =
      send({409, {}, R"({"error":"stale_fence","seen":9})"}, true);
  ASSERT_TRUE(IsOk(stale));
  EXPECT_EQ(std::get<EngineOrderStale>(ValueOf(stale)).seen, FencingToken(9));
  EXPECT_TRUE(IsOk(send({200, {}, "{}"}, true)));
  const auto unclear = send({500, {}, "{}"}, true);
  EXPECT_EQ(std::get<UnexpectedStatus>(ErrorOf(unclear)).status, 500);
  const auto withheld = send({200, {}, "{}"}, false);
  EXPECT_EQ(std::get<HttpFailure>(ErrorOf(withheld)).progress,
            HttpProgress::kNothingSent);
}

TEST_F(PlatformClientsTest, ReadsWhatEnginesReport) {
  const Address engine =
      Serve([](const HttpRequest& request,
               const std::shared_ptr<HttpResponder>& responder) {
        if (request.target == "/status") {
          EngineStatus status;
          status.vm = VmId("vm");
          responder->Respond({200, {}, EncodeEngineStatus(status)});
        } else if (request.target == "/load") {
          responder->Respond({200, {}, "{}"});
        } else if (request.target == "/cache_events?after=4") {
          responder->Respond({200, {}, EncodeCacheEvents({})});
        } else {
          responder->Respond({200, {}, EncodeCancelReply(true)});
        }
      });
  const auto status = Await<EngineStatus>([&](CallDone<EngineStatus> done) {
    engines_.ReadStatus(engine, kTimeout, std::move(done));
  });
  ASSERT_TRUE(IsOk(status));
  EXPECT_EQ(ValueOf(status).vm, VmId("vm"));
  const auto load = Await<LoadReport>([&](CallDone<LoadReport> done) {
    engines_.ReadLoad(engine, kTimeout, std::move(done));
  });
  EXPECT_TRUE(std::holds_alternative<CodecError>(ErrorOf(load)));
  EXPECT_TRUE(IsOk(Await<CacheEventBatch>([&](CallDone<CacheEventBatch> done) {
    engines_.ReadCacheEvents(engine, 4, kTimeout, std::move(done));
  })));
  const auto cancelled = Await<bool>([&](CallDone<bool> done) {
    engines_.CancelAttempt(engine, AttemptId("a"), kTimeout, std::move(done));
  });
  ASSERT_TRUE(IsOk(cancelled));
  EXPECT_TRUE(ValueOf(cancelled));
}

}  // namespace
}  // namespace gcw
