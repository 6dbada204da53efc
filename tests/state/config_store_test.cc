#include "state/config_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace gcw {
namespace {

ConfigEntry Entry(const std::string& key,
                  std::int64_t revision,
                  const std::string& change) {
  return {key, Revision(revision), {std::nullopt, ChangeId(change), {}}};
}

// Versions arrive in any order, some of them twice. The copies would differ if
// the last version to arrive counted as the newest, or if the digest depended
// on the order.
RC_GTEST_PROP(ConfigStoreTest,
              CopiesConvergeForAnyArrivalOrder,
              (const std::vector<std::uint8_t>& keys, std::uint64_t seed)) {
  std::vector<ConfigEntry> versions;
  std::map<std::string, Revision> newest;
  for (const std::uint8_t key : keys) {
    const auto revision = static_cast<std::int64_t>(versions.size()) + 1;
    const std::string name = "contract/" + std::to_string(key % 8);
    versions.push_back(Entry(name, revision, std::to_string(revision)));
    newest[name] = Revision(revision);
  }
  ConfigStore ordered;
  for (const ConfigEntry& version : versions) {
    RC_ASSERT(ordered.Merge(version) == ConfigMergeResult::kApplied);
  }
  const Random random = SeededRandom(seed);
  std::vector<ConfigEntry> shuffled = versions;
  shuffled.insert(shuffled.end(), versions.begin(), versions.end());
  for (std::size_t i = shuffled.size(); i > 1; --i) {
    std::swap(shuffled[i - 1], shuffled[DrawBelow(random, i)]);
  }
  ConfigStore other;
  for (const ConfigEntry& version : shuffled) {
    other.Merge(version);
  }
  RC_ASSERT(other.Digest() == ordered.Digest());
  RC_ASSERT(other.entries() == ordered.entries());
  for (const auto& [key, revision] : newest) {
    RC_ASSERT(other.Find(key)->revision == revision);
  }
}

TEST(ConfigStoreTest, ReportsAConflictingHistory) {
  ConfigStore store;
  store.Merge(Entry("contract/a", 5, "x"));
  EXPECT_EQ(store.Merge(Entry("contract/a", 5, "x")),
            ConfigMergeResult::kDuplicate);
  EXPECT_EQ(store.Merge(Entry("contract/a", 4, "w")),
            ConfigMergeResult::kStale);
  EXPECT_EQ(store.Merge(Entry("contract/a", 5, "y")),
            ConfigMergeResult::kConflict);
  EXPECT_EQ(store.Find("contract/a")->record.change, ChangeId("x"));
}

}  // namespace
}  // namespace gcw
