#include <gtest/gtest.h>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kNow = Time::FromMillis(1000000);

// A document's text is its version; "bad" cannot be decoded.
FleetCodec Codec() {
  FleetCodec codec;
  codec.configuration_key = "cfg";
  codec.vm_prefix = "vm/";
  codec.decode_configuration =
      [](std::string_view text) -> std::optional<FleetConfiguration> {
    if (text == "bad") {
      return std::nullopt;
    }
    FleetConfiguration configuration;
    configuration.version = ConfigurationVersion(std::stoll(std::string(text)));
    return configuration;
  };
  codec.decode_registration =
      [](const VmId& vm,
         std::string_view text) -> std::optional<VmRegistration> {
    if (text == "bad") {
      return std::nullopt;
    }
    VmRegistration registration;
    registration.id = vm;
    registration.draining = text == "draining";
    registration.incarnation = Incarnation(text == "again" ? 2 : 1);
    return registration;
  };
  codec.decode_node = [](std::string_view text) {
    NodeRecord node;
    node.leaving = text == "leaving";
    return std::optional<NodeRecord>(node);
  };
  return codec;
}

StoreEntry Entry(const std::string& key, const std::string& value) {
  return {key, value, Revision(1), LeaseId()};
}

// Guards against a log line for each VM at each start of each node.
TEST(FleetViewTest, ReportsAStartOnceAndEachLaterVm) {
  std::vector<EventKind> reported;
  FleetView view(Codec(), [&](const EventDraft& event) {
    reported.push_back(event.kind);
    return EventId();
  });
  for (const char* vm : {"vm/a", "vm/b", "vm/c"}) {
    view.OnPut(kNow, Entry(vm, "ready"));
  }
  EXPECT_TRUE(reported.empty());
  view.OnFullyLoaded(Revision(9));
  view.OnFullyLoaded(Revision(10));
  view.OnPut(kNow, Entry("vm/d", "ready"));
  EXPECT_EQ(reported, (std::vector<EventKind>{EventKind::kFleetSynced,
                                              EventKind::kVmAppeared}));
}

TEST(FleetViewTest, ConfigurationNeverGoesBack) {
  FleetView view(Codec(), DiscardEvents());
  EXPECT_EQ(view.routes(), nullptr);
  view.OnPut(kNow, Entry("cfg", "7"));
  view.OnPut(kNow, Entry("cfg", "5"));
  EXPECT_EQ(view.routes()->configuration().version, ConfigurationVersion(7));
  view.OnPut(kNow, Entry("cfg", "bad"));
  EXPECT_EQ(view.routes()->configuration().version, ConfigurationVersion(7));
  view.OnDeleted(kNow, "cfg");
  EXPECT_NE(view.routes(), nullptr);
  EXPECT_EQ(view.configuration_changes(), 1U);
}

// Guards against requests to a VM whose entry another writer has overwritten
// with something unreadable: the previous entry stayed in force.
TEST(FleetViewTest, UnreadableEntryRemovesTheVm) {
  std::vector<EventKind> events;
  FleetView view(Codec(), [&](const EventDraft& event) {
    events.push_back(event.kind);
    return EventId();
  });
  view.OnPut(kNow, Entry("vm/1", "ready"));
  view.OnPut(kNow, Entry("vm/2", "ready"));
  view.TakeChangedVms();
  view.OnPut(kNow, Entry("vm/1", "bad"));
  view.OnPut(kNow, Entry("vm/1", "bad"));
  EXPECT_EQ(view.FindVm(VmId("1")), nullptr);
  EXPECT_NE(view.FindVm(VmId("2")), nullptr);
  EXPECT_EQ(view.TakeChangedVms(), std::set<VmId>{VmId("1")});
  EXPECT_EQ(std::count(events.begin(), events.end(), EventKind::kVmUnreadable),
            1);
  view.OnPut(kNow, Entry("vm/1", "ready"));
  EXPECT_NE(view.FindVm(VmId("1")), nullptr);
}

TEST(FleetViewTest, ReportsARestartUnderTheSameIdOnce) {
  FleetView view(Codec(), DiscardEvents());
  view.OnPut(kNow, Entry("vm/1", "ready"));
  EXPECT_TRUE(view.TakeRestartedAddresses().empty());
  view.OnPut(kNow, Entry("vm/1", "again"));
  view.OnPut(kNow, Entry("vm/1", "again"));
  EXPECT_EQ(view.TakeRestartedAddresses().size(), 1U);
  EXPECT_TRUE(view.TakeRestartedAddresses().empty());
}

TEST(FleetViewTest, UnchangedRegistrationIsNotReported) {
  FleetView view(Codec(), DiscardEvents());
  view.OnPut(kNow, Entry("vm/1", "ready"));
  EXPECT_EQ(view.TakeChangedVms().size(), 1U);
  view.OnPut(kNow, Entry("vm/1", "ready"));
  EXPECT_TRUE(view.TakeChangedVms().empty());
  view.OnPut(kNow, Entry("vm/1", "draining"));
  EXPECT_EQ(view.TakeChangedVms().size(), 1U);
  view.OnDeleted(kNow, "vm/1");
  EXPECT_EQ(view.FindVm(VmId("1")), nullptr);
}

TEST(FleetViewTest, CountsServingNodesAndTracksRoleHolders) {
  FleetView view(Codec(), DiscardEvents());
  EXPECT_EQ(view.serving_nodes(), 1U);
  view.OnPut(kNow, Entry("node/a", "up"));
  view.OnPut(kNow, Entry("node/b", "leaving"));
  view.OnPut(kNow, Entry("node/c", "up"));
  EXPECT_EQ(view.serving_nodes(), 2U);
  view.OnPut(kNow, Entry("role/keeper", "a"));
  EXPECT_EQ(view.HolderOf(RoleName("keeper")), NodeId("a"));
  view.OnDeleted(kNow, "role/keeper");
  EXPECT_TRUE(view.HolderOf(RoleName("keeper")).empty());
}

}  // namespace
}  // namespace gcw
