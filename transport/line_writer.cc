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
  if (held_.empty() && WriteNow(text)) {
    return;
  }
  if (held_bytes_ + text.size() > max_held_bytes_) {
    ++dropped_;
    return;
  }
  held_bytes_ += text.size();
  held_.push_back(std::move(text));
}

void LineWriter::Flush() {
  while (!held_.empty() && WriteNow(held_.front())) {
    held_bytes_ -= held_.front().size();
    held_.pop_front();
  }
}

bool LineWriter::IsWritable() const {
  pollfd waited{descriptor_, POLLOUT, 0};
  return poll(&waited, 1, 0) > 0;
}

bool LineWriter::WriteNow(std::string_view line) const {
  if (!IsWritable()) {
    return false;
  }
  const ssize_t written = write(descriptor_, line.data(), line.size());
  // A closed or broken descriptor never accepts a line, so the line is dropped.
  return written >= 0 || (errno != EAGAIN && errno != EINTR);
}

}  // namespace gcw
