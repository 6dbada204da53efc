#ifndef TRANSPORT_LOG_BUDGET_H_
#define TRANSPORT_LOG_BUDGET_H_

#include <array>
#include <cstdint>
#include <functional>

#include "core/core.h"

namespace gcw {

struct LogBudgetSettings {
  // Lines a second for changes of what the node believes or holds.
  std::int64_t belief_lines = 200;
  // For requests that were refused, failed or moved.
  std::int64_t trouble_lines = 40;
  // For all other decisions on requests.
  std::int64_t success_lines = 5;
};

// How much an event matters to whoever explains a failure afterwards.
enum class LogClass { kBelief, kTrouble, kSuccess };

LogClass LogClassOf(EventKind kind);

// Bounds the lines that events of the time line make in a second, each class by
// itself, so that a flood of successes never hides a refusal and logging cannot
// take the processor from requests.
class LogBudget {
 public:
  // Gets the events that are within the budget.
  using Write = std::function<void(const TimelineEvent&)>;
  // Told at the end of a second in which some were left out.
  using Summary = std::function<void(LogClass, std::int64_t left_out)>;

  LogBudget(const LogBudgetSettings& settings, Write write, Summary summary);

  void Take(const TimelineEvent& event);
  std::int64_t left_out() const { return left_out_; }

 private:
  static constexpr std::size_t kClasses = 3;

  struct Account {
    std::int64_t limit = 0;
    std::int64_t written = 0;
    std::int64_t left_out = 0;
  };

  void BeginSecond(std::int64_t second);

  Write write_;
  Summary summary_;
  std::array<Account, kClasses> accounts_;
  std::int64_t second_ = 0;
  std::int64_t left_out_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_LOG_BUDGET_H_
