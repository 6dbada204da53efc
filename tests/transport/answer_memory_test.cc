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
  EXPECT_TRUE(first.Resize(80));
  EXPECT_FALSE(second.Resize(60));
  EXPECT_TRUE(second.Resize(40));
  EXPECT_EQ(memory->taken(), 100U);
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
