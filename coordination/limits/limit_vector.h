#ifndef COORDINATION_LIMITS_LIMIT_VECTOR_H_
#define COORDINATION_LIMITS_LIMIT_VECTOR_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "state/state.h"

namespace gcw {

// The resources that a contract limits.
enum class LimitResource { kRequests, kTokens, kConcurrency };

inline constexpr std::size_t kLimitResourceCount = 3;
inline constexpr std::array<LimitResource, kLimitResourceCount> kLimitResources{
    LimitResource::kRequests, LimitResource::kTokens,
    LimitResource::kConcurrency};

// An amount of each limited resource: requests/s, tokens/s and concurrent
// requests.
class LimitVector {
 public:
  constexpr LimitVector() = default;
  constexpr LimitVector(double requests, double tokens, double concurrency)
      : amounts_{requests, tokens, concurrency} {}

  static LimitVector FromContract(const Contract& contract) {
    return {contract.requests_per_second, contract.tokens_per_second,
            static_cast<double>(contract.concurrency)};
  }

  constexpr double operator[](LimitResource resource) const {
    return amounts_[static_cast<std::size_t>(resource)];
  }
  constexpr double& operator[](LimitResource resource) {
    return amounts_[static_cast<std::size_t>(resource)];
  }

  // The same amount of each resource.
  static constexpr LimitVector Uniform(double amount) {
    return {amount, amount, amount};
  }

  constexpr bool IsZero() const {
    return amounts_ == std::array<double, kLimitResourceCount>{};
  }

  friend constexpr bool operator==(const LimitVector&,
                                   const LimitVector&) = default;

  friend constexpr LimitVector operator+(const LimitVector& a,
                                         const LimitVector& b) {
    return Combine(a, b, [](double x, double y) { return x + y; });
  }
  friend constexpr LimitVector operator-(const LimitVector& a,
                                         const LimitVector& b) {
    return Combine(a, b, [](double x, double y) { return x - y; });
  }
  // Product by resource.
  friend constexpr LimitVector operator*(const LimitVector& a,
                                         const LimitVector& b) {
    return Combine(a, b, [](double x, double y) { return x * y; });
  }
  friend constexpr LimitVector operator*(const LimitVector& a, double factor) {
    return Combine(a, a, [factor](double x, double) { return x * factor; });
  }
  friend constexpr LimitVector Max(const LimitVector& a, const LimitVector& b) {
    return Combine(a, b, [](double x, double y) { return std::max(x, y); });
  }
  friend constexpr LimitVector Min(const LimitVector& a, const LimitVector& b) {
    return Combine(a, b, [](double x, double y) { return std::min(x, y); });
  }

 private:
  template <typename Function>
  static constexpr LimitVector Combine(const LimitVector& a,
                                       const LimitVector& b,
                                       Function function) {
    LimitVector result;
    for (std::size_t i = 0; i < kLimitResourceCount; ++i) {
      result.amounts_[i] = function(a.amounts_[i], b.amounts_[i]);
    }
    return result;
  }

  std::array<double, kLimitResourceCount> amounts_{};
};

}  // namespace gcw

#endif  // COORDINATION_LIMITS_LIMIT_VECTOR_H_
