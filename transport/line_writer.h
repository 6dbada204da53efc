#ifndef TRANSPORT_LINE_WRITER_H_
#define TRANSPORT_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace gcw {

// Writes lines to a descriptor without blocking on its reader. Otherwise a log
// reader that stops would block every request of the process. Lines that cannot
// be written yet are buffered up to a limit; further ones are dropped and
// counted.
class LineWriter {
 public:
  // A write of at most this size never blocks on a pipe that polls as writable.
  static constexpr std::size_t kMaxLineBytes = 4096;

  LineWriter(int descriptor, std::size_t max_buffered_bytes)
      : descriptor_(descriptor), max_buffered_bytes_(max_buffered_bytes) {}

  // A line longer than `kMaxLineBytes` is truncated.
  void Write(std::string_view line);
  // Writes as many buffered lines as possible without blocking.
  void Flush();

  std::int64_t dropped() const { return dropped_; }
  std::size_t buffered_bytes() const { return buffered_bytes_; }

 private:
  bool IsWritable() const;
  // Returns false if writing would block, and true if the line was written or
  // can never be written.
  bool TryWrite(std::string_view line) const;

  const int descriptor_;
  const std::size_t max_buffered_bytes_;
  std::deque<std::string> buffered_lines_;
  std::size_t buffered_bytes_ = 0;
  std::int64_t dropped_ = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_LINE_WRITER_H_
