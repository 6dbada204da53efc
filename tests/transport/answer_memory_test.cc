#include "transport/gateway/answer_memory.h"

#include <memory>
#include <utility>

#include <gtest/gtest.h>

namespace gcw {
namespace {

TEST(AnswerMemoryTest, LongAnswersShareTheLimit) {
  const auto memory = std::make_shared<AnswerMemory>(10, 100);
  AnswerMemory::Reservation first(memory);
  AnswerMemory::Reservation second(memory);
  EXPECT_TRUE(first.Resize(60));
  EXPECT_FALSE(second.Resize(61));
  EXPECT_TRUE(second.Resize(60));
  EXPECT_EQ(memory->taken(), 100U);
}

// Guards against sound answers that find no room because endless ones have
// taken it.
TEST(AnswerMemoryTest, TheLongestAnswerMakesRoom) {
  const auto memory = std::make_shared<AnswerMemory>(10, 100);
  int evictions = 0;
  AnswerMemory::Reservation sound(memory, [] { FAIL(); });
  AnswerMemory::Reservation endless(memory, [&evictions] { ++evictions; });
  ASSERT_TRUE(sound.Resize(40));
  ASSERT_TRUE(endless.Resize(80));
  EXPECT_TRUE(sound.Resize(41));
  EXPECT_EQ(evictions, 1);
  EXPECT_EQ(memory->taken(), 31U);
  EXPECT_FALSE(endless.Resize(81));
  EXPECT_FALSE(endless.Resize(1));
}

// Guards against ordinary answers that fail because of endless ones.
TEST(AnswerMemoryTest, ShortAnswersNeedNoRoom) {
  const auto memory = std::make_shared<AnswerMemory>(10, 100);
  AnswerMemory::Reservation endless(memory);
  ASSERT_TRUE(endless.Resize(110));
  AnswerMemory::Reservation ordinary(memory);
  EXPECT_TRUE(ordinary.Resize(10));
}

TEST(AnswerMemoryTest, AnEndedAnswerGivesItsRoomBack) {
  const auto memory = std::make_shared<AnswerMemory>(10, 100);
  {
    AnswerMemory::Reservation ended(memory);
    ASSERT_TRUE(ended.Resize(110));
    AnswerMemory::Reservation moved(std::move(ended));
    ended = AnswerMemory::Reservation(memory);
    EXPECT_EQ(memory->taken(), 100U);
    EXPECT_TRUE(moved.Resize(20));
    EXPECT_EQ(memory->taken(), 10U);
  }
  EXPECT_EQ(memory->taken(), 0U);
}

}  // namespace
}  // namespace gcw
