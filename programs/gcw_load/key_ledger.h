#ifndef PROGRAMS_GCW_LOAD_KEY_LEDGER_H_
#define PROGRAMS_GCW_LOAD_KEY_LEDGER_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace gcw {

// What is known of an idempotency key at the end.
enum class KeyOutcome {
  // The endpoint's answer came: it ran once.
  kAnswered,
  // The answer that was kept of an earlier send came: it ran once.
  kReplayed,
  // Each send was not run: it did not run.
  kRefused,
  // It ran at most once, and its answer is lost.
  kUnknown,
  // An answer came that is not whole or not its own.
  kViolation,
};

std::string_view KeyOutcomeName(KeyOutcome outcome);

// The keys of a run with their outcomes, in order of their ends.
class KeyLedger {
 public:
  void Add(std::string key, KeyOutcome outcome);

  std::int64_t Count(KeyOutcome outcome) const;
  // One line for each key: the key, a space, the outcome's name.
  void Write(std::ostream& out) const;

 private:
  struct Line {
    std::string key;
    KeyOutcome outcome;
  };

  std::vector<Line> lines_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_KEY_LEDGER_H_
