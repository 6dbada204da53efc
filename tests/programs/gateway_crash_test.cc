#include <gtest/gtest.h>

#include <string>

#include "tests/support/gateway_path.h"

namespace gcw {
namespace {

class GatewayCrashTest : public GatewayPathTest {
 protected:
  static constexpr const char* kCrashing = "crashing";

  // Sends the crashing request through both nodes in turn until one knows it
  // and refuses it; returns whether one did.
  bool IsRefusedInTheEnd() {
    int sends = 0;
    return fleet_.WaitUntil([&] {
      const Address& node = ++sends % 2 == 0 ? first_.callers : second_.callers;
      return IsRefusedAsCrashing(node);
    });
  }

  bool IsRefusedAsCrashing(const Address& node) {
    const HttpResponse answer =
        SendRequest(node, "safe", "standin-key", kCrashing);
    return answer.status == 503 &&
           answer.body == RefusalMessage(RefusalKind::kFingerprintBlocked);
  }

  std::int64_t CountCrashes() {
    return boost::json::parse(Get(store_, "/standin/crashes").body)
        .as_object()
        .at("count")
        .as_int64();
  }
};

// Guards against processes that send a request that crashes endpoints to more
// of them each time it comes again.
TEST_F(GatewayCrashTest, ACrashingRequestIsRefusedByAllProcesses) {
  ASSERT_TRUE(ServesBothModels());
  Call(store_, {"POST", "/standin/crash_on?body=crashing", {}, {}});
  ASSERT_TRUE(IsRefusedInTheEnd());
  EXPECT_TRUE(fleet_.WaitUntil([&] {
    return IsRefusedAsCrashing(first_.callers) &&
           IsRefusedAsCrashing(second_.callers);
  }));
  EXPECT_LE(CountCrashes(), 4);
  EXPECT_TRUE(fleet_.WaitUntil(
      [&] { return SendRequest(first_.callers, "safe").status == 200; }));
}

}  // namespace
}  // namespace gcw
