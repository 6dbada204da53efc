#include "coordination/coordination.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/support/core_fleet.h"

namespace gcw {
namespace {

const KeyDigest kKey(std::string(64, 'a'));

Contract PaidContract() {
  return ValueOf(ContractBuilder()
                     .SetId(ContractId("branch"))
                     .SetCustomer("Branch")
                     .SetTier(Tier::kPaid)
                     .AllowModel(ModelId("notes"))
                     .AllowService(ServiceId("desk"))
                     .SetRequestsPerSecond(1000)
                     .SetTokensPerSecond(1000000)
                     .SetConcurrency(1000)
                     .AddKey(kKey)
                     .Build());
}

// Three nodes and five VMs in one fabric domain, with groups of two VMs.
class NodeCoreTest : public testing::Test {
 protected:
  void StartFleet() {
    for (const char* id : {"n1", "n2", "n3"}) {
      fleet_.AddNode(id, "z1");
    }
    for (const char* id : {"v1", "v2", "v3", "v4", "v5"}) {
      fleet_.AddVm(id, "d1", "z1");
    }
    fleet_.AddService("s1", "z1");
    fleet_.RunFor(Duration::Seconds(3));
    fleet_.AddContract(NodeId("n1"), PaidContract());
    DesiredModel model;
    model.model = ModelId("notes");
    model.vms_per_group = 2;
    model.targets[ZoneId("z1")] = GroupTarget{2, 2};
    fleet_.SetModel(NodeId("n1"), model);
    fleet_.RunFor(Duration::Seconds(60));
  }

  RequestId SendRequest(const std::string& node,
                        RequestTarget target,
                        const std::string& key = "") {
    CallerArrived arrived;
    arrived.key = kKey;
    arrived.profile.id = RequestId("r" + std::to_string(++last_request_));
    arrived.profile.target = std::move(target);
    arrived.profile.prompt_tokens = TokenCount(10);
    arrived.profile.max_generated_tokens = TokenCount(8);
    arrived.profile.fingerprint = Fingerprint(key.empty() ? last_request_ : 7);
    arrived.profile.repeatable = key.empty();
    arrived.profile.idempotency_key = IdempotencyKey(key);
    arrived.profile.arrived = fleet_.now();
    arrived.profile.deadline = fleet_.now() + Duration::Seconds(20);
    fleet_.Deliver(NodeId(node), arrived);
    return arrived.profile.id;
  }

  std::size_t executions() {
    std::size_t count = 0;
    for (const auto& [id, engine] : fleet_.engines()) {
      count += engine.executed.size();
    }
    return count;
  }

  CoreFleet fleet_{11};
  int last_request_ = 0;
};

// Guards against flooding a service that is not the expected key-value service
// and answers each call with 404. 404 was read as an expired lease, even in
// reply to a lease grant, and an expired lease is requested again at once: 90
// calls a second per node.
TEST_F(NodeCoreTest, AServiceWithoutLeasesIsNotFlooded) {
  for (const char* id : {"n1", "n2", "n3"}) {
    fleet_.AddNode(id, "z1");
  }
  fleet_.store().faults().lease_unknown = true;
  fleet_.RunFor(Duration::Seconds(10));
  const std::int64_t before = fleet_.store().calls();
  fleet_.RunFor(Duration::Seconds(30));
  EXPECT_LE(fleet_.store().calls() - before, 3 * 30 * 2);
}

TEST_F(NodeCoreTest, GroupsFormAndServeThroughEveryNode) {
  StartFleet();
  for (const char* node : {"n1", "n2", "n3"}) {
    EXPECT_TRUE(fleet_.core(node).ready());
    EXPECT_EQ(fleet_.core(node).Endpoints(fleet_.now()).size(), 3U) << node;
    const RequestId request =
        SendRequest(node, ModelTarget{ModelId("notes"), {}});
    fleet_.RunFor(Duration::Seconds(1));
    EXPECT_TRUE(fleet_.answered.contains(request)) << node;
  }
}

// Guards against a crash with std::out_of_range of every node when the first
// groups of two data centres were written. The controller planned over records
// of domains in which its own zone has no VM, and the planner looked up the VMs
// of such a domain.
TEST_F(NodeCoreTest, ControllersOfTwoZonesHandleEachOthersRecords) {
  fleet_.AddNode("n1", "z1");
  fleet_.AddNode("n2", "z2");
  for (const char* zone : {"1", "2"}) {
    for (const char* number : {"1", "2", "3"}) {
      fleet_.AddVm(std::string("v") + zone + number, std::string("d") + zone,
                   std::string("z") + zone);
    }
  }
  fleet_.RunFor(Duration::Seconds(3));
  DesiredModel model;
  model.model = ModelId("notes");
  model.vms_per_group = 2;
  model.targets[ZoneId("z1")] = GroupTarget{1, 1};
  model.targets[ZoneId("z2")] = GroupTarget{1, 1};
  fleet_.SetModel(NodeId("n1"), model);
  fleet_.RunFor(Duration::Seconds(60));
  EXPECT_EQ(fleet_.core("n1").Endpoints(fleet_.now()).size(), 2U);
  EXPECT_EQ(fleet_.core("n2").Endpoints(fleet_.now()).size(), 2U);
}

// Guards against a group that still gets requests after one of its VMs other
// than the first died. The first VM still answers, so that only evidence of
// each VM shows the loss.
TEST_F(NodeCoreTest, AGroupThatLostAVmClosesAndIsRepairedWithTheSpare) {
  StartFleet();
  FleetEngine* victim = nullptr;
  for (auto& [id, engine] : fleet_.engines()) {
    if (engine.loaded.members.size() == 2 &&
        engine.loaded.members[1].vm == id) {
      victim = &engine;
      break;
    }
  }
  ASSERT_NE(victim, nullptr);
  const GroupId group = victim->loaded.group;
  victim->alive = false;
  fleet_.RunFor(Duration::Seconds(5));
  for (const EndpointStatus& endpoint :
       fleet_.core("n1").Endpoints(fleet_.now())) {
    EXPECT_NE(endpoint.id, ServingGate::EndpointOf(group));
  }
  fleet_.RunFor(Duration::Seconds(60));
  EXPECT_EQ(fleet_.core("n1").Endpoints(fleet_.now()).size(), 3U);
}

TEST_F(NodeCoreTest, ASecondSendWithTheSameKeyIsReplayedThroughAnyNode) {
  StartFleet();
  const RequestTarget desk = ServiceTarget{ServiceId("desk")};
  const RequestId first = SendRequest("n1", desk, "reservation-1");
  fleet_.RunFor(Duration::Seconds(3));
  ASSERT_TRUE(fleet_.answered.contains(first));
  const std::size_t before = executions();
  for (const char* node : {"n1", "n2", "n3"}) {
    const RequestId again = SendRequest(node, desk, "reservation-1");
    fleet_.RunFor(Duration::Seconds(3));
    ASSERT_TRUE(fleet_.final_actions.contains(again)) << node;
    EXPECT_TRUE(
        std::holds_alternative<RespondReplay>(fleet_.final_actions.at(again)));
  }
  EXPECT_EQ(executions(), before);
}

TEST_F(NodeCoreTest, AWithdrawnContractIsRefusedAtEveryNode) {
  StartFleet();
  const ConfigEntry* entry =
      fleet_.core("n2").configuration().store().Find("contract/branch");
  ASSERT_NE(entry, nullptr);
  fleet_.ChangeConfig(NodeId("n2"), "contract/branch", std::nullopt,
                      entry->revision);
  fleet_.RunFor(Duration::Seconds(5));
  for (const char* node : {"n1", "n2", "n3"}) {
    const RequestId request =
        SendRequest(node, ModelTarget{ModelId("notes"), {}});
    fleet_.RunFor(Duration::Millis(200));
    ASSERT_TRUE(fleet_.final_actions.contains(request));
    const auto* refused =
        std::get_if<RespondRefused>(&fleet_.final_actions.at(request));
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->refusal.kind, RefusalKind::kUnknownKey);
  }
}

TEST_F(NodeCoreTest, APlannedStopCompletesWithoutFailingRequests) {
  StartFleet();
  const RequestId request =
      SendRequest("n3", ModelTarget{ModelId("notes"), {}});
  fleet_.Deliver(NodeId("n3"), StopRequested{});
  fleet_.RunFor(Duration::Seconds(1));
  EXPECT_TRUE(fleet_.answered.contains(request));
  for (const EntryAddress& entry :
       fleet_.core("n1").AdvertisedAddresses().entries) {
    EXPECT_NE(entry.address, Address("n3:caller"));
  }
  // Callers that have the address cached are still served until the cached copy
  // expires.
  const RequestId late = SendRequest("n3", ModelTarget{ModelId("notes"), {}});
  fleet_.RunFor(Duration::Seconds(1));
  EXPECT_TRUE(fleet_.answered.contains(late));
  fleet_.RunFor(Duration::Seconds(120));
  EXPECT_TRUE(fleet_.stopped(NodeId("n3")));
}

}  // namespace
}  // namespace gcw
