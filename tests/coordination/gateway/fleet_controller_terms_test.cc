#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "coordination/coordination.h"
#include "tests/support/fake_store.h"

namespace gcw {
namespace {

// A controller with a manually assigned role and view, and a store that replies
// at once.
class FleetControllerTermsTest : public testing::Test {
 protected:
  FleetControllerTermsTest()
      : view_(MakeFleetCodec(), DiscardEvents()),
        controller_(
            {},
            MakeRecordCodec(),
            [](const VmId&, Generation) { return Time(); },
            [](const VmId&) { return true; },
            [this](const EventDraft& event) {
              if (event.kind == EventKind::kGroupPlanned) {
                planned_.push_back(event.subject);
              }
              return EventId();
            }) {
    view_.OnPut(now_, Entry("cfg", "0"));
  }

  void AddDomain(const std::string& domain) {
    for (int i = 0; i < 11; ++i) {
      VmRegistration vm;
      vm.id = VmId(domain + std::to_string(i));
      vm.service = ServiceId("llm");
      vm.address = Address(vm.id.value() + ":1");
      vm.domain = FabricDomainId(domain);
      registrations_.push_back(vm);
      view_.OnPut(now_, Entry("vm/" + vm.id.value(),
                              std::to_string(registrations_.size() - 1)));
    }
  }

  void Run(Duration time, const std::optional<HeldRole>& role) {
    const Time end = now_ + time;
    while (now_ < end) {
      now_ = now_ + Duration::Millis(50);
      controller_.SetRole(now_, role);
      for (const FleetControllerAction& action :
           controller_.Tick(now_, view_)) {
        if (const auto* request = std::get_if<StoreRequest>(&action)) {
          controller_.OnStoreReply(now_, request->id,
                                   *store_.Execute(now_, request->call));
        }
      }
    }
  }

  std::optional<HeldRole> Role() const {
    return HeldRole{FencingToken(5), now_ + Duration::Seconds(60)};
  }

  Time now_ = Time::FromMillis(1000000);
  std::vector<std::string> planned_;

 private:
  static StoreEntry Entry(const std::string& key, const std::string& value) {
    StoreEntry entry;
    entry.key = key;
    entry.value = value;
    entry.revision = Revision(1);
    return entry;
  }

  FleetCodec MakeFleetCodec() {
    FleetCodec codec;
    codec.configuration_key = "cfg";
    codec.vm_prefix = "vm/";
    codec.decode_configuration = [](std::string_view) {
      FleetConfiguration configuration;
      configuration.version = ConfigurationVersion(1);
      EngineProfile profile;
      profile.models = {{ModelId("large"), 6, 0.67, 1.0, Duration::Seconds(16),
                         Duration::Millis(1600)},
                        {ModelId("small"), 3, 0.33, 0.6, Duration::Seconds(12),
                         Duration::Millis(1100)}};
      configuration.services = {{ServiceId("llm"), 400, profile}};
      return std::optional<FleetConfiguration>(configuration);
    };
    codec.decode_registration = [this](const VmId&, std::string_view text) {
      return std::optional<VmRegistration>(
          registrations_.at(std::stoul(std::string(text))));
    };
    return codec;
  }

  DomainRecordCodec MakeRecordCodec() {
    return {[this](const DomainRecord& record) {
              records_.push_back(record);
              return std::to_string(records_.size() - 1);
            },
            [this](std::string_view text) {
              return std::optional<DomainRecord>(
                  records_.at(std::stoul(std::string(text))));
            }};
  }

  FakeStore store_;
  std::vector<VmRegistration> registrations_;
  std::vector<DomainRecord> records_;
  FleetView view_;

 protected:
  FleetController controller_;
};

// Guards against two groups with the same name and generation but different
// members, so that requests run in a group without one of its members. The
// key-value service is unavailable for longer than the controller's lease but
// keeps leases meanwhile, so the controller gets its role back with the same
// fencing number. Group numbers start over only with a new fencing number.
TEST_F(FleetControllerTermsTest, ARegainedRoleReusesNoGroupName) {
  AddDomain("a");
  Run(Duration::Seconds(3), Role());
  const std::size_t planned_before = planned_.size();
  ASSERT_GE(planned_before, 2U);
  Run(Duration::Seconds(1), std::nullopt);
  AddDomain("b");
  Run(Duration::Seconds(3), Role());
  ASSERT_GT(planned_.size(), planned_before);
  const std::set<std::string> names(planned_.begin(), planned_.end());
  EXPECT_EQ(names.size(), planned_.size());
}

}  // namespace
}  // namespace gcw
