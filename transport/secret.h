#ifndef TRANSPORT_SECRET_H_
#define TRANSPORT_SECRET_H_

#include <ostream>
#include <string>
#include <string_view>

namespace gcw {

// A key that must not reach a log, an error or a metric. It has no conversions,
// and code that streams it or logs it as a field does not compile. Only
// `Reveal` returns it, for the code that sends or hashes it.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string value);
  ~Secret();
  Secret(const Secret&) = default;
  Secret(Secret&&) = default;
  Secret& operator=(const Secret&) = default;
  Secret& operator=(Secret&&) = default;

  bool empty() const { return value_.empty(); }
  const std::string& Reveal() const { return value_; }
  // Takes the same time wherever the guess is wrong, so that the time of a
  // refusal reveals nothing about the key. Never true for an empty secret.
  bool Matches(std::string_view guess) const;

  friend std::ostream& operator<<(std::ostream& out, const Secret&) = delete;

 private:
  std::string value_;
};

}  // namespace gcw

#endif  // TRANSPORT_SECRET_H_
