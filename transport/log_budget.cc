#include "transport/log_budget.h"

#include <utility>

namespace gcw {
namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

LogClass LogClassOf(EventKind kind) {
  switch (kind) {
    case EventKind::kRequestRefused:
    case EventKind::kRequestRetried:
    case EventKind::kRequestOutcomeUnknown:
    case EventKind::kTrialPreempted:
    case EventKind::kOnceRefused:
      return LogClass::kTrouble;
    case EventKind::kRequestAdmitted:
    case EventKind::kRequestQueued:
    case EventKind::kRequestDispatched:
    case EventKind::kRequestFinished:
    case EventKind::kRequestCancelled:
    case EventKind::kOnceClaimed:
    case EventKind::kOnceReplayed:
      return LogClass::kSuccess;
    default:
      return LogClass::kBelief;
  }
}

LogBudget::LogBudget(const LogBudgetSettings& settings,
                     Write write,
                     Summary summary)
    : write_(std::move(write)), summary_(std::move(summary)) {
  accounts_[static_cast<std::size_t>(LogClass::kBelief)].limit =
      settings.belief_lines;
  accounts_[static_cast<std::size_t>(LogClass::kTrouble)].limit =
      settings.trouble_lines;
  accounts_[static_cast<std::size_t>(LogClass::kSuccess)].limit =
      settings.success_lines;
}

void LogBudget::Take(const TimelineEvent& event) {
  const std::int64_t second = event.time.physical.millis() / kMillisPerSecond;
  if (second != second_) {
    BeginSecond(second);
  }
  Account& account =
      accounts_[static_cast<std::size_t>(LogClassOf(event.draft.kind))];
  if (account.written >= account.limit) {
    ++account.left_out;
    ++left_out_;
    return;
  }
  ++account.written;
  write_(event);
}

void LogBudget::BeginSecond(std::int64_t second) {
  second_ = second;
  for (std::size_t i = 0; i < kClasses; ++i) {
    Account& account = accounts_[i];
    if (account.left_out > 0) {
      summary_(static_cast<LogClass>(i), account.left_out);
    }
    account.written = 0;
    account.left_out = 0;
  }
}

}  // namespace gcw
