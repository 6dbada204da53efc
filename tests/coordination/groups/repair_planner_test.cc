#include <gtest/gtest.h>

#include <string>

#include "coordination/coordination.h"

namespace gcw {
namespace {

constexpr Time kStart = Time::FromMillis(1000000);
const ZoneId kZone("z1");
const FabricDomainId kDomain("d1");

VmId Vm(const char* domain, int number) {
  return VmId(std::string(domain) + "-" + std::to_string(number));
}

// Two domains of eight VMs; model "high" outranks model "low".
class RepairPlannerTest : public testing::Test {
 protected:
  RepairPlannerTest() {
    view_.zone = kZone;
    for (const char* domain : {"d1", "d2"}) {
      view_.records[FabricDomainId(domain)].domain = FabricDomainId(domain);
      for (int i = 0; i < 8; ++i) {
        view_.vms[Vm(domain, i)] = PlannerVm{.domain = FabricDomainId(domain),
                                             .accelerators = 1,
                                             .assignable = true};
      }
    }
    AddDesiredModel("high", 1);
    AddDesiredModel("low", 2);
  }

  void AddDesiredModel(const char* model, int rank) {
    DesiredModel desired{ModelId(model), 2, Rank(rank), {}};
    desired.targets[kZone] = GroupTarget{0, 0};
    view_.desired_models.push_back(desired);
  }

  // Adds a serving group of two VMs of `domain`, starting with VM `first`.
  void AddServingGroup(const char* domain, const char* model, int first) {
    const GroupId id(std::string(domain) + model + std::to_string(first));
    view_.records[FabricDomainId(domain)].groups.push_back(
        GroupRecord{id,
                    ModelId(model),
                    Generation(1),
                    GroupState::kServing,
                    {Vm(domain, first), Vm(domain, first + 1)}});
    for (const int number : {first, first + 1}) {
      view_.vms[Vm(domain, number)].assignable = false;
    }
    for (DesiredModel& desired : view_.desired_models) {
      if (desired.model == ModelId(model)) {
        ++desired.targets[kZone].min_groups;
        ++desired.targets[kZone].max_groups;
      }
    }
  }

  void LoseVm(const char* domain, int number) {
    view_.vms[Vm(domain, number)].condition = VmCondition::kLost;
    view_.vms[Vm(domain, number)].assignable = false;
  }

  void RemoveSpares(const char* domain) {
    for (auto& [id, vm] : view_.vms) {
      vm.assignable = vm.assignable && vm.domain != FabricDomainId(domain);
    }
  }

  PlannerView view_;
  PlannerSettings settings_;
};

TEST_F(RepairPlannerTest, TakesASpareOfTheSameDomain) {
  AddServingGroup("d1", "high", 0);
  LoseVm("d1", 1);
  const auto moves = RepairPlanner(settings_).Plan(kStart, view_);
  ASSERT_EQ(moves.size(), 1U);
  const auto& move = std::get<ReplaceMembers>(moves[0]);
  EXPECT_EQ(move.removed, std::vector<VmId>{Vm("d1", 1)});
  EXPECT_EQ(move.added, std::vector<VmId>{Vm("d1", 2)});
}

TEST_F(RepairPlannerTest, BorrowsFromALowerRankButNotFromItsOwn) {
  AddServingGroup("d1", "high", 0);
  AddServingGroup("d1", "high", 2);
  AddServingGroup("d1", "low", 4);
  RemoveSpares("d1");
  RemoveSpares("d2");
  LoseVm("d1", 1);
  const auto moves = RepairPlanner(settings_).Plan(kStart, view_);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(std::get<DrainGroup>(moves[0]).group, GroupId("d1low4"));
  LoseVm("d1", 4);
  LoseVm("d1", 5);
  EXPECT_TRUE(RepairPlanner(settings_).Plan(kStart, view_).empty());
}

TEST_F(RepairPlannerTest, RebuildsElsewhere) {
  AddServingGroup("d1", "high", 0);
  RemoveSpares("d1");
  LoseVm("d1", 1);
  const auto moves = RepairPlanner(settings_).Plan(kStart, view_);
  ASSERT_EQ(moves.size(), 2U);
  EXPECT_EQ(std::get<FormGroup>(moves[0]).domain, FabricDomainId("d2"));
  EXPECT_EQ(std::get<DissolveGroup>(moves[1]).group, GroupId("d1high0"));
}

// Guards against rebuilding all groups of a domain elsewhere when it is dark
// for a minute, so that they still load weights when it is back. All VMs of a
// domain are lost at once and return.
TEST_F(RepairPlannerTest, HoldsTheGroupsOfADarkDomain) {
  AddServingGroup("d1", "high", 0);
  AddServingGroup("d1", "high", 2);
  for (int i = 0; i < 8; ++i) {
    LoseVm("d1", i);
  }
  RepairPlanner planner(settings_);
  EXPECT_TRUE(planner.Plan(kStart, view_).empty());
  EXPECT_TRUE(planner.IsDark(kDomain));
  const Time over = kStart + settings_.dark_hold;
  EXPECT_TRUE(planner.Plan(over - Duration::Millis(1), view_).empty());
  EXPECT_EQ(planner.Plan(over, view_).size(), 4U);
}

TEST_F(RepairPlannerTest, LoadsTheHighestNeedFirstWithinTheBudget) {
  AddServingGroup("d1", "low", 0);
  AddServingGroup("d1", "high", 2);
  LoseVm("d1", 0);
  LoseVm("d1", 2);
  settings_.max_loads = 1;
  const auto moves = RepairPlanner(settings_).Plan(kStart, view_);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(std::get<ReplaceMembers>(moves[0]).group, GroupId("d1high2"));
  view_.load_wait = settings_.max_load_wait + Duration::Millis(1);
  EXPECT_TRUE(RepairPlanner(settings_).Plan(kStart, view_).empty());
}

// Guards against a group that goes down and loads weights again every few
// minutes. One of its VMs restarts repeatedly and must not be taken back at
// each return if there are spares.
TEST_F(RepairPlannerTest, PrefersASpareToAVmThatFlaps) {
  AddServingGroup("d1", "high", 0);
  view_.vms[Vm("d1", 1)].condition = VmCondition::kRestarted;
  auto moves = RepairPlanner(settings_).Plan(kStart, view_);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_TRUE(std::get<ReplaceMembers>(moves[0]).removed.empty());
  view_.vms[Vm("d1", 1)].held_off = true;
  moves = RepairPlanner(settings_).Plan(kStart, view_);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(std::get<ReplaceMembers>(moves[0]).removed,
            std::vector<VmId>{Vm("d1", 1)});
}

TEST_F(RepairPlannerTest, DrainsAGroupWhoseVmLeaves) {
  AddServingGroup("d1", "high", 0);
  view_.vms[Vm("d1", 1)].condition = VmCondition::kLeaving;
  RepairPlanner planner(settings_);
  auto moves = planner.Plan(kStart, view_);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(std::get<DrainGroup>(moves[0]).group, GroupId("d1high0"));
  view_.records[kDomain].groups[0].state = GroupState::kDraining;
  view_.drained.insert(GroupId("d1high0"));
  moves = planner.Plan(kStart, view_);
  ASSERT_FALSE(moves.empty());
  EXPECT_EQ(std::get<ReplaceMembers>(moves[0]).removed,
            std::vector<VmId>{Vm("d1", 1)});
}

TEST(FlapTrackerTest, HoldsOffLongerEachTime) {
  const FlapSettings settings;
  FlapTracker flaps(settings);
  const VmId vm("v");
  flaps.OnLost(kStart, vm);
  EXPECT_FALSE(flaps.IsHeldOff(kStart, vm));
  flaps.OnLost(kStart, vm);
  EXPECT_TRUE(flaps.IsHeldOff(kStart, vm));
  EXPECT_FALSE(flaps.IsHeldOff(kStart + settings.initial_hold, vm));
  flaps.OnLost(kStart, vm);
  EXPECT_TRUE(flaps.IsHeldOff(kStart + settings.initial_hold, vm));
  EXPECT_FALSE(flaps.IsHeldOff(kStart + settings.initial_hold * 2, vm));
}

}  // namespace
}  // namespace gcw
