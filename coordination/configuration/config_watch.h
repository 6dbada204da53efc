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
  // Time after which the service answers a watch without changes.
  Duration watch_wait = Duration::Seconds(20);
  // Timeout of a read. A watch times out after `watch_wait` plus this.
  Duration call_timeout = Duration::Seconds(2);
  BackoffSettings backoff;
};

// A reply of the service about the keys below one prefix.
struct ConfigBatch {
  // The service's revision.
  Revision revision;
  // The highest revision that the node knew of when it sent the call.
  Revision known;
  // `entries` holds all changes after this revision. It has no value for a full
  // read, whose entries are all keys.
  std::optional<Revision> after;
  std::vector<StoreEntry> entries;
};

// Reads one prefix of the key-value service and, if enabled, keeps watching it.
class ConfigWatch {
 public:
  ConfigWatch(ConfigWatchSettings settings, std::string prefix, Random random);

  // A watching node keeps one long-polling call open at the service.
  void SetWatching(bool watching) { watching_ = watching; }
  // Makes the next call a full read, sent at `not_before` or later.
  void RequestRead(Time not_before);
  // Like `RequestRead`, but a failed read is not repeated. If each node
  // repeated its routine read during an outage, all nodes would read the whole
  // configuration within seconds of its end.
  void RequestRoutineRead(Time now);
  // Makes the service report its revision at once instead of at the end of the
  // watch.
  void RequestRevision();

  // Returns the next call if it is due. `last_id` is the owner's counter of
  // calls, `known` the highest revision that the node knows of.
  std::optional<StoreRequest> Tick(Time now,
                                   StoreCallId& last_id,
                                   Revision known);
  // Returns no value if the reply holds no batch.
  std::optional<ConfigBatch> OnStoreReply(Time now, const StoreReply& reply);

  const std::string& prefix() const { return prefix_; }
  bool IsWaitingFor(StoreCallId id) const { return call_ == id; }
  // True if the last call failed.
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
  bool revision_requested_ = false;
  bool failing_ = false;
  // The next watch reports changes after this revision.
  Revision watch_revision_;
  Time next_call_;
  Time next_read_;
  std::optional<StoreCallId> call_;
  bool call_is_watch_ = false;
  Revision known_at_call_;
  Time call_expires_;
};

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONFIG_WATCH_H_
