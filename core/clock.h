#ifndef CORE_CLOCK_H_
#define CORE_CLOCK_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace gcw {

// A span of time in milliseconds.
class Duration {
 public:
  constexpr Duration() = default;
  static constexpr Duration Millis(std::int64_t millis) {
    return Duration(millis);
  }
  static constexpr Duration Seconds(std::int64_t seconds) {
    return Duration(seconds * 1000);
  }

  constexpr std::int64_t millis() const { return millis_; }

  friend constexpr auto operator<=>(Duration, Duration) = default;
  friend constexpr Duration operator+(Duration a, Duration b) {
    return Duration(a.millis_ + b.millis_);
  }
  friend constexpr Duration operator-(Duration a, Duration b) {
    return Duration(a.millis_ - b.millis_);
  }
  friend constexpr Duration operator*(Duration a, std::int64_t factor) {
    return Duration(a.millis_ * factor);
  }
  friend constexpr Duration operator/(Duration a, std::int64_t divisor) {
    return Duration(a.millis_ / divisor);
  }
  friend std::ostream& operator<<(std::ostream& out, Duration duration) {
    return out << duration.millis_ << " ms";
  }

 private:
  constexpr explicit Duration(std::int64_t millis) : millis_(millis) {}

  std::int64_t millis_ = 0;
};

// A point in time in milliseconds since an epoch that the clock defines. The
// epoch of `SystemClock` is the Unix epoch.
class Time {
 public:
  constexpr Time() = default;
  static constexpr Time FromMillis(std::int64_t millis) { return Time(millis); }

  constexpr std::int64_t millis() const { return millis_; }

  friend constexpr auto operator<=>(Time, Time) = default;
  friend constexpr Time operator+(Time time, Duration duration) {
    return Time(time.millis_ + duration.millis());
  }
  friend constexpr Time operator-(Time time, Duration duration) {
    return Time(time.millis_ - duration.millis());
  }
  friend constexpr Duration operator-(Time a, Time b) {
    return Duration::Millis(a.millis_ - b.millis_);
  }
  friend std::ostream& operator<<(std::ostream& out, Time time) {
    return out << time.millis_;
  }

 private:
  constexpr explicit Time(std::int64_t millis) : millis_(millis) {}

  std::int64_t millis_ = 0;
};

// Returns the current time. The decision core never calls a clock: each event
// carries its time.
using Clock = std::function<Time()>;

// Returns a monotonic clock that also counts while the machine is suspended,
// shifted once at start to the Unix epoch. With a clock that stops during a
// suspend, an expired lease would still look valid.
Clock SystemClock();

}  // namespace gcw

#endif  // CORE_CLOCK_H_
