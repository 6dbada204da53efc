#ifndef TRANSPORT_GATEWAY_ANSWER_MEMORY_H_
#define TRANSPORT_GATEWAY_ANSWER_MEMORY_H_

#include <cstddef>
#include <memory>

namespace gcw {

// Limits the memory that all answers together take while they are buffered.
// Each answer has a small allowance of its own, so that long ones take no room
// from ordinary ones. Not thread-safe.
class AnswerMemory {
 public:
  // `allowance` is per answer, `limit` is for what all answers need beyond it.
  AnswerMemory(std::size_t allowance, std::size_t limit)
      : allowance_(allowance), limit_(limit) {}

  // What one answer takes, until it is destroyed.
  class Reservation {
   public:
    Reservation() = default;
    explicit Reservation(std::shared_ptr<AnswerMemory> memory);
    ~Reservation();
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Sets the answer's size; returns false, and changes nothing, if there is
    // no room for it.
    bool Resize(std::size_t bytes);

   private:
    void Release();

    std::shared_ptr<AnswerMemory> memory_;
    std::size_t taken_ = 0;
  };

  std::size_t taken() const { return taken_; }

 private:
  std::size_t allowance_;
  std::size_t limit_;
  std::size_t taken_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_GATEWAY_ANSWER_MEMORY_H_
