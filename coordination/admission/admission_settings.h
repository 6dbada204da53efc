#ifndef COORDINATION_ADMISSION_ADMISSION_SETTINGS_H_
#define COORDINATION_ADMISSION_ADMISSION_SETTINGS_H_

#include <cstdint>

#include "core/core.h"

namespace gcw {

struct AdmissionSettings {
  // Maximum number of requests of a tier that wait at this node for one model.
  std::int64_t paid_queue_limit = 512;
  std::int64_t trial_queue_limit = 64;
  // Maximum number of requests that wait for their contract's share.
  std::int64_t share_queue_limit = 1024;
  // Maximum time that a trial request waits for room.
  Duration max_trial_wait = Duration::Millis(2000);
  // Maximum time that a request waits for its contract's share. It exceeds the
  // gap between the expiry of a lost owner's grants and the use of the floor in
  // a small fleet.
  Duration max_share_wait = Duration::Millis(3000);
  // Quantum of the deficit round robin in tokens, for a contract of average
  // token rate.
  std::int64_t quantum_tokens = 512;
  // Paid requests that may wait in an endpoint's own queue, per endpoint. The
  // default is 0 because that queue is served in order of arrival, so that a
  // contract that floods it would delay the others.
  std::int64_t engine_queue_limit = 0;
  // Each node uses this multiple of its equal part of the free room, because
  // not all nodes have callers for their part at the same time.
  double overcommit_factor = 2;
  // Lower and upper bound of the expected wait that a refused caller is told,
  // multiplied by a random factor from 1 to 2.
  Duration min_retry_delay = Duration::Millis(1000);
  Duration max_retry_delay = Duration::Seconds(60);
  // Load reports older than this count as no room for trial work.
  Duration max_headroom_age = Duration::Millis(5000);
  // Fraction of the batches that paid work fills before it gets another
  // endpoint.
  double paid_fill_target = 0.7;
  // Endpoints kept free of trial work for paid arrivals, as a fraction of those
  // used by paid work; at least one.
  double paid_reserve = 0.15;
  // An endpoint goes back to trial work once paid work has not needed it for
  // this long.
  Duration shrink_delay = Duration::Seconds(5);
  // KV cache use, 0 to 1, above which an endpoint gets no trial work.
  double trial_cache_limit = 0.9;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_ADMISSION_SETTINGS_H_
