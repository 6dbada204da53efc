#ifndef COORDINATION_ADMISSION_ADMISSION_SETTINGS_H_
#define COORDINATION_ADMISSION_ADMISSION_SETTINGS_H_

#include <cstdint>

#include "core/core.h"

namespace gcw {

struct AdmissionSettings {
  // Requests of one tier that wait at this node for one model.
  std::int64_t paid_queue_limit = 512;
  std::int64_t trial_queue_limit = 64;
  // Requests that wait for their contract's share.
  std::int64_t share_queue_limit = 1024;
  // A trial request waits no longer than this for room.
  Duration trial_wait = Duration::Millis(2000);
  // A request waits no longer than this for its contract's share. Longer than
  // the gap between a lost owner's grants and the floor in a small fleet.
  Duration share_wait = Duration::Millis(3000);
  // Tokens that one turn of the round robin is worth to a contract of average
  // token rate.
  std::int64_t quantum_tokens = 512;
  // Paid requests that may wait in an endpoint's own queue, per endpoint. What
  // waits there is served in order of arrival, so that a contract that floods
  // delays the others.
  std::int64_t engine_backlog = 0;
  // Nodes take this multiple of their even part of the free room, since not
  // all of them have callers for it at the same time.
  double overcommit = 2;
  // Refused callers come back after one to two of these, or of the time after
  // which the request could have been run.
  Duration retry_base = Duration::Millis(1000);
  Duration retry_limit = Duration::Seconds(60);
  // Reports of room older than this count as no room for trial work.
  Duration headroom_max_age = Duration::Millis(5000);
  // Share of a batch that paid work fills before it gets another endpoint.
  double paid_target = 0.7;
  // Endpoints kept free of trial work for paid arrivals, as a share of those
  // in use by paid work; one at least.
  double paid_reserve = 0.15;
  // An endpoint goes back to trial work when paid work has done without it for
  // this long.
  Duration shrink_after = Duration::Seconds(5);
  // KV cache above which an endpoint gets no trial work.
  double trial_cache_limit = 0.9;
};

}  // namespace gcw

#endif  // COORDINATION_ADMISSION_ADMISSION_SETTINGS_H_
