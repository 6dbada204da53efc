#ifndef CORE_STRONG_ID_H_
#define CORE_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace gcw {

// Textual identifier whose type differs from those of other kinds of
// identifiers. `Tag` is an empty struct that names the kind.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

// Integer quantity or counter whose type differs from those of other kinds.
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::int64_t value) : value_(value) {}

  constexpr std::int64_t value() const { return value_; }

  friend constexpr auto operator<=>(const StrongNumber&,
                                    const StrongNumber&) = default;
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value_ + b.value_);
  }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value_ - b.value_);
  }
  constexpr StrongNumber& operator+=(StrongNumber other) {
    value_ += other.value_;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    value_ -= other.value_;
    return *this;
  }
  constexpr StrongNumber& operator++() {
    ++value_;
    return *this;
  }
  friend std::ostream& operator<<(std::ostream& out, StrongNumber number) {
    return out << number.value_;
  }

 private:
  std::int64_t value_ = 0;
};

}  // namespace gcw

template <typename Tag>
struct std::hash<gcw::StrongId<Tag>> {
  std::size_t operator()(const gcw::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<gcw::StrongNumber<Tag>> {
  std::size_t operator()(gcw::StrongNumber<Tag> number) const noexcept {
    return std::hash<std::int64_t>()(number.value());
  }
};

#endif  // CORE_STRONG_ID_H_
