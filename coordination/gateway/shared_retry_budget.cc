#include "coordination/gateway/shared_retry_budget.h"

#include <algorithm>
#include <utility>

namespace gcw {

SharedRetryBudget::SharedRetryBudget(const SharedRetryBudgetSettings& settings,
                                     Random random)
    : settings_(settings), random_(std::move(random)) {
  settings_.window = std::max(settings_.window, kMinWindow);
}

std::int64_t SharedRetryBudget::SlotNumber(Time now) const {
  return now.millis() * static_cast<std::int64_t>(kSlotsPerWindow) /
         settings_.window.millis();
}

SharedRetryBudget::Slot& SharedRetryBudget::SlotAt(Account& account,
                                                   std::int64_t number) const {
  Slot& slot = account.slots[static_cast<std::size_t>(
      number % static_cast<std::int64_t>(account.slots.size()))];
  if (slot.number != number) {
    slot = Slot{number, 0, 0};
  }
  return slot;
}

SharedRetryBudget::Account& SharedRetryBudget::AccountOf(
    Time now,
    const ServiceId& service) {
  const auto [found, is_new] = accounts_.try_emplace(service);
  if (is_new) {
    found->second.tokens = SavedSlack(now);
  }
  return found->second;
}

double SharedRetryBudget::SlackPart() const {
  return parts_ ? settings_.slack / static_cast<double>(*parts_) : 0;
}

double SharedRetryBudget::SavedSlack(Time now) const {
  const double windows = static_cast<double>((now - parts_since_).millis()) /
                         static_cast<double>(settings_.window.millis());
  return SlackPart() *
         std::min(settings_.saved_slack, settings_.returned_slack * windows);
}

std::int64_t SharedRetryBudget::OldestSlot(Time now) const {
  return SlotNumber(now) - static_cast<std::int64_t>(kSlotsPerWindow) + 1;
}

double SharedRetryBudget::Capacity(Time now, const Account& account) const {
  const std::int64_t oldest = OldestSlot(now);
  std::int64_t requests = 0;
  for (const Slot& slot : account.slots) {
    requests += slot.number >= oldest ? slot.requests : 0;
  }
  return settings_.saved_ratio * settings_.ratio *
             static_cast<double>(requests) +
         settings_.saved_slack * SlackPart();
}

void SharedRetryBudget::OnRequest(Time now, const ServiceId& service) {
  Account& account = AccountOf(now, service);
  ++SlotAt(account, SlotNumber(now)).requests;
  account.tokens += settings_.returned_ratio * settings_.ratio;
}

bool SharedRetryBudget::TrySpend(Time now, const ServiceId& service) {
  Account& account = AccountOf(now, service);
  const double capacity = Capacity(now, account);
  account.tokens = std::min(account.tokens, capacity);
  bool may_spend = account.tokens >= 1;
  if (may_spend) {
    account.tokens -= 1;
  } else if (capacity < 1) {
    // A bucket that never holds a whole token would never allow a retry, so the
    // part of one that it holds is the chance of one.
    may_spend = DrawUnit(random_) < std::exchange(account.tokens, 0);
  }
  if (!may_spend) {
    ++account.denied;
    return false;
  }
  ++account.spent;
  ++SlotAt(account, SlotNumber(now)).spent;
  return true;
}

void SharedRetryBudget::Refund(Time now, const ServiceId& service) {
  Account& account = accounts_.at(service);
  account.tokens += 1;
  --account.spent;
  --SlotAt(account, SlotNumber(now)).spent;
}

bool SharedRetryBudget::MaySpend(Time now, const ServiceId& service) const {
  const auto account = accounts_.find(service);
  if (account == accounts_.end()) {
    return SavedSlack(now) > 0;
  }
  return account->second.tokens >= 1 ||
         (account->second.tokens > 0 && Capacity(now, account->second) < 1);
}

void SharedRetryBudget::OnUncounted(const ServiceId& service) {
  ++accounts_[service].uncounted;
}

void SharedRetryBudget::Update(Time now, std::optional<std::size_t> parts) {
  if (!parts_ && parts) {
    parts_since_ = now;
  }
  // The slack of a time that is over for other nodes too does not come back.
  const Duration elapsed =
      std::min(now - updated_, settings_.window / kSlotsPerWindow);
  updated_ = now;
  const double refill = settings_.returned_slack * SlackPart() *
                        static_cast<double>(elapsed.millis()) /
                        static_cast<double>(settings_.window.millis());
  parts_ = parts;
  for (auto& [service, account] : accounts_) {
    account.tokens = std::min(account.tokens + refill, Capacity(now, account));
  }
}

std::vector<RetryBudgetStatus> SharedRetryBudget::Report(Time now) const {
  std::vector<RetryBudgetStatus> report;
  report.reserve(accounts_.size());
  const std::int64_t oldest = OldestSlot(now);
  for (const auto& [service, account] : accounts_) {
    RetryBudgetStatus status;
    status.service = service;
    for (const Slot& slot : account.slots) {
      status.requests += slot.number >= oldest ? slot.requests : 0;
      status.spent += slot.number >= oldest ? slot.spent : 0;
    }
    status.capacity = Capacity(now, account);
    status.available = std::min(account.tokens, status.capacity);
    status.total_spent = account.spent;
    status.total_denied = account.denied;
    status.total_uncounted = account.uncounted;
    report.push_back(std::move(status));
  }
  return report;
}

}  // namespace gcw
