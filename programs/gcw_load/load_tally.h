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

// Counts by error or violation type, such as "queue_full".
using TypeCounts = std::map<std::string, std::int64_t, std::less<>>;

std::int64_t SumOf(const TypeCounts& counts);

// Outcomes of the requests of one kind. Each request that was sent counts in
// exactly one of answered, refused, unknown, broken and violations.
struct KindTally {
  std::int64_t sent = 0;
  // The answer is complete and belongs to the request.
  std::int64_t answered = 0;
  // The request did not run. If nothing was sent, the type is the failure of
  // the connection.
  TypeCounts refused;
  // The request may have run, and no answer began.
  TypeCounts unknown;
  // An answer began and ended in a way that no caller can mistake for complete.
  TypeCounts broken;
  // Status 200, but the answer was not complete or contained another request's
  // content.
  TypeCounts violations;
  // Arrivals not sent because too many requests were in flight.
  std::int64_t skipped = 0;
  // Sends that moved to another address because nothing had been sent.
  std::int64_t moved = 0;
  // Sends of a reservation after the first one.
  std::int64_t resent = 0;
  // Latencies of complete answers only. `first_token` and `total` are measured
  // from the planned arrival, so that a late generator does not hide delays of
  // the system.
  LatencyHistogram first_token;
  LatencyHistogram between_tokens;
  LatencyHistogram total;
};

// Outcomes of all requests of a run. Not thread-safe.
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
  // Delay between the planned arrival and the send of each request.
  LatencyHistogram lateness;
  std::chrono::microseconds ran_for = {};
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_LOAD_TALLY_H_
