#include <gtest/gtest.h>

#include "protocol/protocol.h"

namespace gcw {
namespace {

// Symptom: a node that is cut off from the key-value service knows no endpoint
// any more. Sequence: another writer's entry holds bytes that are no text; the
// node asks a peer for what it has. Cause: one such value made the whole
// snapshot unreadable.
TEST(MirrorJsonTest, AValueThatIsNoTextCostsNoOtherEntry) {
  MirrorSnapshot snapshot;
  snapshot.revision = Revision(7);
  snapshot.entries = {{"vm/1", "\xff\xfe", Revision(5), LeaseId()},
                      {"vm/2", "{}", Revision(6), LeaseId()}};
  const auto read = DecodeMirrorSnapshot(EncodeMirrorSnapshot(snapshot));
  ASSERT_TRUE(IsOk(read));
  ASSERT_EQ(ValueOf(read).entries.size(), 2U);
  EXPECT_EQ(ValueOf(read).entries[0].value, "\xff\xfe");
  EXPECT_EQ(ValueOf(read).entries[1].value, "{}");
}

}  // namespace
}  // namespace gcw
