#include "coordination/requests/retry_budget.h"

#include <algorithm>

namespace gcw {

std::string_view RetryVerdictName(RetryVerdict verdict) {
  switch (verdict) {
    case RetryVerdict::kAllowed:
      return "allowed";
    case RetryVerdict::kNotRepeatable:
      return "not_repeatable";
    case RetryVerdict::kTooManyAttempts:
      return "too_many_attempts";
    case RetryVerdict::kDeadline:
      return "deadline";
    case RetryVerdict::kContractBudget:
      return "contract_budget";
    case RetryVerdict::kNodeBudget:
      return "node_budget";
  }
  return "unknown";
}

void RetryBudget::Refill(Time now,
                         double per_second,
                         double burst,
                         Account& account) {
  const auto millis = static_cast<double>((now - account.refilled).millis());
  account.balance = std::min(
      burst, account.balance + std::max(0.0, millis) * per_second / 1000);
  account.refilled = std::max(now, account.refilled);
}

RetryBudget::Account& RetryBudget::AccountOf(Time now,
                                             const ContractId& contract) {
  const auto [found, is_new] = contracts_.try_emplace(
      contract, Account{.balance = settings_.contract_burst, .refilled = now});
  Account& account = found->second;
  Refill(now, settings_.contract_per_second, settings_.contract_burst, account);
  if (!node_) {
    node_ = Account{.balance = 0, .refilled = now};
  }
  Refill(now, settings_.node_per_second, settings_.node_burst, *node_);
  return account;
}

void RetryBudget::OnFirstAttempt(Time now, const ContractId& contract) {
  Account& account = AccountOf(now, contract);
  account.balance = std::min(settings_.contract_burst,
                             account.balance + settings_.contract_share);
  node_->balance =
      std::min(settings_.node_burst, node_->balance + settings_.node_share);
}

RetryVerdict RetryBudget::TrySpend(Time now,
                                   const RequestProfile& profile,
                                   const FailedAttempt& failed) {
  if (!profile.repeatable && !failed.was_not_run) {
    return RetryVerdict::kNotRepeatable;
  }
  if (failed.attempts >= settings_.max_attempts) {
    return RetryVerdict::kTooManyAttempts;
  }
  if (now + failed.expected_first_byte >= profile.deadline) {
    return RetryVerdict::kDeadline;
  }
  Account& account = AccountOf(now, profile.contract);
  if (account.balance < 1) {
    return RetryVerdict::kContractBudget;
  }
  if (node_->balance < 1) {
    return RetryVerdict::kNodeBudget;
  }
  account.balance -= 1;
  node_->balance -= 1;
  return RetryVerdict::kAllowed;
}

void RetryBudget::Tick(Time now) {
  if (now < next_clean_up_) {
    return;
  }
  next_clean_up_ = now + settings_.idle_timeout;
  std::erase_if(contracts_, [this, now](const auto& entry) {
    return now - entry.second.refilled >= settings_.idle_timeout;
  });
}

}  // namespace gcw
