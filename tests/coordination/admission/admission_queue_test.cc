#include "coordination/admission/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace gcw {
namespace {

constexpr Time kLateDeadline = Time::FromMillis(1000000);

WaitingRequest MakeRequest(const std::string& contract,
                           int number,
                           std::int64_t rank = 0,
                           double weight = 1,
                           std::int64_t cost = 100) {
  return {.id = RequestId(contract + "-" + std::to_string(number)),
          .contract = ContractId(contract),
          .rank = Rank(rank),
          .weight = weight,
          .cost = cost,
          .wait_deadline = kLateDeadline};
}

TEST(AdmissionQueueTest, ServesLowerRanksFirst) {
  AdmissionQueue queue(10, 512);
  queue.Push(MakeRequest("low", 1, 5));
  queue.Push(MakeRequest("high", 1, 1));
  EXPECT_EQ(queue.Pop()->contract, ContractId("high"));
  EXPECT_EQ(queue.Pop()->contract, ContractId("low"));
  EXPECT_FALSE(queue.Pop());
}

TEST(AdmissionQueueTest, SharesTokensByWeight) {
  AdmissionQueue queue(1000, 512);
  for (int i = 0; i < 400; ++i) {
    queue.Push(MakeRequest("small", i, 0, 1, 100));
    queue.Push(MakeRequest("large", i, 0, 3, 300));
  }
  std::map<ContractId, std::int64_t> tokens;
  for (int i = 0; i < 300; ++i) {
    const auto next = queue.Pop();
    tokens[next->contract] += next->cost;
  }
  const double ratio = static_cast<double>(tokens[ContractId("large")]) /
                       static_cast<double>(tokens[ContractId("small")]);
  EXPECT_NEAR(ratio, 3, 0.2);
}

// Guards against refusals of one team's requests because another team's flood
// fills the queue, as in a queue that refuses the newest request.
TEST(AdmissionQueueTest, FullQueueDropsNewestOfLargestContract) {
  AdmissionQueue queue(10, 512);
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(queue.Push(MakeRequest("flood", i)));
  }
  EXPECT_EQ(queue.Push(MakeRequest("quiet", 1))->id, RequestId("flood-9"));
  EXPECT_EQ(queue.Push(MakeRequest("flood", 10))->id, RequestId("flood-10"));
  EXPECT_EQ(queue.size(), 10);
}

TEST(AdmissionQueueTest, TokensAheadCountsOnlyEarlierServed) {
  AdmissionQueue queue(100, 512);
  for (int i = 0; i < 50; ++i) {
    queue.Push(MakeRequest("flood", i));
  }
  EXPECT_NEAR(queue.TokensAhead(MakeRequest("quiet", 1)), 100, 1);
  EXPECT_NEAR(queue.TokensAhead(MakeRequest("flood", 51)), 5000, 1);
  EXPECT_NEAR(queue.TokensAhead(MakeRequest("low", 1, 9)), 5000, 1);
  EXPECT_NEAR(queue.TokensAhead(MakeRequest("high", 1, -1)), 0, 1);
}

RC_GTEST_PROP(AdmissionQueueProperty, ReturnsEveryRequestOnce, ()) {
  AdmissionQueue queue(20, 64);
  std::map<RequestId, int> seen;
  int pushed = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
  const auto count = [&seen](const std::vector<WaitingRequest>& taken) {
    for (const WaitingRequest& request : taken) {
      ++seen[request.id];
    }
  };
  for (const int step : steps) {
    if (step < 8) {
      auto request = MakeRequest("c" + std::to_string(step % 4), pushed++,
                                 step % 3, step + 1, 40 * step + 1);
      request.wait_deadline = Time::FromMillis(pushed);
      if (const auto dropped = queue.Push(request)) {
        ++seen[dropped->id];
      }
    } else if (step < 10) {
      if (const auto next = queue.Pop()) {
        ++seen[next->id];
      }
    } else if (step == 10) {
      count(queue.TakeContract(ContractId("c1")));
    } else {
      count(queue.TakeExpired(Time::FromMillis(pushed - 10)));
    }
    RC_ASSERT(queue.size() <= 20);
  }
  while (const auto next = queue.Pop()) {
    ++seen[next->id];
  }
  RC_ASSERT(std::ssize(seen) == pushed);
  for (const auto& [id, times] : seen) {
    RC_ASSERT(times == 1);
  }
}

}  // namespace
}  // namespace gcw
