#ifndef COORDINATION_REQUESTS_RETRY_BUDGET_H_
#define COORDINATION_REQUESTS_RETRY_BUDGET_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "coordination/requests/request.h"

namespace gcw {

struct RetryBudgetSettings {
  // Retries that each first attempt earns, for its contract and for the node.
  double contract_share = 0.2;
  double node_share = 0.1;
  // Retries that may be saved up.
  double contract_burst = 10;
  double node_burst = 50;
  // Earned without traffic, so that rare requests can be retried too.
  double contract_per_second = 0.1;
  double node_per_second = 1;
  // Attempts of one request at most.
  std::int64_t max_attempts = 3;
  // Contracts idle for this long are forgotten; by then they are full again.
  Duration forget_after = Duration::Seconds(120);
};

enum class RetryVerdict {
  kAllowed,
  // A byte may have left and the request may not run twice.
  kNotRepeatable,
  kTooManyAttempts,
  // It would not be answered before its deadline.
  kDeadline,
  kContractBudget,
  kNodeBudget,
};

std::string_view RetryVerdictName(RetryVerdict verdict);

// What is known when an attempt has failed.
struct FailedAttempt {
  // Attempts made so far, with this one.
  std::int64_t attempts = 1;
  // No byte of the request left this node, or the endpoint itself refused it.
  bool was_not_run = false;
  // Expected time to a first byte from the next endpoint.
  Duration expected_first_byte = Duration();
};

// Limits extra work by retries. Without it, endpoints that fail multiply the
// load on those that are left, which then fail too, and the overload keeps
// itself going after its cause is gone. A budget is a share of first attempts,
// so that the load is at most 1 + `node_share` times the callers' demand.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings);

  // A first attempt was made.
  void OnFirstAttempt(Time now, const ContractId& contract);
  // Whether the request may be tried again, and spends the budget if so.
  RetryVerdict Spend(Time now,
                     const RequestProfile& profile,
                     const FailedAttempt& failed);
  // Forgets contracts that are idle.
  void Tick(Time now);

  double node_balance() const { return node_.balance; }
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
  Account node_;
  std::unordered_map<ContractId, Account> contracts_;
  Time next_clean_up_;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_RETRY_BUDGET_H_
