#include <gtest/gtest.h>

#include "transport/transport.h"

namespace gcw {
namespace {

// Guards against a stream that is taken for whole because its connection was
// closed, and against a whole one that is taken for broken off.
TEST(AnswerFramingTest, AnUnframedStreamIsWholeUnlessItEndsInsideAnEvent) {
  EXPECT_EQ(FindStreamEnd(true, true, false), StreamEnd::kComplete);
  EXPECT_EQ(FindStreamEnd(true, true, true), StreamEnd::kClosedEarly);
  EXPECT_EQ(FindStreamEnd(true, false, false), StreamEnd::kClosedEarly);
  EXPECT_EQ(FindStreamEnd(false, true, false), StreamEnd::kComplete);
  EXPECT_EQ(FindStreamEnd(false, false, false), StreamEnd::kComplete);
  EXPECT_EQ(FindStreamEnd(false, true, true), StreamEnd::kMalformed);
}

}  // namespace
}  // namespace gcw
