#ifndef COORDINATION_REQUESTS_RETRY_BUDGET_H_
#define COORDINATION_REQUESTS_RETRY_BUDGET_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "coordination/requests/request.h"

namespace gcw {

struct RetryBudgetSettings {
  // Retries earned by each first attempt, for its contract and for the node.
  double contract_share = 0.2;
  double node_share = 0.1;
  // Maximum number of saved retries.
  double contract_burst = 10;
  double node_burst = 50;
  // Retries earned per second without traffic, so that rare requests can be
  // retried too.
  double contract_per_second = 0.1;
  double node_per_second = 1;
  // Maximum number of attempts of one request.
  std::int64_t max_attempts = 3;
  // Contracts that are idle for this time are dropped. Their budgets are full
  // again by then.
  Duration idle_timeout = Duration::Seconds(120);
};

enum class RetryVerdict {
  kAllowed,
  // A byte may have been written, and the request may not run twice.
  kNotRepeatable,
  kTooManyAttempts,
  // The retry would not be answered before the deadline.
  kDeadline,
  kContractBudget,
  kNodeBudget,
};

std::string_view RetryVerdictName(RetryVerdict verdict);

// Describes a failed attempt to `RetryBudget`.
struct FailedAttempt {
  // Number of attempts so far, including this one.
  std::int64_t attempts = 1;
  // True if no byte of the request was written or the endpoint refused to run
  // it.
  bool was_not_run = false;
  // Expected time to first byte at the next endpoint.
  Duration expected_first_byte = Duration();
};

// Limits the load that retries add. Without a limit, failing endpoints multiply
// the load on the remaining ones until these fail too, and the overload
// continues after its cause is gone. The budget is a share of first attempts,
// so the load is at most 1 + `node_share` times the callers' demand. The node's
// budget starts empty, so that nodes that start again and again send no more.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings)
      : settings_(settings) {}

  // Earns budget for a first attempt.
  void OnFirstAttempt(Time now, const ContractId& contract);
  // Decides whether the request may be retried, and takes one retry from the
  // budgets if so.
  RetryVerdict TrySpend(Time now,
                        const RequestProfile& profile,
                        const FailedAttempt& failed);
  // Drops idle contracts.
  void Tick(Time now);

  double node_balance() const { return node_ ? node_->balance : 0; }
  std::size_t known_contracts() const { return contracts_.size(); }

 private:
  struct Account {
    double balance = 0;
    Time refilled;
  };

  Account& AccountOf(Time now, const ContractId& contract);
  static void Refill(Time now,
                     double per_second,
                     double burst,
                     Account& account);

  RetryBudgetSettings settings_;
  // Filled from the first attempt on.
  std::optional<Account> node_;
  std::unordered_map<ContractId, Account> contracts_;
  Time next_clean_up_;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_RETRY_BUDGET_H_
