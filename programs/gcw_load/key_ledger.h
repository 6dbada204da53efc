#ifndef PROGRAMS_GCW_LOAD_KEY_LEDGER_H_
#define PROGRAMS_GCW_LOAD_KEY_LEDGER_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace gcw {

// Final outcome of an idempotency key.
enum class KeyOutcome {
  // The endpoint's answer arrived: the call ran once.
  kAnswered,
  // The stored answer of an earlier send arrived: the call ran once.
  kReplayed,
  // Every send was refused before it ran: the call did not run.
  kRefused,
  // The call ran at most once, and its answer is lost.
  kUnknown,
  // The answer was not complete or belonged to another call.
  kViolation,
};

std::string_view KeyOutcomeName(KeyOutcome outcome);

// The idempotency keys of a run with their outcomes, in order of completion.
class KeyLedger {
 public:
  void Add(std::string key, KeyOutcome outcome);

  std::int64_t Count(KeyOutcome outcome) const;
  // Writes one line for each key: the key, a space, the outcome's name.
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
