#ifndef COORDINATION_CONFIG_WATCH_H_
#define COORDINATION_CONFIG_WATCH_H_

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
  // Changes after this revision are all in `entries`; absent for a full read,
  // which holds every key.
  std::optional<Revision> after;
  std::vector<StoreEntry> entries;
};

using ConfigWatchAction = std::variant<StoreRequest, ConfigBatch>;

// Reads one prefix of the key-value service and, where asked to, keeps
// watching it.
class ConfigWatch {
 public:
  ConfigWatch(ConfigWatchSettings settings, std::string prefix, Random random);

  // A watching node keeps one waiting call at the service.
  void SetWatching(bool watching) { watching_ = watching; }
  // Makes the next call a full read.
  void RequestRead() { read_due_ = true; }

  // `last_id` is the owner's counter of calls.
  std::vector<ConfigWatchAction> Tick(Time now, StoreCallId& last_id);
  // Empty where the reply is not for this prefix or brought nothing.
  std::vector<ConfigWatchAction> OnStoreReply(Time now,
                                              StoreCallId id,
                                              const StoreReply& reply);

  const std::string& prefix() const { return prefix_; }
  bool Awaits(StoreCallId id) const { return call_ == id; }
  // When the service last answered; absent before.
  std::optional<Time> answered() const { return answered_; }
  // Whether calls have gone unanswered since the last answer.
  bool failing() const { return failing_; }

 private:
  void OnFailure(Time now, Duration at_least);

  ConfigWatchSettings settings_;
  std::string prefix_;
  Random random_;
  Backoff backoff_;
  bool watching_ = false;
  bool read_due_ = true;
  bool failing_ = false;
  // Watch after this revision.
  Revision position_;
  Time next_call_;
  std::optional<StoreCallId> call_;
  bool call_is_watch_ = false;
  Time call_expires_;
  std::optional<Time> answered_;
};

}  // namespace gcw

#endif  // COORDINATION_CONFIG_WATCH_H_
