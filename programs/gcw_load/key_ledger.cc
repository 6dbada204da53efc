#include "programs/gcw_load/key_ledger.h"

#include <algorithm>
#include <utility>

namespace gcw {

std::string_view KeyOutcomeName(KeyOutcome outcome) {
  switch (outcome) {
    case KeyOutcome::kAnswered:
      return "answered";
    case KeyOutcome::kReplayed:
      return "replayed";
    case KeyOutcome::kRefused:
      return "refused";
    case KeyOutcome::kUnknown:
      return "unknown";
    case KeyOutcome::kViolation:
      return "violation";
  }
  return "unknown";
}

void KeyLedger::Add(std::string key, KeyOutcome outcome) {
  lines_.push_back({std::move(key), outcome});
}

std::int64_t KeyLedger::Count(KeyOutcome outcome) const {
  return std::count_if(
      lines_.begin(), lines_.end(),
      [outcome](const Line& line) { return line.outcome == outcome; });
}

void KeyLedger::Write(std::ostream& out) const {
  for (const Line& line : lines_) {
    out << line.key << ' ' << KeyOutcomeName(line.outcome) << '\n';
  }
}

}  // namespace gcw
