#include "transport/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace gcw {

void LineWriter::Write(std::string_view line) {
  Flush();
  std::string text(line.substr(0, kMaxLineBytes));
  if (text.size() < line.size()) {
    text.back() = '\n';
  }
  if (buffered_lines_.empty() && TryWrite(text)) {
    return;
  }
  if (buffered_bytes_ + text.size() > max_buffered_bytes_) {
    ++dropped_;
    return;
  }
  buffered_bytes_ += text.size();
  buffered_lines_.push_back(std::move(text));
}

void LineWriter::Flush() {
  while (!buffered_lines_.empty() && TryWrite(buffered_lines_.front())) {
    buffered_bytes_ -= buffered_lines_.front().size();
    buffered_lines_.pop_front();
  }
}

bool LineWriter::IsWritable() const {
  pollfd poll_request{descriptor_, POLLOUT, 0};
  return poll(&poll_request, 1, 0) > 0;
}

bool LineWriter::TryWrite(std::string_view line) const {
  if (!IsWritable()) {
    return false;
  }
  const ssize_t written = write(descriptor_, line.data(), line.size());
  // A closed or broken descriptor never accepts a line, so the line is dropped.
  return written >= 0 || (errno != EAGAIN && errno != EINTR);
}

}  // namespace gcw
