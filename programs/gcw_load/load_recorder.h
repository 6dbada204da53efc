#ifndef PROGRAMS_GCW_LOAD_LOAD_RECORDER_H_
#define PROGRAMS_GCW_LOAD_LOAD_RECORDER_H_

#include <mutex>

#include "programs/gcw_load/key_ledger.h"
#include "programs/gcw_load/load_tally.h"

namespace gcw {

// Collects the outcomes of requests. Record() is thread-safe.
class LoadRecorder {
 public:
  // Calls `change(LoadTally&, KeyLedger&)` under the lock.
  template <typename Change>
  void Record(Change change) {
    const std::lock_guard lock(mutex_);
    change(tally_, keys_);
  }

  // May be called only after the end of the run.
  const LoadTally& tally() const { return tally_; }
  const KeyLedger& keys() const { return keys_; }

 private:
  std::mutex mutex_;
  LoadTally tally_;
  KeyLedger keys_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_RECORDER_H_
