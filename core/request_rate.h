#ifndef CORE_REQUEST_RATE_H_
#define CORE_REQUEST_RATE_H_

#include <compare>

namespace gcw {

// A number of requests per second, which may be a fraction.
class RequestRate {
 public:
  constexpr RequestRate() = default;
  static constexpr RequestRate PerSecond(double rate) {
    return RequestRate(rate);
  }

  constexpr double per_second() const { return per_second_; }

  friend constexpr auto operator<=>(RequestRate, RequestRate) = default;
  friend constexpr RequestRate operator*(RequestRate rate, double factor) {
    return RequestRate(rate.per_second_ * factor);
  }

 private:
  constexpr explicit RequestRate(double per_second) : per_second_(per_second) {}

  double per_second_ = 0;
};

}  // namespace gcw

#endif  // CORE_REQUEST_RATE_H_
