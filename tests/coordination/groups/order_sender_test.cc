#include <gtest/gtest.h>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(100000);

// Symptom: two keepers order the same engines about at once.
// Events: the service drops a keeper's lease early, or is restored; another
// node takes the role while the first still believes in it.
// Cause: the new keeper did not wait as long as that belief may last.
TEST(OrderSenderTest, NewKeeperWaitsOutItsPredecessor) {
  const OrderSettings settings;
  OrderSender sender(settings);
  const Time valid = kStart + Duration::Seconds(3600);
  sender.OnRoleHeld(kStart, FencingToken(7), valid);
  const Time first = kStart + settings.takeover_wait;
  EXPECT_FALSE(sender.MaySend(first - Duration::Millis(1)));
  EXPECT_TRUE(sender.MaySend(first));
  // Renewing is no new start, but a new number is.
  sender.OnRoleHeld(first, FencingToken(7), valid);
  EXPECT_TRUE(sender.MaySend(first));
  sender.OnRoleHeld(first, FencingToken(8), valid);
  EXPECT_FALSE(sender.MaySend(first));
}

// Symptom: an order takes effect after another node holds the role.
// Events: the order leaves shortly before the lease ends and arrives late.
// Cause: the time that it may be under way was not kept free before the end.
TEST(OrderSenderTest, OrdersAreOverBeforeTheLeaseEnds) {
  const OrderSettings settings;
  OrderSender sender(settings);
  const Time valid = kStart + Duration::Seconds(20);
  sender.OnRoleHeld(kStart, FencingToken(7), valid);
  const Time last = valid - settings.timeout - settings.margin;
  EXPECT_TRUE(sender.MaySend(last - Duration::Millis(1)));
  EXPECT_FALSE(sender.MaySend(last));
  const SendOrder send =
      sender.Send(OrderId(1), VmId("v"), Address("a"), EngineOrder());
  EXPECT_EQ(send.send_before, last);
  EXPECT_EQ(send.order.fence, FencingToken(7));
  EXPECT_TRUE(sender.IsPending(last + settings.timeout - Duration::Millis(1),
                               VmId("v")));
  EXPECT_FALSE(sender.IsPending(valid, VmId("v")));
}

}  // namespace
}  // namespace gcw
