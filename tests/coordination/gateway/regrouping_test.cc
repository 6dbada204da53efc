// Tests which groups are given up for groups of another model, and which
// weights the hosts of serving VMs hold meanwhile.

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "coordination/coordination.h"
#include "tests/support/gateway_world.h"

namespace gcw {
namespace {

const ModelId kLarge("large");
const ModelId kSmall("small");

EngineProfile Profile() {
  EngineProfile profile;
  profile.models = {
      {kLarge, 16, 0.5, 1.0, Duration::Seconds(16), Duration::Millis(1600)},
      {kSmall, 4, 0.5, 0.6, Duration::Seconds(12), Duration::Millis(1100)}};
  return profile;
}

VmCandidate Vm(const std::string& name,
               const ModelId& runs,
               const ModelId& holds) {
  VmCandidate vm;
  vm.vm = VmId(name);
  vm.last_model = runs;
  vm.staged = {holds};
  return vm;
}

// Returns a domain with these numbers of serving groups and free VMs. The hosts
// of serving VMs hold the other model's weights; the free VMs last ran the
// large model.
DomainSnapshot Domain(const std::string& name,
                      std::size_t large,
                      std::size_t small,
                      std::size_t free) {
  DomainSnapshot domain;
  domain.domain = FabricDomainId(name);
  domain.may_regroup = true;
  int last = 0;
  const auto add_groups = [&](std::size_t count, const ModelId& model,
                              std::size_t size, const ModelId& other) {
    for (std::size_t i = 0; i < count; ++i) {
      ServingGroup group{GroupId(name + std::to_string(++last)), model, {}};
      for (std::size_t v = 0; v < size; ++v) {
        group.members.push_back(
            Vm(name + "-" + std::to_string(++last), model, other));
      }
      domain.serving_groups.push_back(std::move(group));
    }
    if (count > 0) {
      domain.group_counts[model] = count;
    }
    domain.vm_count += count * size;
  };
  add_groups(large, kLarge, 16, kSmall);
  add_groups(small, kSmall, 4, kLarge);
  for (std::size_t v = 0; v < free; ++v) {
    domain.free_vms.push_back(
        Vm(name + "-" + std::to_string(++last), kLarge, kSmall));
  }
  domain.vm_count += free;
  return domain;
}

// Guards against a large model that is permanently left without groups because
// small groups take the VMs that each lost large group leaves.
TEST(RegroupingTest, ASmallGroupIsGivenUpForAMissingLargeGroup) {
  std::vector<DomainSnapshot> domains = {Domain("a", 0, 5, 14)};
  domains.push_back(Domain("b", 1, 5, 1));
  domains.push_back(Domain("c", 1, 5, 1));
  const GroupPlan plan = GroupPlanner({}).Plan(Profile(), domains);
  ASSERT_EQ(plan.regroupings.size(), 1U);
  EXPECT_EQ(plan.regroupings.front().domain, FabricDomainId("a"));
  EXPECT_EQ(plan.regroupings.front().model, kLarge);
  EXPECT_EQ(plan.regroupings.front().given_up.size(), 1U);
  // The free VMs wait for the VMs of the group that is given up.
  EXPECT_TRUE(plan.groups.empty());
}

TEST(RegroupingTest, FreedVmsFormTheGroupTheyWereFreedForFirst) {
  DomainSnapshot domain = Domain("a", 0, 4, 18);
  domain.regroup_target = kLarge;
  const GroupPlan plan = GroupPlanner({}).Plan(Profile(), {domain});
  ASSERT_FALSE(plan.groups.empty());
  EXPECT_EQ(plan.groups.front().model, kLarge);
  EXPECT_TRUE(plan.regroupings.empty());
}

// Guards against VMs that serve no requests for the 16 s of a load.
TEST(RegroupingTest, NoGroupIsGivenUpForOneThatWouldWaitForALoad) {
  DomainSnapshot domain = Domain("a", 0, 5, 14);
  for (ServingGroup& group : domain.serving_groups) {
    for (VmCandidate& vm : group.members) {
      vm.staged = {kSmall};
    }
  }
  EXPECT_TRUE(GroupPlanner({}).Plan(Profile(), {domain}).regroupings.empty());
}

TEST(RegroupingTest, NoGroupIsGivenUpIfTheOtherModelHasItsShare) {
  std::vector<DomainSnapshot> domains = {Domain("a", 1, 5, 1)};
  domains.push_back(Domain("b", 1, 5, 1));
  EXPECT_TRUE(GroupPlanner({}).Plan(Profile(), domains).regroupings.empty());
}

// Guards against regrouping whole domains for a shortage of some seconds, which
// leaves the other model short.
TEST(RegroupingTest, ADomainIsNotRegroupedForATemporaryShortage) {
  EXPECT_TRUE(GroupPlanner({})
                  .Plan(Profile(), {Domain("a", 0, 8, 3), Domain("b", 0, 8, 3)})
                  .regroupings.empty());
}

TEST(RegroupingTest, NothingIsGivenUpBeforeAllVmsOfAnEndedGroupAreFree) {
  DomainSnapshot domain = Domain("a", 0, 5, 10);
  domain.ending_groups = {{kLarge, {1, 2}}};
  EXPECT_TRUE(GroupPlanner({}).Plan(Profile(), {domain}).regroupings.empty());
}

// Counts the standby loads that are planned if each host holds only the weights
// that its engine runs, and therefore does not need them.
std::size_t CountStandby(std::size_t large, std::size_t small) {
  DomainSnapshot domain = Domain("a", large, small, 0);
  for (ServingGroup& group : domain.serving_groups) {
    for (VmCandidate& vm : group.members) {
      vm.staged = {group.model};
    }
  }
  const GroupPlan plan = GroupPlanner({}).Plan(Profile(), {domain});
  for (const PlannedStaging& staging : plan.stagings) {
    EXPECT_EQ(staging.purpose, StagingPurpose::kStandby);
    EXPECT_EQ(staging.model, kLarge);
  }
  return plan.stagings.size();
}

TEST(RegroupingTest, HostsOfSmallGroupsGetTheLargeModelsWeights) {
  EXPECT_EQ(CountStandby(1, 5), 20U);
}

TEST(RegroupingTest, HostsKeepTheirWeightsIfNoGroupCanBeGivenUp) {
  EXPECT_EQ(CountStandby(1, 2), 0U);
}

// Guards against regroupings that are reversed: after a regrouping is carried
// out, the next plan has none for the same domain.
RC_GTEST_PROP(RegroupingProperty, ARegroupingIsNotReversed, ()) {
  std::vector<DomainSnapshot> domains;
  const std::size_t count = *rc::gen::inRange<std::size_t>(1, 6);
  for (std::size_t d = 0; d < count; ++d) {
    domains.push_back(Domain("d" + std::to_string(d),
                             *rc::gen::inRange<std::size_t>(0, 3),
                             *rc::gen::inRange<std::size_t>(0, 9),
                             *rc::gen::inRange<std::size_t>(0, 15)));
  }
  const GroupPlanner planner({});
  const GroupPlan first = planner.Plan(Profile(), domains);
  for (const Regrouping& regrouping : first.regroupings) {
    for (DomainSnapshot& domain : domains) {
      if (domain.domain != regrouping.domain) {
        continue;
      }
      const std::size_t small =
          domain.group_counts[kSmall] - regrouping.given_up.size();
      const std::size_t large = domain.group_counts[kLarge] + 1;
      domain = Domain(domain.domain.value(), large, small,
                      domain.vm_count - 16 * large - 4 * small);
    }
  }
  const GroupPlan second = planner.Plan(Profile(), domains);
  for (const Regrouping& second_regrouping : second.regroupings) {
    for (const Regrouping& regrouping : first.regroupings) {
      RC_ASSERT(second_regrouping.domain != regrouping.domain);
    }
  }
}

// A large group lost a member and no spare is left, in a fleet with simulated
// engines.
TEST(RegroupingFleetTest, ALargeGroupServesAgainWithoutASpare) {
  GatewayWorld world(3, 1, 23, 5);
  ASSERT_TRUE(world.RunUntil(Duration::Seconds(12), [&] {
    return world.open_groups("large") == 2 && world.open_groups("small") == 3;
  }));
  world.Run(Duration::Seconds(4));
  world.traffic = true;
  world.Run(Duration::Seconds(1));
  const VmId head = world.OpenHead("large");
  const FabricDomainId domain = world.engine(head).self.domain;
  for (auto& [id, engine] : world.engines()) {
    if (engine.self.domain == domain && !engine.self.membership) {
      world.Kill(id);
    }
  }
  world.Run(Duration::Seconds(5));
  world.Kill(world.GroupMembersOf(head)[2]);
  const Time died = world.now();
  EXPECT_TRUE(world.RunUntil(Duration::Seconds(20),
                             [&] { return world.open_groups("large") == 2; }));
  EXPECT_LT(world.now() - died, Duration::Seconds(6));
  EXPECT_TRUE(world.violations().empty());
}

}  // namespace
}  // namespace gcw
