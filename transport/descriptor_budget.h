#ifndef TRANSPORT_DESCRIPTOR_BUDGET_H_
#define TRANSPORT_DESCRIPTOR_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace gcw {

// Counts the connections of a process, those of its servers and those of its
// clients. Servers stop accepting before descriptors run out, because a process
// without descriptors cannot call endpoints or the store. Safe for use from any
// thread.
class DescriptorBudget {
 public:
  explicit DescriptorBudget(std::size_t limit) : limit_(limit) {}

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }

  // Counts one connection until it is destroyed. A token without a budget
  // counts nothing.
  class Token {
   public:
    Token() = default;
    explicit Token(std::shared_ptr<DescriptorBudget> budget)
        : budget_(std::move(budget)) {
      if (budget_) {
        ++budget_->used_;
      }
    }
    ~Token() { Release(); }
    Token(Token&& other) noexcept = default;
    Token& operator=(Token&& other) = delete;
    Token(const Token&) = delete;
    Token& operator=(const Token&) = delete;

    void Release() {
      if (const auto budget = std::exchange(budget_, nullptr)) {
        --budget->used_;
      }
    }

   private:
    std::shared_ptr<DescriptorBudget> budget_;
  };

 private:
  const std::size_t limit_;
  std::atomic<std::size_t> used_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_DESCRIPTOR_BUDGET_H_
