#include "protocol/sse_event_splitter.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace gcw {
namespace {

std::string Event(std::int64_t id, const std::string& data) {
  return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

TEST(SseEventSplitterTest, ReturnsOnlyWholeEvents) {
  SseEventSplitter splitter(std::nullopt);
  EXPECT_EQ(splitter.Feed("id: 1\nda"), "");
  EXPECT_EQ(splitter.Feed("ta: x\n\nid: 2\n"), "id: 1\ndata: x\n\n");
  EXPECT_EQ(splitter.last_id(), 1);
  EXPECT_TRUE(splitter.has_partial_event());
  EXPECT_EQ(splitter.Feed("data: y\n\n"), "id: 2\ndata: y\n\n");
  EXPECT_FALSE(splitter.has_partial_event());
}

// Guards against a stream that looks complete although an event is missing or
// repeated, because the events of another run were accepted unchecked.
TEST(SseEventSplitterTest, RejectsEventsOutOfSequence) {
  SseEventSplitter resumed(4);
  EXPECT_TRUE(resumed.Feed(Event(5, "a")).has_value());
  EXPECT_FALSE(resumed.Feed(Event(7, "b")).has_value());
  EXPECT_FALSE(resumed.Feed(Event(6, "b")).has_value());
  SseEventSplitter repeated(std::nullopt);
  EXPECT_TRUE(repeated.Feed(Event(1, "a")).has_value());
  EXPECT_FALSE(repeated.Feed(Event(1, "a")).has_value());
}

TEST(SseEventSplitterTest, RejectsEventsWithoutNumericId) {
  EXPECT_FALSE(SseEventSplitter(std::nullopt).Feed("data: x\n\n").has_value());
  EXPECT_FALSE(SseEventSplitter(std::nullopt).Feed("id: z\n\n").has_value());
}

// However the bytes are split, the concatenated output is the input up to the
// last whole event.
RC_GTEST_PROP(SseEventSplitterProperty, OutputDoesNotDependOnSplits, ()) {
  std::string all;
  const int events = *rc::gen::inRange(0, 12);
  for (int i = 1; i <= events; ++i) {
    all += Event(i, std::string(*rc::gen::inRange<std::size_t>(0, 30), 'x'));
  }
  const std::string rest = "id: 99\nda";
  SseEventSplitter splitter(std::nullopt);
  std::string output;
  const std::string bytes = all + rest;
  std::size_t position = 0;
  while (position < bytes.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
    const auto out =
        splitter.Feed(std::string_view(bytes).substr(position, size));
    RC_ASSERT(out.has_value());
    output += *out;
    position += size;
  }
  RC_ASSERT(output == all);
  RC_ASSERT(splitter.has_partial_event());
}

// Arbitrary bytes are either rejected or passed on up to some point, unchanged.
RC_GTEST_PROP(SseEventSplitterProperty,
              HandlesArbitraryBytes,
              (const std::string& bytes)) {
  SseEventSplitter splitter(std::nullopt);
  const auto out = splitter.Feed(bytes);
  RC_ASSERT(!out || bytes.starts_with(*out));
}

}  // namespace
}  // namespace gcw
