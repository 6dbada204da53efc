#ifndef TRANSPORT_GATEWAY_ANSWER_MEMORY_H_
#define TRANSPORT_GATEWAY_ANSWER_MEMORY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace gcw {

// Limits the memory that all answers together take while they are buffered.
// Each answer has a small allowance of its own, so that long ones take no room
// from ordinary ones. If there is no room left, the longest answer is evicted:
// an answer without end is longer than any other. Not thread-safe.
class AnswerMemory {
  struct Entry;

 public:
  // `allowance` is per answer, `limit` is for what all answers need beyond it.
  AnswerMemory(std::size_t allowance, std::size_t limit)
      : allowance_(allowance), limit_(limit) {}

  // What one answer takes, until it is destroyed.
  class Reservation {
   public:
    Reservation();
    // `on_evicted` must make the owner drop the answer soon. It must not change
    // reservations itself.
    explicit Reservation(std::shared_ptr<AnswerMemory> memory,
                         std::function<void()> on_evicted = {});
    ~Reservation();
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Sets the answer's size. Returns false, and changes nothing, if there is
    // no room for it or it has been evicted.
    bool Resize(std::size_t bytes);

   private:
    void Release();

    std::shared_ptr<AnswerMemory> memory_;
    std::unique_ptr<Entry> entry_;
  };

  std::size_t taken() const { return taken_; }

 private:
  // Evicts the longest answer that takes more than `bytes`. Returns false if
  // there is none.
  bool EvictLongerThan(std::size_t bytes);

  std::size_t allowance_;
  std::size_t limit_;
  std::size_t taken_ = 0;
  std::set<Entry*> entries_;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_ANSWER_MEMORY_H_
