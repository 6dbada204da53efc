#include <gtest/gtest.h>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(100000);

// Guards against two controllers that order the same engines at the same time.
// The service drops a controller's lease early, or is restored, and another
// node takes the role while the first still believes that it holds it; the new
// controller must wait as long as that can last.
TEST(OrderSenderTest, NewControllerWaitsOutItsPredecessor) {
  const OrderSettings settings;
  OrderSender sender(settings);
  const Time valid = kStart + Duration::Seconds(3600);
  sender.OnRoleHeld(kStart, FencingToken(7), valid);
  const Time first = kStart + settings.takeover_wait;
  EXPECT_FALSE(sender.MaySend(first - Duration::Millis(1)));
  EXPECT_TRUE(sender.MaySend(first));
  // A renewal does not restart the wait; a new fencing token does.
  sender.OnRoleHeld(first, FencingToken(7), valid);
  EXPECT_TRUE(sender.MaySend(first));
  sender.OnRoleHeld(first, FencingToken(8), valid);
  EXPECT_FALSE(sender.MaySend(first));
}

// Guards against an order that takes effect after another node holds the role.
// The order is sent shortly before the lease ends and arrives late; the time
// that it may be in transit must be kept free before the end.
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
