#ifndef PROTOCOL_WIRE_FIELD_CHECKER_H_
#define PROTOCOL_WIRE_FIELD_CHECKER_H_

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "protocol/peer_message.h"

namespace gcw {

// Checks the fields of messages from other nodes and keeps the first fault, so
// that decoders can be written as plain lists of fields.
class WireFieldChecker {
 public:
  const std::optional<PeerCodecError>& fault() const { return fault_; }

  void Fail(PeerCodecErrorKind kind, std::string_view field) {
    if (!fault_) {
      fault_ = PeerCodecError{kind, field};
    }
  }

  // Records a fault if `text` is empty.
  template <typename Id>
  Id RequiredId(const std::string& text, std::string_view field) {
    if (text.empty()) {
      Fail(PeerCodecErrorKind::kMissing, field);
    }
    return Id(text);
  }

  // Returns 0 and records a fault if `value` is negative.
  std::int64_t Count(std::int64_t value, std::string_view field) {
    if (value < 0) {
      Fail(PeerCodecErrorKind::kOutOfRange, field);
      return 0;
    }
    return value;
  }

  template <typename Strong>
  Strong CountOf(std::int64_t value, std::string_view field) {
    return Strong(Count(value, field));
  }

  Duration DurationMillis(std::int64_t millis, std::string_view field) {
    return Duration::Millis(Count(millis, field));
  }

  Time TimeMillis(std::int64_t millis, std::string_view field) {
    return Time::FromMillis(Count(millis, field));
  }

  // Returns 0 and records a fault if `value` is negative or not finite.
  double NonNegative(double value, std::string_view field) {
    if (!std::isfinite(value) || value < 0) {
      Fail(PeerCodecErrorKind::kOutOfRange, field);
      return 0;
    }
    return value;
  }

 private:
  std::optional<PeerCodecError> fault_;
};

}  // namespace gcw

#endif  // PROTOCOL_WIRE_FIELD_CHECKER_H_
