#include "coordination/groups/order_sender.h"

#include <algorithm>
#include <utility>

namespace gcw {

OrderSender::OrderSender(OrderSettings settings) : settings_(settings) {}

void OrderSender::OnRoleHeld(Time now, FencingToken fence, Time valid_until) {
  if (fence_ != fence) {
    fence_ = fence;
    earliest_order_time_ = now + settings_.takeover_wait;
  }
  valid_until_ = valid_until;
}

void OrderSender::OnRoleLost() {
  fence_.reset();
}

bool OrderSender::MaySend(Time now) const {
  return fence_ && now >= earliest_order_time_ &&
         now < valid_until_ - settings_.timeout - settings_.margin;
}

bool OrderSender::IsPending(Time now, const VmId& vm) const {
  const auto it = pending_.find(vm);
  return it != pending_.end() && now < it->second.settles_at;
}

Time OrderSender::SettledAt(const VmId& vm) const {
  const auto pending = pending_.find(vm);
  if (pending != pending_.end()) {
    return pending->second.settles_at;
  }
  const auto it = settled_at_.find(vm);
  return it == settled_at_.end() ? Time() : it->second;
}

SendOrder OrderSender::Send(OrderId id,
                            const VmId& vm,
                            Address address,
                            EngineOrder order) {
  order.fence = *fence_;
  // The order is written before `send_before` and is over at most `timeout`
  // later.
  const Time send_before = valid_until_ - settings_.timeout - settings_.margin;
  pending_[vm] = PendingOrder{id, send_before + settings_.timeout};
  return SendOrder{id,
                   vm,
                   std::move(address),
                   std::move(order),
                   send_before,
                   settings_.timeout};
}

std::optional<VmId> OrderSender::OnReply(Time now,
                                         OrderId id,
                                         const OrderReply& reply) {
  const auto it =
      std::find_if(pending_.begin(), pending_.end(),
                   [&](auto& item) { return item.second.id == id; });
  if (it == pending_.end()) {
    return std::nullopt;
  }
  const VmId vm = it->first;
  if (std::holds_alternative<OrderNoAnswer>(reply)) {
    // The transport gave up on the order, but its bytes may still be in
    // transit.
    it->second.settles_at =
        std::min(it->second.settles_at, now + settings_.margin);
    return vm;
  }
  pending_.erase(it);
  settled_at_[vm] = now;
  return vm;
}

}  // namespace gcw
