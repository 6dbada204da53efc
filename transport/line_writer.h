#ifndef TRANSPORT_LINE_WRITER_H_
#define TRANSPORT_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace gcw {

// Writes lines to a descriptor without ever waiting for whoever reads it. A log
// reader that stops would otherwise stop every request of the process: what
// does not fit is held up to a bound, and what is beyond it is dropped and
// counted.
class LineWriter {
 public:
  // Up to this size a write to a pipe that polls as writable never waits.
  static constexpr std::size_t kMaxLineBytes = 4096;

  LineWriter(int descriptor, std::size_t max_held_bytes)
      : descriptor_(descriptor), max_held_bytes_(max_held_bytes) {}

  // A longer line than `kMaxLineBytes` loses its end.
  void Write(std::string_view line);
  // Writes what is held as far as it goes.
  void Flush();

  std::int64_t dropped() const { return dropped_; }
  std::size_t held_bytes() const { return held_bytes_; }

 private:
  bool IsWritable() const;
  // Whether the line is gone; false where it would wait.
  bool WriteNow(std::string_view line) const;

  const int descriptor_;
  const std::size_t max_held_bytes_;
  std::deque<std::string> held_;
  std::size_t held_bytes_ = 0;
  std::int64_t dropped_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_LINE_WRITER_H_
