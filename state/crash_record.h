#ifndef STATE_CRASH_RECORD_H_
#define STATE_CRASH_RECORD_H_

#include <compare>
#include <cstdint>
#include <set>

#include "core/core.h"

namespace gcw {

// One run of an endpoint that crashed.
struct CrashId {
  VmId vm;
  Incarnation incarnation;

  friend auto operator<=>(const CrashId&, const CrashId&) = default;
};

// What the key-value service holds about a request, or a part of prompts, under
// which endpoints crashed.
struct CrashRecord {
  // Empty for a whole request.
  PromptPartId part;
  std::set<CrashId> crashes;
  // Number of trials since the last block or proof. A trial is one attempt that
  // the whole fleet grants.
  std::int64_t trials = 0;
  // The last of these trials has no result yet.
  bool trial_is_open = false;
  // Identifies the run of the node that holds it.
  std::int64_t trial_holder = 0;
  // Number of trials that crashed their endpoint.
  std::int64_t failed_trials = 0;
  // The request is refused until then, in milliseconds since the Unix epoch.
  Time blocked_until;

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

}  // namespace gcw

#endif  // STATE_CRASH_RECORD_H_
