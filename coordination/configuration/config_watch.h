#ifndef COORDINATION_CONFIGURATION_CONFIG_WATCH_H_
#define COORDINATION_CONFIGURATION_CONFIG_WATCH_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/backoff.h"
#include "state/state.h"

namespace gcw {

struct ConfigWatchSettings {
  // How long the service holds a watch without changes.
  Duration watch_wait = Duration::Seconds(20);
  // On top of `watch_wait` for the reply to arrive; alone for reads.
  Duration call_timeout = Duration::Seconds(2);
  BackoffSettings backoff;
};

// What the service said about the keys below one prefix.
struct ConfigBatch {
  // The service's revision.
  Revision revision;
  // The highest revision that the node knew of when it asked.
  Revision known;
  // Changes after this revision are all in `entries`; absent for a full read,
  // which holds every key.
  std::optional<Revision> after;
  std::vector<StoreEntry> entries;
};

// Reads one prefix of the key-value service and, where asked to, keeps
// watching it.
class ConfigWatch {
 public:
  ConfigWatch(ConfigWatchSettings settings, std::string prefix, Random random);

  // A watching node keeps one waiting call at the service.
  void SetWatching(bool watching) { watching_ = watching; }
  // Makes the next call a full read, at `not_before` or later.
  void RequestRead(Time not_before);
  // The same, but a read that fails is not repeated. If each node repeated its
  // routine read through an outage, all would read everything in the seconds
  // after it.
  void RequestRoutineRead(Time now);
  // Makes the service tell its revision at once instead of at the end of the
  // watch.
  void Poke();

  // `last_id` is the owner's counter of calls, `known` the highest revision
  // that the node knows of.
  std::optional<StoreRequest> Tick(Time now,
                                   StoreCallId& last_id,
                                   Revision known);
  // Absent where the reply brought nothing.
  std::optional<ConfigBatch> OnStoreReply(Time now, const StoreReply& reply);

  const std::string& prefix() const { return prefix_; }
  bool Awaits(StoreCallId id) const { return call_ == id; }
  // Whether calls have gone unanswered since the last answer.
  bool failing() const { return failing_; }

 private:
  StoreRequest Call(Time now,
                    StoreCallId& last_id,
                    Revision known,
                    StoreCall call,
                    Duration wait);
  std::optional<ConfigBatch> OnWatchReply(Time now,
                                          const StoreWatchReply& reply);
  void OnFailure(Time now, Duration at_least);

  ConfigWatchSettings settings_;
  std::string prefix_;
  Random random_;
  Backoff backoff_;
  bool watching_ = false;
  bool read_due_ = true;
  bool read_is_routine_ = false;
  bool poked_ = false;
  bool failing_ = false;
  // Watch after this revision.
  Revision position_;
  Time next_call_;
  Time next_read_;
  std::optional<StoreCallId> call_;
  bool call_is_watch_ = false;
  Revision known_at_call_;
  Time call_expires_;
};

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONFIG_WATCH_H_
