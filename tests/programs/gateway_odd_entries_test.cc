#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <string>
#include <vector>

#include "tests/support/gateway_path.h"
#include "tests/support/scripted_endpoints.h"

namespace gcw {
namespace {

// Gateways whose list of endpoints has entries of another writer.
class GatewayOddEntriesTest : public GatewayPathTest {
 protected:
  GatewayOddEntriesTest()
      : GatewayPathTest({"--domains", "0", "--plain", "3"}) {}

  // Creates the entry, or replaces the one of this revision.
  Revision Put(const std::string& vm,
               const std::string& value,
               Revision expected = Revision()) {
    StorePut put;
    put.key = std::string(kVmPrefix) + vm;
    put.value = value;
    put.expected = expected;
    const auto answer = Call(store_, MakeStoreRequest(put));
    EXPECT_TRUE(IsOk(answer));
    const StoreReply reply = ReadStoreReply(put, ValueOf(answer));
    const auto* written = std::get_if<StoreWritten>(&reply);
    EXPECT_NE(written, nullptr);
    return written != nullptr ? written->revision : Revision();
  }

  static std::string Entry(const std::string& slots,
                           const std::string& address) {
    return R"({"backend":"desk","zone":"zone-1","lifecycle":"ready",)"
           R"("batch_slots":)" +
           slots + R"(,"address":)" + address + "}";
  }

  bool ServesAll(int requests) {
    for (int i = 0; i < requests; ++i) {
      if (SendRequest(i % 2 == 0 ? first_.callers : second_.callers, "safe")
              .status != 200) {
        return false;
      }
    }
    return true;
  }
};

// Guards against gateways that end, stop to follow the list, do not start, or
// send requests astray because of one odd entry.
TEST_F(GatewayOddEntriesTest, GatewaysFollowAndStartBesideOddEntries) {
  ASSERT_TRUE(fleet_.WaitUntil([this] { return ServesAll(2); }));
  std::atomic<int> runs = 0;
  ScriptedServer claimant([&runs](RawPeer& peer, int) {
    while (!peer.ReadHead().empty()) {
      ++runs;
      peer.Send("HTTP/1.1 500 Odd\r\nContent-Length: 0\r\n\r\n");
    }
  });
  const std::string address =
      "\"127.0.0.1:" + std::to_string(claimant.port()) + "\"";
  const std::string deep(100000, '[');
  const std::vector<std::string> odd = {
      "",
      "null",
      "not JSON",
      deep,
      Entry("6", deep),
      Entry("1000000000000000", address),
      Entry("1e400", address),
      Entry("-1", address),
      Entry("18446744073709551616", address),
      Entry("6", "\"127.0.0.1:70000\""),
      Entry("6", "\"127.0.0.1:0\""),
      Entry("6", "\"127.0.0.1\""),
      Entry("6", "7"),
      Entry("6", std::string("\"\xff\xfe\"")),
      Entry("6", "\"" + std::string(200000, 'x') + "\"")};
  std::vector<Revision> revisions;
  for (std::size_t i = 0; i < odd.size(); ++i) {
    revisions.push_back(Put("odd-" + std::to_string(i), odd[i]));
  }
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    return Get(first_.metrics, "/metrics")
               .body.find("\ngcw_unreadable_entries " +
                          std::to_string(odd.size())) != std::string::npos;
  }));
  EXPECT_TRUE(ServesAll(40));
  first_ = fleet_.StartGateway("gw-1", store_);
  EXPECT_TRUE(fleet_.WaitUntil(
      [this] { return SendRequest(first_.callers, "safe").status == 200; }));
  EXPECT_TRUE(ServesAll(40));
  EXPECT_EQ(runs, 0);

  // All changes together are longer than one answer of the store may be.
  for (int i = 0; i < 12; ++i) {
    Put("long-" + std::to_string(i), std::string(1000000, '['));
  }
  Put("odd-5", Entry("6", address), revisions[5]);
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    SendRequest(first_.callers, "safe");
    return runs > 0;
  })) << "a mended entry does not count";
  fleet_.Signal("gw-1", SIGKILL);
  fleet_.Signal("gw-2", SIGKILL);
}

}  // namespace
}  // namespace gcw
