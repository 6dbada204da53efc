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
  // Fractions of the ratio and of the slack that a node saves up at most, and
  // that come back in a window. What is saved up before a window adds to what
  // comes back in it, so the sums are at most one. What is left covers sends
  // that arrive late.
  double saved_ratio = 0.4;
  double returned_ratio = 0.5;
  double saved_slack = 0.4;
  double returned_slack = 0.5;
};

// Limits the retries of all nodes without messages between them. Each node has
// a token bucket for each service: its own requests fill it, and its part of
// the slack does over time. A process starts with an empty bucket, so nodes
// that end and start only lose tokens, and need not know what was spent before.
// Without a limit, failing endpoints would multiply the load on the others,
// which would then fail too.
class SharedRetryBudget {
 public:
  SharedRetryBudget(const SharedRetryBudgetSettings& settings, Random random);

  void OnRequest(Time now, const ServiceId& service);
  // Returns true and counts the retry if one more may be sent.
  bool TrySpend(Time now, const ServiceId& service);
  // Gives back a retry of this moment that was not sent.
  void Refund(Time now, const ServiceId& service);
  // Whether one more retry may be possible.
  bool MaySpend(Time now, const ServiceId& service) const;
  // Counts another send of a request that needs no retry of the budget.
  void OnUncounted(const ServiceId& service);
  // Lets time go by. `parts` is into how many parts the nodes divide the slack;
  // absent while this node has none.
  void Update(Time now, std::optional<std::size_t> parts);

  // Returns the budgets of all services that had requests.
  std::vector<RetryBudgetStatus> Report(Time now) const;

 private:
  static constexpr std::size_t kSlotsPerWindow = 50;
  // A slot takes a millisecond at least.
  static constexpr Duration kMinWindow = Duration::Millis(kSlotsPerWindow);
  struct Slot {
    std::int64_t number = -1;
    std::int64_t requests = 0;
    std::int64_t spent = 0;
  };
  using Slots = std::array<Slot, kSlotsPerWindow>;
  struct Account {
    Slots slots;
    double tokens = 0;
    std::int64_t spent = 0;
    std::int64_t denied = 0;
    std::int64_t uncounted = 0;
  };

  std::int64_t SlotNumber(Time now) const;
  // The first slot of the window that ends now.
  std::int64_t OldestSlot(Time now) const;
  Slot& SlotAt(Account& account, std::int64_t number) const;
  Account& AccountOf(Time now, const ServiceId& service);
  // This node's part of the slack.
  double SlackPart() const;
  // Number of tokens that the slack has brought a node that spent none.
  double SavedSlack(Time now) const;
  double Capacity(Time now, const Account& account) const;

  SharedRetryBudgetSettings settings_;
  Random random_;
  std::optional<std::size_t> parts_;
  // Since when this node has a part of the slack.
  Time parts_since_;
  Time updated_;
  std::unordered_map<ServiceId, Account> accounts_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_SHARED_RETRY_BUDGET_H_
