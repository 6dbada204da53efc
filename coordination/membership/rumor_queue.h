#ifndef COORDINATION_MEMBERSHIP_RUMOR_QUEUE_H_
#define COORDINATION_MEMBERSHIP_RUMOR_QUEUE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "coordination/membership/membership_messages.h"

namespace gcw {

// Rumors that are still to be piggybacked on messages. The number of times each
// is sent grows with the logarithm of the fleet's size, and those that were
// sent least often are sent first.
class RumorQueue {
 public:
  RumorQueue() = default;
  // Not copyable, because the index holds iterators into the queue.
  RumorQueue(const RumorQueue&) = delete;
  RumorQueue& operator=(const RumorQueue&) = delete;
  RumorQueue(RumorQueue&&) = default;
  RumorQueue& operator=(RumorQueue&&) = default;
  ~RumorQueue() = default;

  // Sets how often each rumor is sent.
  void SetTransmissions(int transmissions) { transmissions_ = transmissions; }

  // Replaces an older rumor on the same subject.
  void Add(const Rumor& rumor);
  // Returns the next rumors to send, of about `max_bytes` in total.
  std::vector<Rumor> Take(std::size_t max_bytes);
  std::size_t size() const { return queue_.size(); }

 private:
  struct QueuedRumor {
    std::string subject;
    Rumor rumor;
    std::size_t bytes;
  };
  // Ordered by the number of times that each rumor was sent.
  using Queue = std::multimap<int, QueuedRumor>;

  // If there are more rumors, the ones that were sent most often are dropped.
  static constexpr std::size_t kMaxQueued = 2048;

  void Erase(Queue::iterator it);

  int transmissions_ = 1;
  Queue queue_;
  std::map<std::string, Queue::iterator> by_subject_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_RUMOR_QUEUE_H_
