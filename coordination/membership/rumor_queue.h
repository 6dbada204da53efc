#ifndef COORDINATION_MEMBERSHIP_RUMOR_QUEUE_H_
#define COORDINATION_MEMBERSHIP_RUMOR_QUEUE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "coordination/membership/membership_messages.h"

namespace gcw {

// Rumors that still ride along with messages. Each is sent a number of times
// that grows with the logarithm of the fleet, the least sent first.
class RumorQueue {
 public:
  RumorQueue() = default;
  // The index points into the queue.
  RumorQueue(const RumorQueue&) = delete;
  RumorQueue& operator=(const RumorQueue&) = delete;
  RumorQueue(RumorQueue&&) = default;
  RumorQueue& operator=(RumorQueue&&) = default;
  ~RumorQueue() = default;

  // `transmissions`: how often each rumor is sent.
  void SetTransmissions(int transmissions) { transmissions_ = transmissions; }

  // Replaces an older rumor on the same subject.
  void Add(const Rumor& rumor);
  // The next rumors to send, within about `max_bytes` together.
  std::vector<Rumor> Take(std::size_t max_bytes);
  std::size_t size() const { return waiting_.size(); }

 private:
  struct Waiting {
    std::string subject;
    Rumor rumor;
    std::size_t bytes;
  };
  // By how often it was sent.
  using Queue = std::multimap<int, Waiting>;

  // Beyond this the most sent ones are dropped.
  static constexpr std::size_t kMaxWaiting = 2048;

  void Erase(Queue::iterator it);

  int transmissions_ = 1;
  Queue waiting_;
  std::map<std::string, Queue::iterator> by_subject_;
};

}  // namespace gcw

#endif  // COORDINATION_MEMBERSHIP_RUMOR_QUEUE_H_
