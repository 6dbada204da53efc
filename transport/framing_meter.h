#ifndef TRANSPORT_FRAMING_METER_H_
#define TRANSPORT_FRAMING_METER_H_

#include <cstddef>
#include <cstdint>

namespace gcw {

// The parser leaves the begin of a head or of a chunk line unparsed. When it
// resumes, it asserts that there is enough for the shortest end of a chunked
// body.
constexpr std::size_t kMinBytesToResumeParsing = 5;

// Limits what a message may contain besides its body: heads, interim responses,
// chunk lines and trailers. The parser limits only the head.
struct FramingLimits {
  // Received bytes that the parser has left, such as those of a trailer whose
  // end has not arrived.
  std::size_t max_unparsed_bytes = 64UL * 1024;
  std::uint64_t max_bytes = 256UL * 1024;
  // How many more for each byte of the body. A chunk of one byte has at least
  // five.
  std::uint64_t max_bytes_per_body_byte = 16;
};

// Counts the framing of one message.
class FramingMeter {
 public:
  void AddReceived(std::size_t bytes) { received_bytes_ += bytes; }
  void AddBody(std::size_t bytes) { body_bytes_ += bytes; }
  std::uint64_t received_bytes() const { return received_bytes_; }
  bool IsWithin(const FramingLimits& limits, std::size_t unparsed_bytes) const {
    return unparsed_bytes <= limits.max_unparsed_bytes &&
           received_bytes_ - body_bytes_ <=
               limits.max_bytes + limits.max_bytes_per_body_byte * body_bytes_;
  }

 private:
  std::uint64_t received_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_FRAMING_METER_H_
