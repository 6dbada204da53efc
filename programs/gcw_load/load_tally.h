#ifndef PROGRAMS_GCW_LOAD_LOAD_TALLY_H_
#define PROGRAMS_GCW_LOAD_LOAD_TALLY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "programs/gcw_load/latency_histogram.h"
#include "programs/gcw_load/request_kind.h"

namespace gcw {

// Numbers by type, such as "queue_full".
using TypeCounts = std::map<std::string, std::int64_t, std::less<>>;

std::int64_t SumOf(const TypeCounts& counts);

// What came of the requests of one kind. Each request that was sent ends in one
// of answered, refused, unknown, broken and violations.
struct KindTally {
  std::int64_t sent = 0;
  // Whole, and its own.
  std::int64_t answered = 0;
  // Not run; by the connection's failure where nothing was sent.
  TypeCounts refused;
  // It may have run, and no answer began.
  TypeCounts unknown;
  // An answer began and ended so that nobody takes it for whole.
  TypeCounts broken;
  // Status 200, yet not whole or not its own.
  TypeCounts violations;
  // Not sent, since too many were open.
  std::int64_t skipped = 0;
  // Sends that took another address before anything was sent.
  std::int64_t moved = 0;
  // Sends of a reservation after its first.
  std::int64_t resent = 0;
  // From the planned arrival, so that a late generator does not flatter the
  // system. Of whole answers only.
  LatencyHistogram first_token;
  LatencyHistogram between_tokens;
  LatencyHistogram total;
};

// What came of all requests of a run. Not for several threads at once.
struct LoadTally {
  KindTally& of(RequestKind kind) {
    return kinds[static_cast<std::size_t>(kind)];
  }
  const KindTally& of(RequestKind kind) const {
    return kinds[static_cast<std::size_t>(kind)];
  }
  std::int64_t violations() const;

  std::array<KindTally, kRequestKinds.size()> kinds;
  std::int64_t entries_asked = 0;
  std::int64_t entries_failed = 0;
  // How long after its planned arrival a request was sent.
  LatencyHistogram lateness;
  std::chrono::microseconds ran_for = {};
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_TALLY_H_
