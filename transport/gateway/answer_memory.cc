#include "transport/gateway/answer_memory.h"

#include <utility>

namespace gcw {

AnswerMemory::Reservation::Reservation(std::shared_ptr<AnswerMemory> memory)
    : memory_(std::move(memory)) {}

AnswerMemory::Reservation::~Reservation() {
  Release();
}

AnswerMemory::Reservation::Reservation(Reservation&& other) noexcept
    : memory_(std::move(other.memory_)),
      taken_(std::exchange(other.taken_, 0)) {}

AnswerMemory::Reservation& AnswerMemory::Reservation::operator=(
    Reservation&& other) noexcept {
  if (this != &other) {
    Release();
    memory_ = std::move(other.memory_);
    taken_ = std::exchange(other.taken_, 0);
  }
  return *this;
}

bool AnswerMemory::Reservation::Resize(std::size_t bytes) {
  if (!memory_) {
    return true;
  }
  const std::size_t needed =
      bytes > memory_->allowance_ ? bytes - memory_->allowance_ : 0;
  if (needed > taken_ &&
      memory_->taken_ + (needed - taken_) > memory_->limit_) {
    return false;
  }
  memory_->taken_ = memory_->taken_ - taken_ + needed;
  taken_ = needed;
  return true;
}

void AnswerMemory::Reservation::Release() {
  if (memory_) {
    memory_->taken_ -= std::exchange(taken_, 0);
  }
}

}  // namespace gcw
