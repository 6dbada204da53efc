#ifndef COORDINATION_GROUPS_ORDER_SENDER_H_
#define COORDINATION_GROUPS_ORDER_SENDER_H_

#include <map>
#include <optional>
#include <variant>

#include "state/state.h"

namespace gcw {

// Names an order until its reply arrives.
using OrderId = StrongNumber<struct OrderIdTag>;

// Sends an order to a VM's engine.
struct SendOrder {
  OrderId id;
  VmId vm;
  Address address;
  EngineOrder order;
  // The transport looks at the clock right before it writes the order, and
  // drops it from this time on. The clock counts time suspended.
  Time send_before;
  // After this long the transport closes the connection; it is also the
  // connection's TCP_USER_TIMEOUT, so that the kernel resends no longer.
  Duration timeout;
};

// The order was dropped unsent, since `send_before` had passed.
struct OrderWithheld {};
// No answer: the order may have been executed or may still be.
struct OrderNoAnswer {};

using OrderReply = std::variant<EngineOrderAccepted,
                                EngineOrderStale,
                                EngineOrderBusy,
                                OrderWithheld,
                                OrderNoAnswer>;

// Settings of the order sender.
struct OrderSettings {
  // From writing an order to its last possible effect at the engine.
  Duration timeout = Duration::Seconds(2);
  // Covers clock drift over one lease and the step from the check of
  // `send_before` to the write.
  Duration margin = Duration::Seconds(1);
  // A new keeper sends nothing for this long: as long as a predecessor whose
  // lease the service dropped early may still believe in it. Not less than the
  // lease's time to live.
  Duration takeover_wait = Duration::Seconds(15);
};

// Decides when an order may leave. An engine that ignores fencing numbers obeys
// whoever speaks last, so an order must be over before another node can hold
// the role.
class OrderSender {
 public:
  explicit OrderSender(OrderSettings settings);

  // The role was acquired, or its lease renewed.
  void OnRoleHeld(Time now, FencingToken fence, Time valid_until);
  void OnRoleLost();

  // Whether any order may leave now.
  bool MaySend(Time now) const;
  // Whether an order to this VM is not yet over.
  bool IsPending(Time now, const VmId& vm) const;
  // What this node last ordered the VM is over since then; only an answer to a
  // later probe tells what came of it.
  Time SettledAt(const VmId& vm) const;

  // Where `MaySend` and not `IsPending`; `id` must be new.
  SendOrder Send(OrderId id,
                 const VmId& vm,
                 Address address,
                 EngineOrder order);

  // Returns the VM; nothing for orders unknown or given up.
  std::optional<VmId> OnReply(Time now, OrderId id, const OrderReply& reply);

  std::optional<FencingToken> fence() const { return fence_; }
  // From then on no order of a predecessor can take effect.
  Time first_order() const { return first_order_; }

 private:
  struct Pending {
    OrderId id;
    Time over;
  };

  OrderSettings settings_;
  std::optional<FencingToken> fence_;
  Time valid_until_;
  Time first_order_;
  std::map<VmId, Pending> pending_;
  std::map<VmId, Time> settled_;
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_ORDER_SENDER_H_
