// Measures the cost of a node's work against the size of the fleet: its start,
// a changed registration and a tick, and the tick and an event of the node that
// keeps the groups. Allocations are the same in every run; times are printed
// beside them.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/allocation_count.h"
#include "bench/bench_report.h"
#include "tests/support/gateway_world.h"

namespace gcw::bench {
namespace {

constexpr std::size_t kVmsPerDomain = 35;
constexpr std::size_t kGroupSize = 7;
constexpr int kRepetitions = 200;

struct Cost {
  double allocations = 0;
  double micros = 0;
};

template <typename Call>
Cost CostOf(int repetitions, const Call& call) {
  const std::int64_t before = AllocationCount();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < repetitions; ++i) {
    call();
  }
  const std::chrono::duration<double, std::micro> passed =
      std::chrono::steady_clock::now() - start;
  return {static_cast<double>(AllocationCount() - before) / repetitions,
          passed.count() / repetitions};
}

// A node that routes to a fleet of open groups and holds no role. The benchmark
// answers each of its calls to the key-value service at once.
class RoutingNode {
 public:
  RoutingNode(std::size_t nodes, std::size_t vms) : vms_(vms) {
    MakeConfiguration();
    Put("cfg", "0");
    Put("role/keeper/fleet", "other");
    for (std::size_t i = 0; i < nodes; ++i) {
      Put("node/n" + std::to_string(i), std::to_string(i));
    }
    for (std::size_t i = 0; i < vms_; ++i) {
      Put(KeyOf(i), std::to_string(i));
    }
    GatewaySettings settings;
    settings.self.id = NodeId("self");
    settings.self.zone = ZoneId("z");
    settings.mirror.prefixes = {""};
    settings.mirror.expiring_prefixes = {"vm/", "node/"};
    settings.mirror.min_watch_interval = Duration::Millis(10);
    core_ = std::make_unique<GatewayCore>(settings, MakeCodecs(),
                                          SeededRandom(1), DiscardEvents());
  }

  void Start() {
    AnswerCalls(core_->SetOwnAddresses(now_, Address("c"), Address("p")));
    AnswerCalls(core_->Tick(now_));
  }

  void Tick() {
    now_ = now_ + Duration::Millis(40);
    AnswerCalls(core_->Tick(now_));
  }

  void ChangeRegistration(std::size_t vm) {
    ++slots_;
    Put(KeyOf(vm), std::to_string(vm));
    now_ = now_ + Duration::Millis(40);
    AnswerCalls(core_->Tick(now_));
  }

 private:
  static std::string KeyOf(std::size_t vm) { return "vm/" + NameOf(vm); }
  static std::string NameOf(std::size_t vm) {
    return "vm" + std::to_string(10000 + vm);
  }

  void MakeConfiguration() {
    EngineProfile profile;
    profile.batch_limit = 13;
    profile.models = {{ModelId("m"), kGroupSize, 1, 1, Duration::Seconds(16),
                       Duration::Seconds(1)}};
    configuration_.version = ConfigurationVersion(1);
    configuration_.services = {{ServiceId("llm"), 400, profile}};
  }

  GatewayCore::Codecs MakeCodecs() {
    GatewayCore::Codecs codecs;
    codecs.fleet.configuration_key = "cfg";
    codecs.fleet.vm_prefix = "vm/";
    codecs.fleet.decode_configuration = [this](std::string_view) {
      return std::optional<FleetConfiguration>(configuration_);
    };
    codecs.fleet.decode_registration = [this](const VmId& vm,
                                              std::string_view text) {
      return Registration(vm, std::stoul(std::string(text)));
    };
    codecs.fleet.decode_node = [](std::string_view text) {
      NodeRecord record;
      record.id = NodeId("n" + std::string(text));
      record.zone = ZoneId("z");
      return std::optional<NodeRecord>(record);
    };
    codecs.encode_node = [](const NodeRecord&) { return std::string("0"); };
    return codecs;
  }

  std::optional<VmRegistration> Registration(const VmId& vm,
                                             std::size_t index) const {
    VmRegistration registration;
    registration.id = vm;
    registration.service = ServiceId("llm");
    registration.address = Address(vm.value() + ":1");
    registration.zone = ZoneId("z");
    registration.domain =
        FabricDomainId("d" + std::to_string(index / kVmsPerDomain));
    registration.slots = slots_;
    registration.models = {ModelId("m")};
    registration.staged = {ModelId("m")};
    registration.membership = GroupMembership{
        GroupId("g" + std::to_string(index / kGroupSize)), Generation(1),
        static_cast<std::int64_t>(index % kGroupSize), MemberPhase::kOpen};
    return registration;
  }

  void Put(const std::string& key, const std::string& value) {
    const auto found = store_.entries().find(key);
    const Revision expected =
        found == store_.entries().end() ? Revision() : found->second.revision;
    store_.Execute(now_, StorePut{key, value, expected, LeaseId()});
  }

  void AnswerCalls(const GatewayActions& actions) {
    for (const GatewayAction& action : actions) {
      const auto* call = std::get_if<CallGatewayStore>(&action);
      if (call == nullptr) {
        continue;
      }
      const auto reply = store_.Execute(now_, call->request.call);
      AnswerCalls(core_->OnStoreReply(
          now_, call->module, call->request.id,
          reply
              ? *reply
              : StoreReply(StoreWatchReply{store_.revision(), {}, {}, false})));
    }
  }

  std::size_t vms_;
  FleetConfiguration configuration_;
  std::int64_t slots_ = 13;
  FakeStore store_;
  std::unique_ptr<GatewayCore> core_;
  Time now_ = Time() + Duration::Seconds(1);
};

// Cost of the node that keeps the groups of a fleet without failures.
struct ControllerCost {
  Cost tick;
  Cost event;
};

ControllerCost MeasureController(std::size_t domains) {
  GatewayWorld world(1, domains, kVmsPerDomain, 1);
  world.Run(Duration::Seconds(14));
  GatewayCore& core = *world.node(0).core;
  ControllerCost cost;
  cost.tick = CostOf(kRepetitions, [&] { core.Tick(world.now()); });
  cost.event = CostOf(kRepetitions, [&] {
    core.OnOrderReply(world.now(), OrderId(0), GroupOrderResult::kDone);
  });
  return cost;
}

struct Fleet {
  std::size_t nodes = 0;
  std::size_t domains = 0;
};

int Main(int argc, char** argv) {
  const BenchOptions options = ParseBenchOptions(argc, argv);
  const std::vector<Fleet> fleets = {{30, 3}, {100, 8}, {300, 25}, {1000, 85}};
  BenchReport report("gateway_scale",
                     {"nodes", "VMs", "what", "allocations", "microseconds"});
  for (const Fleet& fleet : fleets) {
    const std::size_t vms = fleet.domains * kVmsPerDomain;
    const std::string nodes = std::to_string(fleet.nodes);
    const auto add = [&](const std::string& what, const Cost& cost) {
      report.AddRow({nodes, std::to_string(vms), what,
                     FormatNumber(cost.allocations, 1),
                     FormatNumber(cost.micros, 1)});
      std::string figure = "nodes";
      figure.append(nodes).append("_").append(what).append("_allocations");
      report.SetFigure(std::move(figure), cost.allocations);
    };
    RoutingNode node(fleet.nodes, vms);
    add("start", CostOf(1, [&] { node.Start(); }));
    node.Tick();
    add("tick", CostOf(kRepetitions, [&] { node.Tick(); }));
    std::size_t vm = 0;
    add("change", CostOf(kRepetitions, [&] {
          node.ChangeRegistration(vm);
          vm = (vm + kGroupSize) % vms;
        }));
    const ControllerCost controller = MeasureController(fleet.domains);
    add("keeper_tick", controller.tick);
    add("keeper_event", controller.event);
  }
  return report.Finish(options);
}

}  // namespace
}  // namespace gcw::bench

int main(int argc, char** argv) {
  return gcw::bench::Main(argc, argv);
}
