#include "transport/gateway/answer_memory.h"

#include <algorithm>
#include <utility>

namespace gcw {

struct AnswerMemory::Entry {
  std::size_t taken = 0;
  bool is_evicted = false;
  std::function<void()> on_evicted;
};

AnswerMemory::Reservation::Reservation() = default;

AnswerMemory::Reservation::Reservation(std::shared_ptr<AnswerMemory> memory,
                                       std::function<void()> on_evicted)
    : memory_(std::move(memory)) {
  if (memory_) {
    entry_ = std::make_unique<Entry>();
    entry_->on_evicted = std::move(on_evicted);
  }
}

AnswerMemory::Reservation::~Reservation() {
  Release();
}

AnswerMemory::Reservation::Reservation(Reservation&& other) noexcept = default;

AnswerMemory::Reservation& AnswerMemory::Reservation::operator=(
    Reservation&& other) noexcept {
  if (this != &other) {
    Release();
    memory_ = std::move(other.memory_);
    entry_ = std::move(other.entry_);
  }
  return *this;
}

bool AnswerMemory::Reservation::Resize(std::size_t bytes) {
  if (!entry_) {
    return true;
  }
  if (entry_->is_evicted) {
    return false;
  }
  const std::size_t needed =
      bytes > memory_->allowance_ ? bytes - memory_->allowance_ : 0;
  while (needed > entry_->taken &&
         memory_->taken_ + (needed - entry_->taken) > memory_->limit_) {
    if (!memory_->EvictLongerThan(needed)) {
      return false;
    }
  }
  memory_->taken_ = memory_->taken_ - entry_->taken + needed;
  entry_->taken = needed;
  if (needed > 0) {
    memory_->entries_.insert(entry_.get());
  } else {
    memory_->entries_.erase(entry_.get());
  }
  return true;
}

void AnswerMemory::Reservation::Release() {
  if (entry_) {
    memory_->taken_ -= entry_->taken;
    memory_->entries_.erase(entry_.get());
    entry_.reset();
  }
}

bool AnswerMemory::EvictLongerThan(std::size_t bytes) {
  const auto longest =
      std::max_element(entries_.begin(), entries_.end(),
                       [](const Entry* left, const Entry* right) {
                         return left->taken < right->taken;
                       });
  if (longest == entries_.end() || (*longest)->taken <= bytes) {
    return false;
  }
  Entry& entry = **longest;
  entries_.erase(longest);
  taken_ -= std::exchange(entry.taken, 0);
  entry.is_evicted = true;
  if (entry.on_evicted) {
    entry.on_evicted();
  }
  return true;
}

}  // namespace gcw
