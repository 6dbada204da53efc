#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kNow = Time::FromMillis(1000000);

VmRegistration Endpoint(const std::string& id, std::int64_t generation) {
  VmRegistration vm;
  vm.id = VmId(id);
  vm.service = ServiceId("llm");
  vm.address = Address(id + ":1");
  vm.models = {ModelId("m")};
  vm.membership = GroupMembership{GroupId("g"), Generation(generation), 0,
                                  MemberPhase::kOpen};
  return vm;
}

// The overview has two endpoints and two nodes. A registration's text is its
// generation.
FleetCodec Codec() {
  FleetCodec codec;
  codec.configuration_key = "oc";
  codec.vm_prefix = "vm/";
  codec.overview_key = "ov";
  codec.decode_configuration = [](std::string_view) {
    FleetConfiguration configuration;
    configuration.version = ConfigurationVersion(1);
    return std::optional<FleetConfiguration>(configuration);
  };
  codec.decode_overview = [](std::string_view) {
    FleetOverview overview;
    overview.endpoints = {Endpoint("a", 1), Endpoint("b", 1)};
    overview.nodes = {{NodeId("n1"), Address("1")},
                      {NodeId("n2"), Address("2")}};
    return std::optional<FleetOverview>(overview);
  };
  codec.decode_registration = [](const VmId& vm, std::string_view text) {
    return std::optional<VmRegistration>(
        Endpoint(vm.value(), std::stoll(std::string(text))));
  };
  codec.decode_node = [](std::string_view text) {
    NodeRecord node;
    node.caller_address = Address(std::string(text));
    return std::optional<NodeRecord>(node);
  };
  return codec;
}

StoreEntry Entry(const std::string& key, const std::string& value) {
  return {key, value, Revision(1), LeaseId()};
}

class FleetOverviewTest : public testing::Test {
 protected:
  FleetView view_{Codec(), DiscardEvents()};
};

TEST_F(FleetOverviewTest, EndpointsAreUsedBeforeTheirRegistrationsAreRead) {
  view_.OnPut(kNow, Entry("ov", ""));
  EXPECT_TRUE(view_.has_overview());
  EXPECT_EQ(view_.vms().size(), 2U);
  EXPECT_EQ(view_.TakeChangedVms().size(), 2U);
  EXPECT_EQ(view_.CallerAddresses().size(), 2U);
}

// Guards against a node that takes the whole retry budget as if it were alone
// in the fleet.
TEST_F(FleetOverviewTest, CountsTheNodesOfTheOverview) {
  view_.OnPut(kNow, Entry("ov", ""));
  EXPECT_EQ(view_.serving_nodes(), 2U);
}

// Guards against requests to an endpoint that left after the overview was
// written.
TEST_F(FleetOverviewTest, RemovesEndpointsThatTheFullReadDoesNotShow) {
  view_.OnPut(kNow, Entry("ov", ""));
  view_.OnPut(kNow, Entry("vm/a", "2"));
  view_.TakeChangedVms();
  view_.OnFullyLoaded(Revision(3));
  EXPECT_EQ(view_.FindVm(VmId("b")), nullptr);
  ASSERT_NE(view_.FindVm(VmId("a")), nullptr);
  EXPECT_EQ(view_.FindVm(VmId("a"))->membership->generation, Generation(2));
  EXPECT_EQ(view_.TakeChangedVms(), (std::set<VmId>{VmId("b")}));
  EXPECT_TRUE(view_.CallerAddresses().empty());
}

// Guards against an older overview that replaces registrations.
TEST_F(FleetOverviewTest, IgnoresAnOverviewAfterTheFullRead) {
  view_.OnPut(kNow, Entry("vm/a", "2"));
  view_.OnFullyLoaded(Revision(3));
  view_.TakeChangedVms();
  view_.OnPut(kNow, Entry("ov", ""));
  EXPECT_EQ(view_.vms().size(), 1U);
  EXPECT_TRUE(view_.TakeChangedVms().empty());
}

TEST(OverviewWriterTest, WritesChangesAtMostOncePerInterval) {
  std::int64_t generation = 1;
  const auto describe = [&] {
    FleetOverview overview;
    overview.endpoints = {Endpoint("a", generation)};
    return overview;
  };
  OverviewWriter writer({}, "ov", [](const FleetOverview& overview) {
    return std::to_string(
        overview.endpoints.front().membership->generation.value());
  });
  Time now = kNow;
  const auto first = writer.Tick(now, describe);
  ASSERT_TRUE(first);
  writer.OnStoreReply(first->id, StoreWritten{Revision(5)});
  generation = 2;
  EXPECT_FALSE(writer.Tick(now + Duration::Millis(100), describe));
  now = now + Duration::Seconds(2);
  const auto second = writer.Tick(now, describe);
  ASSERT_TRUE(second);
  EXPECT_EQ(std::get<StorePut>(second->call).expected, Revision(5));
  writer.OnStoreReply(second->id, StoreWritten{Revision(6)});
  EXPECT_FALSE(writer.Tick(now + Duration::Seconds(2), describe));
}

// Guards against an overview that stays outdated after a change of controller,
// or after a write whose answer was lost.
TEST(OverviewWriterTest, ContinuesFromTheRevisionOfAConflict) {
  OverviewWriter writer({}, "ov",
                        [](const FleetOverview&) { return std::string("x"); });
  const auto describe = [] { return FleetOverview(); };
  const auto first = writer.Tick(kNow, describe);
  ASSERT_TRUE(first);
  StoreConflict conflict;
  conflict.current = StoreEntry{"ov", "other", Revision(9), LeaseId()};
  writer.OnStoreReply(first->id, conflict);
  const auto second = writer.Tick(kNow + Duration::Seconds(2), describe);
  ASSERT_TRUE(second);
  EXPECT_EQ(std::get<StorePut>(second->call).expected, Revision(9));
}

// A mirror that reads a few keys first.
class FirstReadTest : public testing::Test {
 protected:
  // Returns the read that is due by `now`, if any.
  std::optional<StoreRange> NextRead(Time now) {
    return FindRead(mirror_.Tick(now));
  }
  std::optional<StoreRange> Answer(Time now) {
    return FindRead(mirror_.OnStoreReply(
        now, call_, StoreRangeReply{Revision(4), {Entry("oc", "v")}, false}));
  }
  std::optional<StoreRange> FindRead(
      const std::vector<StoreMirrorAction>& actions) {
    for (const StoreMirrorAction& action : actions) {
      if (const auto* request = std::get_if<StoreRequest>(&action)) {
        call_ = request->id;
        const auto* range = std::get_if<StoreRange>(&request->call);
        return range != nullptr ? std::optional(*range) : std::nullopt;
      }
    }
    return std::nullopt;
  }
  static StoreMirrorSettings Settings() {
    StoreMirrorSettings settings;
    settings.prefixes = {""};
    settings.first_prefix = "o";
    return settings;
  }

  Duration spread_;
  StoreCallId call_;
  StoreMirror mirror_{
      Settings(),
      SeededRandom(3),
      {[](Time, const StoreEntry&) {}, [](Time, const std::string&) {},
       [](bool) {}, [this] { return spread_; }}};
};

TEST_F(FirstReadTest, ReadsTheRestAtOnceIfTheFirstKeysAreNotEnough) {
  EXPECT_EQ(NextRead(kNow)->prefix, "o");
  const std::optional<StoreRange> rest = Answer(kNow);
  EXPECT_FALSE(mirror_.loaded());
  ASSERT_TRUE(rest);
  EXPECT_EQ(rest->prefix, "");
}

// Guards against seconds without service after a loss of all nodes: each node
// reads all registrations at once, which saturates the service's link.
TEST_F(FirstReadTest, ReadsTheRestWithinTheSpreadIfTheFirstKeysAreEnough) {
  spread_ = Duration::Seconds(3);
  NextRead(kNow);
  Time now = kNow;
  const Time latest = kNow + spread_;
  std::optional<StoreRange> rest = Answer(kNow);
  EXPECT_FALSE(rest);
  while (!rest && now <= latest) {
    now = now + Duration::Millis(40);
    rest = NextRead(now);
  }
  ASSERT_TRUE(rest);
  EXPECT_EQ(rest->prefix, "");
  EXPECT_GT(now - kNow, Duration::Millis(100));
  Answer(now);
  EXPECT_TRUE(mirror_.loaded());
}

}  // namespace
}  // namespace gcw
