#ifndef TRANSPORT_STORE_HEALTH_H_
#define TRANSPORT_STORE_HEALTH_H_

#include <functional>
#include <mutex>
#include <string_view>

#include "state/state.h"

namespace gcw {

// State of the key-value service, as its replies show it.
enum class StoreHealth {
  kAvailable,
  // The service refuses calls because their rate is used up, or refuses this
  // node only.
  kRejectingCalls,
  // The service is of another kind or version.
  kIncompatible,
  // No reply arrives, or none that can be decoded.
  kUnreachable,
};

std::string_view StoreHealthName(StoreHealth health);

// Writes a log line.
void LogStoreHealth(StoreHealth health);

// Reports changes of the state instead of each reply, so that an outage is one
// log line, not one for each failed call. Safe for use from any thread.
class StoreHealthMonitor {
 public:
  using OnChange = std::function<void(StoreHealth)>;

  explicit StoreHealthMonitor(OnChange on_change);

  void Observe(const StoreReply& reply);

 private:
  // Number of replies of one kind in a row that change the state. Without this,
  // a service that refuses some of the calls would change it with each call.
  static constexpr int kMinConsecutiveReplies = 3;

  const OnChange on_change_;
  std::mutex mutex_;
  StoreHealth reported_ = StoreHealth::kAvailable;
  StoreHealth last_observed_ = StoreHealth::kAvailable;
  int consecutive_replies_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_STORE_HEALTH_H_
