#ifndef COORDINATION_GATEWAY_SHARED_RETRY_BUDGET_H_
#define COORDINATION_GATEWAY_SHARED_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/gateway/retry_budget_status.h"
#include "state/state.h"

namespace gcw {

struct SharedRetryBudgetSettings {
  // Retries that all nodes together may send to a service in any window: this
  // ratio of the service's requests, plus `slack`.
  double ratio = 0.2;
  double slack = 100;
  Duration window = Duration::Seconds(10);
  // Fraction of the budget that is used. The rest covers nodes that restarted
  // and forgot what they spent, and views of the fleet that differ for a while.
  double usable_fraction = 0.8;
};

// Limits the retries of all nodes without messages between them: each node may
// use the ratio of its own requests and an equal part of the slack, so that the
// parts add up to less than the whole. Without a limit, failing endpoints would
// multiply the load on the others, which would then fail too.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(const SharedRetryBudgetSettings& settings);

  void OnRequest(Time now, const ServiceId& service);
  // Returns true and counts the retry if one more may be sent.
  bool TrySpend(Time now, const ServiceId& service);
  // Whether one more retry may be sent.
  bool MaySpend(Time now, const ServiceId& service) const;
  // Counts another send of a request that needs no retry of the budget.
  void OnUncounted(const ServiceId& service);
  // Sets into how many parts the nodes divide the slack; absent while this node
  // has no part of it.
  void SetSlackParts(std::optional<std::size_t> parts) { parts_ = parts; }

  // Returns the budgets of all services that had requests.
  std::vector<RetryBudgetStatus> Report(Time now) const;

 private:
  static constexpr std::size_t kSlots = 10;
  struct Slot {
    std::int64_t number = -1;
    std::int64_t requests = 0;
    std::int64_t spent = 0;
  };
  using Slots = std::array<Slot, kSlots + 1>;
  struct Account {
    Slots slots;
    std::int64_t spent = 0;
    std::int64_t denied = 0;
    std::int64_t uncounted = 0;
  };
  struct Window {
    std::int64_t requests = 0;
    std::int64_t spent = 0;
    // Number of retries that are allowed in the window.
    double allowed = 0;
  };

  std::int64_t SlotNumber(Time now) const;
  Slot& SlotAt(Account& account, std::int64_t number);
  Window LastWindow(Time now, const Slots& slots) const;

  SharedRetryBudgetSettings settings_;
  std::optional<std::size_t> parts_;
  std::unordered_map<ServiceId, Account> accounts_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_SHARED_RETRY_BUDGET_H_
