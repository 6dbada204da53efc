#include "state/state.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>

namespace gcw {
namespace {

ContractBuilder ValidBuilder() {
  ContractBuilder builder;
  builder.SetId(ContractId("branch-team"))
      .SetCustomer("Branch team")
      .SetTier(Tier::kPaid)
      .AllowModel(ModelId("notes"))
      .SetRequestsPerSecond(10)
      .SetTokensPerSecond(1000)
      .SetConcurrency(4)
      .AddKey(KeyDigest(std::string(64, 'a')));
  return builder;
}

ContractErrorKind KindOf(const ContractBuilder& builder) {
  return ErrorOf(builder.Build()).kind;
}

TEST(ContractBuilderTest, AcceptsAValidContract) {
  EXPECT_TRUE(IsOk(ValidBuilder().Build()));
}

TEST(ContractBuilderTest, RejectsInvalidFields) {
  EXPECT_EQ(KindOf(ContractBuilder()), ContractErrorKind::kIdMissing);
  EXPECT_EQ(KindOf(ValidBuilder().SetId(ContractId("a b"))),
            ContractErrorKind::kIdMalformed);
  EXPECT_EQ(KindOf(ValidBuilder().SetRequestsPerSecond(-1)),
            ContractErrorKind::kRequestRateOutOfRange);
  EXPECT_EQ(KindOf(ValidBuilder().SetTokensPerSecond(0)),
            ContractErrorKind::kTokenRateOutOfRange);
  EXPECT_EQ(KindOf(ValidBuilder().SetConcurrency(0)),
            ContractErrorKind::kConcurrencyOutOfRange);
  EXPECT_EQ(KindOf(ValidBuilder().SetRank(Rank(-1))),
            ContractErrorKind::kRankOutOfRange);
  EXPECT_EQ(KindOf(ValidBuilder().SetValidity(Time::FromMillis(5),
                                              Time::FromMillis(5))),
            ContractErrorKind::kValidityEmpty);
  EXPECT_EQ(KindOf(ValidBuilder().AddKey(KeyDigest("short"))),
            ContractErrorKind::kKeyMalformed);
}

}  // namespace
}  // namespace gcw
