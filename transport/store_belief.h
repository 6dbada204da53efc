#ifndef TRANSPORT_STORE_BELIEF_H_
#define TRANSPORT_STORE_BELIEF_H_

#include <functional>
#include <mutex>
#include <string_view>

#include "state/state.h"

namespace gcw {

// What a node believes of the key-value service, by its answers.
enum class StoreBelief {
  kAnswers,
  // It refuses calls since its rate is used up, or for this node only.
  kRefuses,
  // It is another kind of service, or another version of it.
  kKnowsNoCall,
  // Nothing comes back, or nothing that can be read.
  kSilent,
};

std::string_view StoreBeliefName(StoreBelief belief);

// A line of the log.
void LogStoreBelief(StoreBelief belief);

// Tells when the belief changes, rather than of each call: an outage is one
// line, not one for each call that meets it. Safe for use from any thread.
class StoreBeliefObserver {
 public:
  using OnChange = std::function<void(StoreBelief)>;

  explicit StoreBeliefObserver(OnChange on_change);

  void Observe(const StoreReply& reply);

 private:
  // Answers of one kind in a row that change the belief: a service that refuses
  // some of the calls would change it with each.
  static constexpr int kInARow = 3;

  const OnChange on_change_;
  std::mutex mutex_;
  StoreBelief believed_ = StoreBelief::kAnswers;
  StoreBelief last_ = StoreBelief::kAnswers;
  int in_a_row_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_STORE_BELIEF_H_
