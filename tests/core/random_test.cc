#include "core/core.h"

#include <gtest/gtest.h>

namespace gcw {
namespace {

TEST(SeededRandomTest, IsReproducibleForASeed) {
  const Random first = SeededRandom(7);
  const Random second = SeededRandom(7);
  for (int draw = 0; draw < 100; ++draw) {
    EXPECT_EQ(first(), second());
  }
}

TEST(SeededRandomTest, DrawsStayBelowTheBound) {
  const Random random = SeededRandom(1);
  for (int draw = 0; draw < 1000; ++draw) {
    EXPECT_LT(DrawBelow(random, 3), 3U);
    EXPECT_LT(DrawUnit(random), 1.0);
  }
}

}  // namespace
}  // namespace gcw
