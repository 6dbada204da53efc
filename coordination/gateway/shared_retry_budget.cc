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
  Account& account = accounts_[service];
  if (!MaySpend(now, service)) {
    ++account.denied;
    return false;
  }
  ++account.spent;
  ++SlotAt(account, SlotNumber(now)).spent;
  return true;
}

void SharedRetryBudget::OnUncounted(const ServiceId& service) {
  ++accounts_[service].uncounted;
}

bool SharedRetryBudget::MaySpend(Time now, const ServiceId& service) const {
  const auto account = accounts_.find(service);
  const Window window = LastWindow(
      now, account == accounts_.end() ? Slots() : account->second.slots);
  return static_cast<double>(window.spent + 1) <= window.allowed;
}

SharedRetryBudget::Window SharedRetryBudget::LastWindow(
    Time now,
    const Slots& slots) const {
  const std::int64_t current = SlotNumber(now);
  // Retries are counted over one slot more than requests, so that no window
  // that begins within a slot contains more retries than allowed.
  const std::int64_t oldest = current - static_cast<std::int64_t>(kSlots);
  Window window;
  for (const Slot& slot : slots) {
    if (slot.number >= oldest) {
      window.spent += slot.spent;
      window.requests += slot.number > oldest ? slot.requests : 0;
    }
  }
  const double slack =
      parts_ ? settings_.slack / static_cast<double>(*parts_) : 0;
  window.allowed =
      settings_.usable_fraction *
      (settings_.ratio * static_cast<double>(window.requests) + slack);
  return window;
}

std::vector<RetryBudgetStatus> SharedRetryBudget::Report(Time now) const {
  std::vector<RetryBudgetStatus> report;
  report.reserve(accounts_.size());
  for (const auto& [service, account] : accounts_) {
    const Window window = LastWindow(now, account.slots);
    report.push_back({service, window.requests, window.spent, window.allowed,
                      account.spent, account.denied, account.uncounted});
  }
  return report;
}

}  // namespace gcw
