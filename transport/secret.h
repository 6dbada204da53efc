#ifndef TRANSPORT_SECRET_H_
#define TRANSPORT_SECRET_H_

#include <ostream>
#include <string>
#include <string_view>

namespace gcw {

// A key that must not reach a log, an error or a metric. It converts to nothing
// and does not compile in a stream or as a log field; only `Reveal` gives it,
// at the one place that sends or hashes it.
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
  // Takes as long for a guess that is nearly right as for one that is wrong, so
  // that the time of a refusal tells nothing about the key. Never true for an
  // empty secret.
  bool Matches(std::string_view guess) const;

  friend std::ostream& operator<<(std::ostream& out, const Secret&) = delete;

 private:
  std::string value_;
};

}  // namespace gcw

#endif  // TRANSPORT_SECRET_H_
