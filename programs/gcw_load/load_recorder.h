#ifndef PROGRAMS_GCW_LOAD_LOAD_RECORDER_H_
#define PROGRAMS_GCW_LOAD_LOAD_RECORDER_H_

#include <mutex>

#include "programs/gcw_load/key_ledger.h"
#include "programs/gcw_load/load_tally.h"

namespace gcw {

// Collects what came of requests, from any thread.
class LoadRecorder {
 public:
  // `change(LoadTally&, KeyLedger&)`.
  template <typename Change>
  void Record(Change change) {
    const std::lock_guard lock(mutex_);
    change(tally_, keys_);
  }

  // Only once the run is over.
  const LoadTally& tally() const { return tally_; }
  const KeyLedger& keys() const { return keys_; }

 private:
  std::mutex mutex_;
  LoadTally tally_;
  KeyLedger keys_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_RECORDER_H_
