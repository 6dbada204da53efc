#ifndef COORDINATION_GATEWAY_SHARED_RETRY_BUDGET_H_
#define COORDINATION_GATEWAY_SHARED_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "state/state.h"

namespace gcw {

struct SharedRetryBudgetSettings {
  // Second sends that all nodes may make to a service in any window: this share
  // of the requests for it, plus `slack`.
  double ratio = 0.2;
  double slack = 100;
  Duration window = Duration::Seconds(10);
  // Part of the budget that is used. The rest covers nodes that restarted and
  // forgot what they spent, and views of the fleet that differ for a while.
  double used_share = 0.8;
};

// Bounds second sends over all nodes without a message between them: each node
// may use the ratio of its own requests and an even part of the slack, so the
// parts add up to less than the whole. Without a bound, endpoints that fail
// multiply the load on the others, which then fail too.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(const SharedRetryBudgetSettings& settings);

  void OnRequest(Time now, const ServiceId& service);
  // Whether one more send may be made; spends it.
  bool Spend(Time now, const ServiceId& service);
  // How many nodes share the slack.
  void SetNodeCount(std::size_t nodes);

 private:
  static constexpr std::size_t kSlots = 10;
  struct Slot {
    std::int64_t number = -1;
    std::int64_t requests = 0;
    std::int64_t spent = 0;
  };
  struct Account {
    std::array<Slot, kSlots + 1> slots;
  };

  std::int64_t SlotNumber(Time now) const;
  Slot& SlotAt(Account& account, std::int64_t number);

  SharedRetryBudgetSettings settings_;
  std::size_t nodes_ = 1;
  std::unordered_map<ServiceId, Account> accounts_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_SHARED_RETRY_BUDGET_H_
