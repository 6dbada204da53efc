#include "coordination/gateway/shared_retry_budget.h"

#include <algorithm>

namespace gcw {

SharedRetryBudget::SharedRetryBudget(const SharedRetryBudgetSettings& settings)
    : settings_(settings) {}

std::int64_t SharedRetryBudget::SlotNumber(Time now) const {
  return now.millis() * static_cast<std::int64_t>(kSlots) /
         settings_.window.millis();
}

SharedRetryBudget::Slot& SharedRetryBudget::SlotAt(Account& account,
                                                   std::int64_t number) {
  Slot& slot = account.slots[static_cast<std::size_t>(
      number % static_cast<std::int64_t>(account.slots.size()))];
  if (slot.number != number) {
    slot = Slot{number, 0, 0};
  }
  return slot;
}

void SharedRetryBudget::OnRequest(Time now, const ServiceId& service) {
  ++SlotAt(accounts_[service], SlotNumber(now)).requests;
}

bool SharedRetryBudget::TrySpend(Time now, const ServiceId& service) {
  if (!MaySpend(now, service)) {
    return false;
  }
  ++SlotAt(accounts_[service], SlotNumber(now)).spent;
  return true;
}

bool SharedRetryBudget::MaySpend(Time now, const ServiceId& service) const {
  const auto account = accounts_.find(service);
  const Slots slots =
      account == accounts_.end() ? Slots() : account->second.slots;
  const std::int64_t current = SlotNumber(now);
  // Retries are counted over one slot more than requests, so that no window
  // that begins within a slot contains more retries than allowed.
  const std::int64_t oldest = current - static_cast<std::int64_t>(kSlots);
  std::int64_t requests = 0;
  std::int64_t spent = 0;
  for (const Slot& slot : slots) {
    if (slot.number >= oldest) {
      spent += slot.spent;
      requests += slot.number > oldest ? slot.requests : 0;
    }
  }
  const double allowed = settings_.usable_fraction *
                         (settings_.ratio * static_cast<double>(requests) +
                          settings_.slack / static_cast<double>(node_count_));
  return static_cast<double>(spent + 1) <= allowed;
}

void SharedRetryBudget::SetNodeCount(std::size_t nodes) {
  node_count_ = std::max<std::size_t>(1, nodes);
}

}  // namespace gcw
