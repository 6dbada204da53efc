#include "transport/line_writer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

namespace gcw {
namespace {

class LineWriterTest : public testing::Test {
 protected:
  LineWriterTest() { EXPECT_EQ(pipe2(pipe_fds_, O_CLOEXEC), 0); }
  ~LineWriterTest() override {
    close(pipe_fds_[0]);
    close(pipe_fds_[1]);
  }

  std::string ReadSome() {
    std::string text(1UL << 20, '\0');
    const ssize_t size = read(pipe_fds_[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

  int pipe_fds_[2] = {-1, -1};
};

TEST_F(LineWriterTest, WritesLinesInOrder) {
  LineWriter writer(pipe_fds_[1], 1000);
  writer.Write("one\n");
  writer.Write("two\n");
  EXPECT_EQ(ReadSome(), "one\ntwo\n");
}

// Guards against a blocking write on the serving thread. If the reader of the
// log stops, the pipe fills up, and every request would wait for the next log
// line.
TEST_F(LineWriterTest, NeverBlocksAndLimitsHeldBytes) {
  constexpr std::size_t kBound = 50000;
  LineWriter writer(pipe_fds_[1], kBound);
  const std::string line = std::string(999, 'x') + "\n";
  for (int i = 0; i < 2000; ++i) {
    writer.Write(line);
    ASSERT_LE(writer.buffered_bytes(), kBound);
  }
  EXPECT_GT(writer.dropped(), 0);
  // When the reader reads again, the held lines are written first.
  while (writer.buffered_bytes() > 0) {
    EXPECT_FALSE(ReadSome().empty());
    writer.Flush();
  }
  EXPECT_EQ(writer.buffered_bytes(), 0U);
}

TEST_F(LineWriterTest, TruncatesTooLongLines) {
  LineWriter writer(pipe_fds_[1], 10000);
  writer.Write(std::string(LineWriter::kMaxLineBytes + 10, 'x') + "\n");
  const std::string read = ReadSome();
  EXPECT_EQ(read.size(), LineWriter::kMaxLineBytes);
  EXPECT_EQ(read.back(), '\n');
}

}  // namespace
}  // namespace gcw
