#ifndef COORDINATION_GROUPS_ORDER_SENDER_H_
#define COORDINATION_GROUPS_ORDER_SENDER_H_

#include <map>
#include <optional>
#include <variant>

#include "state/state.h"

namespace gcw {

// Identifies an order until its reply arrives.
using OrderId = StrongNumber<struct OrderIdTag>;

// Sends an order to a VM's engine.
struct SendOrder {
  OrderId id;
  VmId vm;
  Address address;
  EngineOrder order;
  // The transport checks the clock immediately before it writes the order, and
  // drops the order from this time on. The clock includes time spent suspended.
  Time send_before;
  // The transport closes the connection after this time. It is also the
  // connection's TCP_USER_TIMEOUT, so that the kernel retransmits no longer.
  Duration timeout;
};

// The order was dropped unsent because `send_before` had passed.
struct OrderWithheld {};
// No answer: the order may have been executed or may still be.
struct OrderNoAnswer {};

using OrderReply = std::variant<EngineOrderAccepted,
                                EngineOrderStale,
                                EngineOrderBusy,
                                OrderWithheld,
                                OrderNoAnswer>;

// Settings of `OrderSender`.
struct OrderSettings {
  // Maximum time from writing an order to its last possible effect at the
  // engine.
  Duration timeout = Duration::Seconds(2);
  // Covers the clock drift over one lease and the delay between the check of
  // `send_before` and the write.
  Duration margin = Duration::Seconds(1);
  // A new controller sends nothing for this long, because a predecessor whose
  // lease the service dropped early may still believe that it holds the role.
  // Not less than the lease's time to live.
  Duration takeover_wait = Duration::Seconds(15);
};

// Decides when an order may be sent. An engine that ignores fencing tokens
// obeys whichever controller ordered it last, so an order must be over, with no
// effect still to come, before another node can hold the role.
class OrderSender {
 public:
  explicit OrderSender(OrderSettings settings);

  // The role was acquired, or its lease was renewed.
  void OnRoleHeld(Time now, FencingToken fence, Time valid_until);
  void OnRoleLost();

  // True if orders may be sent now.
  bool MaySend(Time now) const;
  // True if an order to this VM may still take effect.
  bool IsPending(Time now, const VmId& vm) const;
  // Returns when the last order to the VM is over. Only a probe sent after that
  // shows its result.
  Time SettledAt(const VmId& vm) const;

  // Requires `MaySend` and not `IsPending`; `id` must be new.
  SendOrder Send(OrderId id,
                 const VmId& vm,
                 Address address,
                 EngineOrder order);

  // Returns the VM, or nullopt if the order is unknown or was given up.
  std::optional<VmId> OnReply(Time now, OrderId id, const OrderReply& reply);

  std::optional<FencingToken> fence() const { return fence_; }
  // From this time on no order of a predecessor can take effect.
  Time earliest_order_time() const { return earliest_order_time_; }

 private:
  struct PendingOrder {
    OrderId id;
    Time settles_at;
  };

  OrderSettings settings_;
  std::optional<FencingToken> fence_;
  Time valid_until_;
  Time earliest_order_time_;
  std::map<VmId, PendingOrder> pending_;
  std::map<VmId, Time> settled_at_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_ORDER_SENDER_H_
