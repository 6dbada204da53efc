#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/transport/io_threads.h"
#include "tests/transport/raw_peer.h"
#include "transport/http_framing.h"
#include "transport/http_server.h"

namespace gcw {
namespace {

using std::string_literals::operator""s;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

TEST(FinalStatusTest, HoldsOnlyFinalStatuses) {
  for (const int number : {200, 204, 304, 404, 503, 599}) {
    const auto status = FinalStatus::FromNumber(number);
    ASSERT_TRUE(status) << number;
    EXPECT_EQ(status->number(), number);
    EXPECT_EQ(status->excludes_body(), number == 204 || number == 304);
  }
  for (const int number : {-200, 0, 1, 99, 100, 101, 199, 600, 999, 2000}) {
    EXPECT_FALSE(FinalStatus::FromNumber(number)) << number;
  }
}

class HttpResponseTest : public ::testing::Test {
 protected:
  ~HttpResponseTest() override { io_.Stop(); }

  // Returns what a caller receives from a server with this handler.
  std::string Receive(HttpHandler handler) {
    auto listening = HttpServer::Listen(io_.context(), "127.0.0.1", 0, {},
                                        std::move(handler));
    const std::unique_ptr<HttpServer> server = std::move(ValueOf(listening));
    RawPeer peer(server->port());
    peer.Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    return peer.ReadToEnd();
  }

  IoThreads io_;
};

// Guards against an invalid status that reaches a caller.
TEST_F(HttpResponseTest, InvalidStatusesBecomeErrors) {
  for (const int status : {0, 1, 99, 100, 199, 600, 999, 2000, -1}) {
    for (const bool streams : {false, true}) {
      const std::string received =
          Receive([&](const HttpRequest&,
                      const std::shared_ptr<HttpResponder>& responder) {
            if (streams) {
              responder->StartStream(status, {{"X-A", "b"}});
              responder->Write("part");
              responder->Finish();
            } else {
              responder->Respond({status, {{"X-A", "b"}}, "body"});
            }
          });
      EXPECT_THAT(received, StartsWith("HTTP/1.1 500 ")) << status;
      EXPECT_THAT(received, Not(HasSubstr("X-A"))) << status;
      EXPECT_THAT(received, Not(HasSubstr("part"))) << status;
    }
  }
}

// Guards against chunks that follow a response without a body, where the caller
// expects the next response.
TEST_F(HttpResponseTest, StreamsOfAStatusWithoutABodyBecomeErrors) {
  for (const int status : {204, 304}) {
    const std::string received =
        Receive([&](const HttpRequest&,
                    const std::shared_ptr<HttpResponder>& responder) {
          responder->StartStream(status, {});
          responder->Write("part");
          responder->Finish();
        });
    EXPECT_THAT(received, StartsWith("HTTP/1.1 500 ")) << status;
    EXPECT_THAT(received, Not(HasSubstr("part"))) << status;
  }
}

// Guards against malformed fields that reach a caller, who might read them as
// the end of the head or as other fields.
TEST_F(HttpResponseTest, MalformedFieldsAreLeftOut) {
  std::vector<HttpHeader> headers = {{"X-Good", "a\tb \x80"}};
  for (const std::string& name :
       {""s, "X Bad"s, "X\tBad"s, "X-Bad "s, "X\0Bad"s, "X\x7f-Bad"s, "X:Bad"s,
        "X(Bad"s, "X\x80-Bad"s, "X-Bad\r\nX-Bad2"s}) {
    headers.push_back({name, "bad"});
  }
  for (const std::string& value :
       {"bad\r\nX-Bad: c"s, "bad\nX-Bad: c"s, "bad\0"s, "bad\x01"s}) {
    headers.push_back({"X-Value", value});
  }
  for (const bool streams : {false, true}) {
    const std::string received =
        Receive([&](const HttpRequest&,
                    const std::shared_ptr<HttpResponder>& responder) {
          if (streams) {
            responder->StartStream(200, headers);
            responder->Finish();
          } else {
            responder->Respond({200, headers, {}});
          }
        });
    EXPECT_THAT(received, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(received, HasSubstr("X-Good: a\tb \x80\r\n"));
    EXPECT_THAT(received, Not(HasSubstr("bad")));
  }
}

}  // namespace
}  // namespace gcw
