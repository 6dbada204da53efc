#ifndef TRANSPORT_STORE_BELIEF_H_
#define TRANSPORT_STORE_BELIEF_H_

#include <functional>
#include <mutex>
#include <string_view>

#include "state/state.h"

namespace gcw {

// State of the key-value service, as its replies show it.
enum class StoreBelief {
  kAnswers,
  // The service refuses calls because their rate is used up, or refuses this
  // node only.
  kRefuses,
  // The service is of another kind or version.
  kKnowsNoCall,
  // No reply arrives, or none that can be decoded.
  kSilent,
};

std::string_view StoreBeliefName(StoreBelief belief);

// Writes a log line.
void LogStoreBelief(StoreBelief belief);

// Reports changes of the state instead of each reply, so that an outage is one
// log line, not one for each failed call. Safe for use from any thread.
class StoreBeliefObserver {
 public:
  using OnChange = std::function<void(StoreBelief)>;

  explicit StoreBeliefObserver(OnChange on_change);

  void Observe(const StoreReply& reply);

 private:
  // Number of replies of one kind in a row that change the state. Without this,
  // a service that refuses some of the calls would change it with each call.
  static constexpr int kMinConsecutiveReplies = 3;

  const OnChange on_change_;
  std::mutex mutex_;
  StoreBelief reported_ = StoreBelief::kAnswers;
  StoreBelief last_observed_ = StoreBelief::kAnswers;
  int consecutive_replies_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_STORE_BELIEF_H_
