#ifndef TESTS_SUPPORT_GATEWAY_WORLD_H_
#define TESTS_SUPPORT_GATEWAY_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/fake_store.h"
#include "tests/support/hold_rule.h"
#include "tests/support/limit_rule.h"
#include "tests/support/path_faults.h"
#include "tests/support/simulated_engines.h"

namespace gcw {

// Simulates gateways, a key-value service and engines in virtual time.
class GatewayWorld {
 public:
  static constexpr Duration kStep = Duration::Millis(10);
  static constexpr Duration kNetworkDelay = Duration::Millis(2);
  static constexpr Duration kConnectTimeout = Duration::Millis(350);
  static constexpr Duration kHeartbeat = Duration::Millis(1200);
  static constexpr Duration kRegistrationTtl = Duration::Millis(3600);
  // The background traffic's requests all differ, and have contents above this.
  static constexpr std::int64_t kFirstOwnContent = 1000000;
  static constexpr std::string_view kEvacuationPrefix = "evacuate/";

  using Engine = SimulatedEngines::Engine;
  struct Node {
    std::unique_ptr<GatewayCore> core;
    bool alive = true;
    bool store_cut = false;
    // The service refuses this node's calls.
    bool store_rejects = false;
    // The process stands still, and what is sent to it is lost.
    bool frozen = false;
    // Calls to the service, without renewals of leases, which cost less.
    std::int64_t store_calls = 0;
    std::int64_t store_renewals = 0;
    int run = 0;
  };
  // The node that passed a request on to another node.
  struct RelaySource {
    std::size_t node;
    int run;
    ForwardId id;
  };
  // One attempt of a caller.
  struct SimulatedRequest {
    std::string model;
    Fingerprint content;
    // The parts of its prompt that other requests share.
    std::vector<PromptPartId> parts;
    // The engine that begins to run it crashes.
    bool crashes = false;
    // Number of the caller's attempts before this one.
    int earlier_attempts = 0;
    Time arrived;
    // Number of the caller's attempt, counted over all nodes.
    std::int64_t number = 0;
    std::optional<RelaySource> relayed_by;
  };
  struct Stream {
    std::size_t node;
    ForwardId id;
    SimulatedRequest request;
    VmId vm;
    GroupId group = {};
    int events = 0;
    int run = 0;
    Time sent = {};
    // Time of the last event, or of the send if there was none.
    Time last_event = {};
    // When the request's time is over at its endpoint.
    Time deadline = {};
    // The attempt runs beside a silent one.
    bool is_second = false;
    // The node has closed the connection.
    bool is_cancelled = false;
  };

  GatewayWorld(std::size_t nodes,
               std::size_t domains,
               std::size_t vms,
               std::uint64_t seed)
      : random_(SeededRandom(seed)) {
    MakeConfiguration();
    for (std::size_t d = 0; d < domains; ++d) {
      for (std::size_t v = 0; v < vms; ++v) {
        AddEngine("d" + std::to_string(d),
                  "vm" + std::to_string(d) + "-" + std::to_string(v));
      }
    }
    nodes_.resize(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
      StartNode(i);
    }
  }

  void Run(Duration time) {
    const Time end = now_ + time;
    while (now_ < end) {
      now_ = now_ + kStep;
      RunDueEvents();
      if (!store_down) {
        store_.ExpireLeases(now_);
        AnswerWatches();
      } else {
        TimeOutWatches();
      }
      if ((now_.millis() / kStep.millis()) % 4 == 0) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
          if (IsRunning(i)) {
            Execute(i, nodes_[i].core->Tick(now_));
          }
        }
      }
      ExpireRegistrations();
      if (traffic && now_.millis() % request_interval.millis() == 0) {
        SendRequests();
      }
      if ((now_.millis() / kStep.millis()) % 5 == 0) {
        AdvanceStreams();
      }
    }
  }

  // Runs until the condition holds or the limit has passed; returns whether it
  // holds.
  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    const Time end = now_ + limit;
    while (now_ < end) {
      if (condition()) {
        return true;
      }
      Run(Duration::Millis(50));
    }
    return condition();
  }

  Engine& engine(const VmId& vm) { return engines_.at(vm); }
  std::map<VmId, Engine>& engines() { return engines_; }
  const std::map<VmId, Engine>& engines() const { return engines_; }
  Node& node(std::size_t index) { return nodes_.at(index); }
  std::size_t node_count() const { return nodes_.size(); }
  FakeStore& store() { return store_; }
  Time now() const { return now_; }
  const std::vector<std::string>& violations() const {
    return engine_simulation_.violations();
  }

  std::size_t open_groups(const std::string& model) const {
    std::size_t open = 0;
    for (const auto& [id, engine] : engines_) {
      const auto& membership = engine.self.membership;
      open += engine.alive && membership &&
                      membership->phase == MemberPhase::kOpen &&
                      engine.self.models.front() == ModelId(model) &&
                      engine_simulation_.HasAllMembers(engine)
                  ? 1
                  : 0;
    }
    return open;
  }

  // Returns the first member of an open group of the model.
  VmId OpenHead(const std::string& model) const {
    for (const auto& [id, engine] : engines_) {
      const auto& membership = engine.self.membership;
      if (engine.alive && membership &&
          membership->phase == MemberPhase::kOpen &&
          engine.self.models.front() == ModelId(model)) {
        return id;
      }
    }
    return VmId();
  }

  // Whether the VM is a member of an open group.
  bool IsInOpenGroup(const VmId& vm) const {
    for (const auto& [id, engine] : engines_) {
      const auto& membership = engine.self.membership;
      if (membership && membership->phase == MemberPhase::kOpen &&
          std::count(engine.group_members.begin(), engine.group_members.end(),
                     vm) > 0) {
        return true;
      }
    }
    return false;
  }

  // Returns the members of the VM's group; the first has rank 0.
  std::vector<VmId> GroupMembersOf(const VmId& vm) const {
    return engines_.at(vm).group_members;
  }

  std::optional<std::size_t> controller() const {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].alive && nodes_[i].core->is_controller(now_)) {
        return i;
      }
    }
    return std::nullopt;
  }

  void Kill(const VmId& vm) {
    Engine& engine = engines_.at(vm);
    engine.alive = false;
    engine.unreachable_since = now_;
  }
  void Partition(const VmId& vm, bool from_nodes) {
    Engine& engine = engines_.at(vm);
    engine.store_cut = true;
    engine.node_cut = from_nodes;
    engine.unreachable_since = now_;
  }
  void Heal(const VmId& vm) {
    Engine& engine = engines_.at(vm);
    engine.store_cut = false;
    engine.node_cut = false;
    Publish(engine);
  }
  void AddEngine(const std::string& domain, const std::string& name) {
    Engine engine;
    engine.self.id = VmId(name);
    engine.self.service = ServiceId("llm");
    engine.self.address = Address(name + ":1");
    engine.self.zone = ZoneId("z");
    engine.self.domain = FabricDomainId(domain);
    engine.self.slots = 26;
    Publish(engines_.emplace(VmId(name), std::move(engine)).first->second);
  }
  void Drain(const VmId& vm) {
    engines_.at(vm).self.draining = true;
    Publish(engines_.at(vm));
  }
  // The engine's process ends and closes its connections. It restarts under its
  // id after a while.
  void Crash(const VmId& vm) {
    Kill(vm);
    engines_.at(vm).refuses_connections = true;
    BreakStreamsAt(vm);
    Schedule(restart_delay, [this, vm] { Restart(vm); });
  }
  // The path from the node to the engine fails in this way from now on.
  void SetPath(std::size_t node, const VmId& vm, PathFault fault) {
    paths_.Set(node, vm, fault);
    if (fault != PathFault::kReset) {
      return;
    }
    for (const Stream& stream : streams_) {
      if (stream.node == node && stream.vm == vm) {
        Schedule(kNetworkDelay, [this, node, id = stream.id, vm] {
          BreakStream(node, id, vm);
        });
      }
    }
  }
  // The same for the paths to all engines.
  void SetPaths(std::size_t node, PathFault fault) {
    for (const auto& [vm, engine] : engines_) {
      SetPath(node, vm, fault);
    }
  }
  // The connections to the engine break, and its process goes on.
  void ResetConnections(const VmId& vm) { BreakStreamsAt(vm); }
  // Crashes the engine and restarts it under its id at once.
  void Restart(const VmId& vm) {
    limit_rule_.OnNamed(now_, vm, std::nullopt);
    engine_simulation_.Restart(vm, Incarnation(now_.millis()));
    Publish(engines_.at(vm));
  }
  // The engine's answers name this limit from now on, or none.
  void NameLimit(const VmId& vm, std::optional<double> per_second) {
    engines_.at(vm).rate_limit = per_second;
    limit_rule_.OnNamed(now_, vm, per_second);
  }
  const LimitRule& limit_rule() const { return limit_rule_; }
  const HoldRule& hold_rule() const { return hold_rule_; }
  // Number of requests that reached the engine.
  int Arrivals(const VmId& vm) const {
    const auto found = arrivals_.find(vm);
    return found == arrivals_.end() ? 0 : found->second;
  }
  // Writes an entry as another client of the store.
  void WriteStoreEntry(const std::string& key, const std::string& value) {
    Put(key, value);
  }
  // Writes the entry of a node that does not run.
  void WriteNodeEntry(const NodeRecord& record) {
    node_records_.push_back(record);
    Put(std::string(kNodePrefix) + record.id.value(),
        std::to_string(node_records_.size() - 1));
  }
  // Operators evacuate the data centre, or take the evacuation back.
  void Evacuate(const std::string& zone) {
    Put(std::string(kEvacuationPrefix) + zone, "{}");
  }
  void EndEvacuation(const std::string& zone) {
    const std::string key = std::string(kEvacuationPrefix) + zone;
    store_.Execute(now_, StoreDelete{key, store_.entries().at(key).revision});
  }
  // Places all VMs of the domain in the data centre.
  void PlaceDomain(const std::string& domain, const std::string& zone) {
    for (auto& [id, engine] : engines_) {
      if (engine.self.domain == FabricDomainId(domain)) {
        engine.self.zone = ZoneId(zone);
        Publish(engine);
      }
    }
  }
  // The engine is cold from now on for the time. It registers this after
  // `report_delay`.
  void TurnCold(const VmId& vm, Duration time, Duration report_delay) {
    Engine& engine = engines_.at(vm);
    Schedule(report_delay, [this, vm, time, report_delay] {
      engines_.at(vm).self.warm_up_left = time - report_delay;
      Publish(engines_.at(vm));
    });
    Schedule(time, [this, vm] {
      engines_.at(vm).self.warm_up_left = Duration();
      Publish(engines_.at(vm));
    });
    engine.cold_until = now_ + time;
  }
  // Writes the registration again, as if its numbers had changed.
  void RewriteRegistration(const VmId& vm) { Publish(engines_.at(vm)); }

  // Notifies the controller's node that the group of this first member is
  // stalled.
  void ReportStalledGroup(const VmId& head) {
    if (const auto node = controller()) {
      const auto& membership = engines_.at(head).self.membership;
      if (membership) {
        Execute(*node, nodes_[*node].core->OnStallNotice(
                           now_, {head, membership->generation}));
      }
    }
  }

  bool IsRunning(std::size_t index) const {
    return nodes_[index].alive && !nodes_[index].frozen;
  }
  void SetFrozen(std::size_t index, bool frozen) {
    nodes_[index].frozen = frozen;
    limit_rule_.Excuse(index);
    hold_rule_.Excuse(index);
  }
  void KillNode(std::size_t index) {
    nodes_[index].alive = false;
    nodes_[index].core.reset();
    ++nodes_[index].run;
    limit_rule_.Excuse(index);
    hold_rule_.Excuse(index);
    std::erase_if(streams_, [&](const Stream& s) { return s.node == index; });
    OnNodeLost(index);
    std::erase_if(waiting_,
                  [&](const auto& each) { return each.first.first == index; });
  }
  void StartNode(std::size_t index) {
    Node& node = nodes_[index];
    node.alive = true;
    ++node.run;
    GatewaySettings settings;
    settings.self.id = NodeId("n" + std::to_string(index));
    settings.self.zone = ZoneId("z");
    if (weights.contains(index)) {
      settings.self.weight = weights.at(index);
    }
    settings.self.peer_address = Address(std::to_string(index));
    settings.self.caller_address = Address("c" + std::to_string(index));
    settings.mirror.prefixes = {"cfg",   std::string(kEvacuationPrefix),
                                "vm/",   "node/",
                                "role/", std::string(kCrashRecordPrefix)};
    settings.mirror.expiring_prefixes = {"vm/", "node/"};
    adjust_settings(settings);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      settings.seeds.emplace_back(std::to_string(i));
    }
    GatewayCore::Codecs codecs;
    codecs.fleet.configuration_key = "cfg";
    codecs.fleet.vm_prefix = "vm/";
    codecs.fleet.evacuation_prefix = kEvacuationPrefix;
    codecs.fleet.decode_configuration = [this](std::string_view) {
      return std::optional<FleetConfiguration>(configuration_);
    };
    codecs.fleet.decode_registration =
        [this](const VmId&,
               std::string_view text) -> std::optional<VmRegistration> {
      if (text.find_first_not_of("0123456789") != std::string_view::npos) {
        return std::nullopt;
      }
      return registrations_.at(std::stoul(std::string(text)));
    };
    codecs.fleet.decode_node = [this](std::string_view text) {
      return std::optional<NodeRecord>(
          node_records_.at(std::stoul(std::string(text))));
    };
    codecs.domain_record.encode = [this](const DomainRecord& record) {
      domain_records_.push_back(record);
      return std::to_string(domain_records_.size() - 1);
    };
    codecs.domain_record.decode = [this](std::string_view text) {
      return std::optional<DomainRecord>(
          domain_records_.at(std::stoul(std::string(text))));
    };
    codecs.crash_record.encode = [this](const CrashRecord& record) {
      crash_records_.push_back(record);
      return std::to_string(crash_records_.size() - 1);
    };
    codecs.crash_record.decode = [this](std::string_view text) {
      return std::optional<CrashRecord>(
          crash_records_.at(std::stoul(std::string(text))));
    };
    codecs.encode_node = [this](const NodeRecord& record) {
      node_records_.push_back(record);
      return std::to_string(node_records_.size() - 1);
    };
    node.core = std::make_unique<GatewayCore>(
        settings, std::move(codecs), SeededRandom(DrawBelow(random_, 1000000)),
        [this](const EventDraft& event) {
          on_node_event(event);
          return EventId();
        });
  }

  // Starts a node that the fleet did not have before; returns its index.
  std::size_t AddNode() {
    nodes_.emplace_back();
    StartNode(nodes_.size() - 1);
    return nodes_.size() - 1;
  }
  // The node is told to stop, and ends once its stop is complete.
  void StopNode(std::size_t index) {
    nodes_[index].core->OnStopRequested(now_);
    EndWhenDrained(index, nodes_[index].run);
  }

  // Publishes the next version of the configuration.
  void ChangeConfiguration(
      const std::function<void(FleetConfiguration&)>& change) {
    change(configuration_);
    configuration_.version =
        ConfigurationVersion(configuration_.version.value() + 1);
    Put("cfg", "0");
  }

  // A caller's attempt arrives at the node.
  void Send(std::size_t node, SimulatedRequest simulated) {
    simulated.arrived = now_;
    simulated.number = ++last_attempt_number_;
    const ForwardAdmission admission =
        nodes_[node].core->OnArrived(now_, MakeRequest(simulated));
    Take(node, admission.id, simulated, admission.step);
    Execute(node, nodes_[node].core->TakeRequestActions(now_));
  }

  // Weights, other than 1, of nodes that start from now on.
  std::map<std::size_t, std::int64_t> weights;
  // A request that waited for a decision need not wait any longer.
  std::function<void(const SimulatedRequest&)> on_decided =
      [](const SimulatedRequest&) {};
  bool store_down = false;
  bool traffic = false;
  // Changes the settings of nodes that start.
  std::function<void(GatewaySettings&)> adjust_settings = [](GatewaySettings&) {
  };
  // How an engine that was sent a request ends it at once. It runs the request
  // if this returns nothing.
  std::function<std::optional<ForwardEndKind>(const SimulatedRequest&,
                                              const VmId&)>
      end_at_once = [](const auto&, const VmId&) { return std::nullopt; };
  // Interval at which each node gets a request for each model.
  Duration request_interval = Duration::Millis(100);
  // Answers to refused requests, in order.
  std::vector<ForwardRefused> refusals;
  // If set, callers leave after this long without an event of their stream.
  std::optional<Duration> caller_patience;
  // Nodes that get no requests.
  std::set<std::size_t> idle_nodes;
  // Streams that completed, and those that were cut off or never answered.
  int completed_streams = 0;
  int lost_streams = 0;
  int failed_over_streams = 0;
  int second_attempts = 0;
  int progress_requests = 0;
  int change_requests = 0;
  int limit_notices = 0;
  int endpoint_checks = 0;
  int reach_queries = 0;
  int relayed_requests = 0;
  int crash_notices = 0;
  bool lose_crash_notices = false;
  // Number of claims of run locks that nodes have sent to others.
  int run_lock_claims = 0;
  bool lose_limit_notices = false;
  // Whether new connections to engines that were killed time out.
  bool lost_machines_time_out = false;
  // Whether engines accept new connections for requests.
  bool engines_listen = true;
  // Time that a request waits at an engine before it begins to run.
  Duration queue_delay;
  Duration restart_delay = Duration::Seconds(3);
  // Completes a request of the background traffic.
  std::function<void(SimulatedRequest&)> complete = [](SimulatedRequest&) {};
  // An engine began to answer the request.
  std::function<void(const SimulatedRequest&)> on_begin =
      [](const SimulatedRequest&) {};
  // A request reached an engine.
  std::function<void(const SimulatedRequest&, std::size_t node, const VmId&)>
      on_arrival = [](const auto&, std::size_t, const VmId&) {};
  // An engine crashed because it ran the request.
  std::function<void(const SimulatedRequest&, const VmId&)> on_crash =
      [](const auto&, const VmId&) {};
  // The caller got its final answer.
  std::function<
      void(const SimulatedRequest&, std::size_t node, const ForwardStep&)>
      on_final = [](const auto&, std::size_t, const ForwardStep&) {};
  // The caller left without a final answer.
  std::function<void(const SimulatedRequest&, std::size_t node)> on_left =
      [](const auto&, std::size_t) {};
  // The caller got the event of this number from this endpoint.
  std::function<void(const SimulatedRequest&, const VmId&, int event)>
      on_delivered = [](const auto&, const VmId&, int) {};
  // A node reported an event.
  std::function<void(const EventDraft&)> on_node_event = [](const auto&) {};
  // Requests for a snapshot of all keys.
  int snapshot_requests = 0;
  int role_reads = 0;

 protected:
  void Execute(std::size_t index, const GatewayActions& actions) {
    for (const GatewayAction& action : actions) {
      std::visit([&](const auto& each) { Perform(index, each); }, action);
    }
  }

  // All connections to the engine close.
  void BreakStreamsAt(const VmId& vm) {
    for (const Stream& stream : streams_) {
      if (stream.vm == vm) {
        Schedule(kNetworkDelay, [this, node = stream.node, id = stream.id, vm] {
          BreakStream(node, id, vm);
        });
      }
    }
  }
  void Schedule(Duration delay, std::function<void()> run) {
    queue_.emplace(now_ + delay, std::move(run));
  }

 private:
  void MakeConfiguration() {
    EngineProfile profile;
    profile.batch_limit = 26;
    profile.steps_per_pass = 6;
    profile.step_ms = 6.45;
    profile.prompt_tokens_per_ms = 56;
    profile.group_formation_time = Duration::Millis(300);
    profile.loads_per_second = 5.5;
    profile.max_concurrent_loads = 8;
    profile.models = {{ModelId("large"), 6, 0.67, 1.0, Duration::Seconds(16),
                       Duration::Millis(1600)},
                      {ModelId("small"), 3, 0.33, 0.6, Duration::Seconds(12),
                       Duration::Millis(1100)}};
    configuration_.version = ConfigurationVersion(1);
    configuration_.services = {{ServiceId("llm"), 400, profile}};
    RouteRule route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/m/";
    route.retry_policy = RetryPolicy::kResume;
    route.streams = true;
    route.time_limit = Duration::Seconds(8);
    route.shares = {{ServiceId("llm"), 1}};
    route.max_attempts = 2;
    configuration_.routes = {route};
    Put("cfg", "0");
  }

  void Put(const std::string& key, const std::string& value) {
    const auto found = store_.entries().find(key);
    const Revision expected =
        found == store_.entries().end() ? Revision() : found->second.revision;
    store_.Execute(now_, StorePut{key, value, expected, LeaseId()});
  }

  void Publish(const Engine& engine) {
    if (!engine.alive || engine.store_cut || store_down) {
      return;
    }
    registrations_.push_back(engine.self);
    const std::string value = std::to_string(registrations_.size() - 1);
    const std::string key = "vm/" + engine.self.id.value();
    if (engine.report_delay == Duration()) {
      Put(key, value);
    } else {
      Schedule(engine.report_delay, [this, key, value] { Put(key, value); });
    }
  }

  void ExpireRegistrations() {
    if (store_down) {
      return;
    }
    for (auto& [id, engine] : engines_) {
      const bool silent = !engine.alive || engine.store_cut;
      const std::string key = "vm/" + id.value();
      const auto found = store_.entries().find(key);
      if (silent && found != store_.entries().end() &&
          now_ - engine.unreachable_since >= kRegistrationTtl) {
        store_.Execute(now_, StoreDelete{key, found->second.revision});
      }
    }
  }

  void RunDueEvents() {
    while (!queue_.empty() && queue_.begin()->first <= now_) {
      const auto run = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      run();
    }
  }

  // Runs `handle` at a node, unless the node was killed or restarted meanwhile.
  void RunAtNode(std::size_t index,
                 int run,
                 const std::function<GatewayActions(GatewayCore&)>& handle) {
    if (IsRunning(index) && nodes_[index].run == run) {
      Execute(index, handle(*nodes_[index].core));
    }
  }

  void Reply(std::size_t index,
             int run,
             const CallGatewayStore& call,
             const StoreReply& reply,
             Duration delay) {
    Schedule(delay, [this, index, run, call, reply] {
      RunAtNode(index, run, [&](GatewayCore& core) {
        return core.OnStoreReply(now_, call.module, call.request.id, reply);
      });
    });
  }

  void Perform(std::size_t index, const CallGatewayStore& call) {
    const int run = nodes_[index].run;
    const bool is_renewal =
        std::holds_alternative<StoreLeaseKeepAlive>(call.request.call);
    ++(is_renewal ? nodes_[index].store_renewals : nodes_[index].store_calls);
    role_reads += call.module == GatewayModule::kRoles &&
                          std::holds_alternative<StoreRange>(call.request.call)
                      ? 1
                      : 0;
    if (nodes_[index].store_rejects) {
      Reply(index, run, call, StoreRefused{}, kNetworkDelay * 2);
      return;
    }
    if (store_down || nodes_[index].store_cut) {
      Reply(index, run, call, StoreNoAnswer{}, Duration::Millis(600));
      return;
    }
    if (const auto* watch = std::get_if<StoreWatch>(&call.request.call)) {
      watches_.push_back({index, run, call, now_ + watch->wait});
      return;
    }
    const auto reply = store_.Execute(now_, call.request.call);
    Reply(index, run, call, *reply, kNetworkDelay * 2);
  }

  struct Watch {
    std::size_t node;
    int run;
    CallGatewayStore call;
    Time until;
  };

  void AnswerWatches() {
    std::vector<Watch> waiting = std::exchange(watches_, {});
    for (Watch& watch : waiting) {
      const auto reply = store_.Execute(now_, watch.call.request.call);
      if (reply) {
        Reply(watch.node, watch.run, watch.call, *reply, kNetworkDelay);
      } else if (now_ >= watch.until) {
        Reply(watch.node, watch.run, watch.call,
              StoreWatchReply{store_.revision(), {}, {}, false}, kNetworkDelay);
      } else {
        watches_.push_back(std::move(watch));
      }
    }
  }

  // Ends watches without an answer some time after they should have returned.
  void TimeOutWatches() {
    constexpr Duration kWatchTimeout = Duration::Millis(600);
    std::vector<Watch> waiting = std::exchange(watches_, {});
    for (Watch& watch : waiting) {
      if (now_ >= watch.until + kWatchTimeout) {
        Reply(watch.node, watch.run, watch.call, StoreNoAnswer{},
              kNetworkDelay);
      } else {
        watches_.push_back(std::move(watch));
      }
    }
  }

  void Perform(std::size_t index, const RequestNodeSnapshot& ask) {
    const std::size_t other = std::stoul(ask.address.value());
    ++snapshot_requests;
    if (!nodes_[other].alive) {
      return;
    }
    const auto snapshot = nodes_[other].core->Snapshot(ask.newer_than);
    if (snapshot) {
      const int run = nodes_[index].run;
      Schedule(kNetworkDelay, [this, index, run, snapshot] {
        RunAtNode(index, run, [&](GatewayCore& core) {
          return core.OnSnapshot(now_, *snapshot);
        });
      });
    }
  }

  void Perform(std::size_t index, const RequestNodeChanges& ask) {
    const std::size_t other = std::stoul(ask.address.value());
    ++change_requests;
    const ChangesRequestId changes_request(++last_changes_request_);
    pending_changes_requests_[changes_request] = {index, nodes_[index].run,
                                                  ask.id};
    Schedule(ask.wait + ask.timeout, [this, changes_request] {
      ReplyToChangesRequest(changes_request, std::nullopt);
    });
    const int run = nodes_[other].run;
    Schedule(kNetworkDelay, [this, other, run, changes_request, ask] {
      RunAtNode(other, run, [&](GatewayCore& core) {
        return core.OnChangesRequest(now_,
                                     {changes_request, ask.after, ask.wait});
      });
    });
  }

  void Perform(std::size_t /*index*/, const ChangesReply& answer) {
    Schedule(kNetworkDelay, [this, answer] {
      ReplyToChangesRequest(answer.id, answer.changes);
    });
  }

  void ReplyToChangesRequest(ChangesRequestId id,
                             const std::optional<MirrorChanges>& changes) {
    const auto changes_request = pending_changes_requests_.find(id);
    if (changes_request == pending_changes_requests_.end()) {
      return;
    }
    const PendingChangesRequest pending = changes_request->second;
    pending_changes_requests_.erase(changes_request);
    RunAtNode(pending.node, pending.run, [&](GatewayCore& core) {
      return core.OnChangesReply(now_, pending.call, changes);
    });
  }

  void Perform(std::size_t /*index*/, const NotifyNode& tell) {
    const std::size_t other = std::stoul(tell.address.value());
    const int run = nodes_[other].run;
    Schedule(kNetworkDelay, [this, other, run, tell] {
      RunAtNode(other, run, [&](GatewayCore& core) {
        return core.OnStallNotice(now_, tell.notice);
      });
    });
  }

  void Perform(std::size_t /*index*/, const NotifyLimit& tell) {
    const std::size_t other = std::stoul(tell.address.value());
    const int run = nodes_[other].run;
    ++limit_notices;
    if (lose_limit_notices) {
      return;
    }
    Schedule(kNetworkDelay, [this, other, run, tell] {
      RunAtNode(other, run, [&](GatewayCore& core) {
        return core.OnLimitNotice(now_, tell.notice);
      });
    });
  }

  void Perform(std::size_t index, const RequestGroupProgress& ask) {
    const std::size_t other = std::stoul(ask.address.value());
    ++progress_requests;
    if (!nodes_[other].alive) {
      return;
    }
    const int run = nodes_[index].run;
    const auto age = nodes_[other].core->ProgressAge(now_, ask.group);
    Schedule(kNetworkDelay * 2, [this, index, run, ask, age] {
      RunAtNode(index, run, [&](GatewayCore& core) {
        return age ? core.OnProgressReply(now_, ask.group, *age)
                   : GatewayActions();
      });
    });
  }

  void Perform(std::size_t index, const DropPooledConnections& drop) {
    const std::string& address = drop.address.value();
    paths_.DropIdle(index, VmId(address.substr(0, address.find(':'))));
  }
  void Perform(std::size_t index, const FailOverForward& move) {
    const auto stream = FindStream(index, move.id, false);
    if (stream == streams_.end()) {
      AbandonRelay(index, move.id, ForwardEndKind::kSilent);
      return;
    }
    const Stream moved = *stream;
    const std::optional<ForwardStep> step =
        nodes_[index].core->FailOver(now_, move.id, MakeEnd(moved));
    if (!step) {
      return;
    }
    ++failed_over_streams;
    EraseStreams(index, move.id);
    Take(index, move.id, moved.request, *step, moved.events);
  }

  void Perform(std::size_t index, const HedgeForward& hedge) {
    const auto stream = FindStream(index, hedge.id, false);
    if (stream == streams_.end()) {
      return;
    }
    const Stream silent = *stream;
    const std::optional<SendForward> send =
        nodes_[index].core->StartSecondAttempt(now_, hedge.id, MakeEnd(silent));
    if (send) {
      ++second_attempts;
      SendAttempt(index, hedge.id, silent.request, *send, silent.events, true);
    }
  }

  static ForwardEnd MakeEnd(const Stream& stream) {
    ForwardEnd end;
    end.kind = ForwardEndKind::kSilent;
    end.delivered = stream.events > 0;
    if (end.delivered) {
      end.last_event = stream.events;
    }
    return end;
  }

  std::vector<Stream>::iterator FindStream(std::size_t node,
                                           ForwardId id,
                                           bool is_second) {
    return std::find_if(streams_.begin(), streams_.end(), [&](const Stream& s) {
      return s.node == node && s.id == id && s.is_second == is_second &&
             !s.is_cancelled;
    });
  }

  void EraseStreams(std::size_t node, ForwardId id) {
    std::erase_if(streams_, [&](const Stream& s) {
      return s.node == node && s.id == id;
    });
  }

 protected:
  // The connection of a stream closes before the end of its answer.
  void BreakStream(std::size_t index,
                   ForwardId id,
                   const VmId& vm,
                   ForwardEndKind kind = ForwardEndKind::kConnectionBroken) {
    const auto stream =
        std::find_if(streams_.begin(), streams_.end(), [&](const Stream& s) {
          return s.node == index && s.id == id && s.vm == vm && !s.is_cancelled;
        });
    if (stream == streams_.end() || !IsRunning(index)) {
      return;
    }
    const Stream broken = *stream;
    streams_.erase(stream);
    ForwardEnd end;
    end.kind = kind;
    end.closed_by_endpoint = kind == ForwardEndKind::kConnectionBroken;
    end.delivered = broken.events > 0;
    if (end.delivered) {
      end.last_event = broken.events;
    }
    EndStream(broken, end);
  }

  // An attempt whose stream is removed already ended.
  void EndStream(const Stream& ended, const ForwardEnd& end) {
    GatewayCore& core = *nodes_[ended.node].core;
    if (ended.is_second) {
      core.OnSecondAttemptEnded(now_, ended.id, end);
    } else {
      const ForwardStep step = core.OnEnded(now_, ended.id, end);
      Take(ended.node, ended.id, ended.request, step, ended.events, true);
    }
    Execute(ended.node, core.TakeRequestActions(now_));
  }

 private:
  void Perform(std::size_t /*index*/, const NotifyCrashes& tell) {
    const std::size_t other = std::stoul(tell.address.value());
    const int run = nodes_[other].run;
    ++crash_notices;
    if (lose_crash_notices) {
      return;
    }
    Schedule(kNetworkDelay, [this, other, run, tell] {
      RunAtNode(other, run, [&](GatewayCore& core) {
        return core.OnCrashNotices(now_, tell.notices);
      });
    });
  }

  void Perform(std::size_t index, const ClaimRunLock& ask) {
    const std::size_t owner = std::stoul(ask.owner.value());
    RunLockClaim claim = ask.claim;
    claim.id = RunLockClaimId(++last_run_lock_claim_);
    run_lock_claims_[claim.id] = {index, nodes_[index].run, ask.claim};
    ++run_lock_claims;
    Schedule(claim.wait + Duration::Millis(500), [this, id = claim.id] {
      Perform(0, AnswerRunLockClaim{id, {}});
    });
    Schedule(kNetworkDelay, [this, owner, run = nodes_[owner].run, claim] {
      RunAtNode(owner, run, [&](GatewayCore& core) {
        return core.OnRunLockClaim(now_, claim);
      });
    });
  }

  void Perform(std::size_t /*index*/, const AnswerRunLockClaim& answer) {
    const auto found = run_lock_claims_.find(answer.id);
    if (found == run_lock_claims_.end()) {
      return;
    }
    const PendingRunLockClaim pending = found->second;
    run_lock_claims_.erase(found);
    Schedule(kNetworkDelay, [this, pending, reply = answer.reply] {
      RunAtNode(pending.node, pending.run, [&](GatewayCore& core) {
        return core.OnRunLockReply(now_, pending.claim, reply);
      });
    });
  }

  void Perform(std::size_t /*index*/, const ReleaseRunLock& release) {
    const std::size_t owner = std::stoul(release.owner.value());
    Schedule(kNetworkDelay, [this, owner, run = nodes_[owner].run, release] {
      RunAtNode(owner, run, [&](GatewayCore& core) {
        return core.OnRunLockRelease(now_, release.release);
      });
    });
  }

  void Perform(std::size_t index, const QueryReach& ask) {
    const std::size_t other = std::stoul(ask.address.value());
    ++reach_queries;
    Schedule(kNetworkDelay, [this, index, run = nodes_[index].run, other, ask] {
      if (!IsRunning(other)) {
        return;
      }
      const ReachReport report = nodes_[other].core->Reach(now_);
      Schedule(kNetworkDelay, [this, index, run, ask, report] {
        RunAtNode(index, run, [&](GatewayCore& core) {
          return core.OnReachReport(now_, ask.address, report);
        });
      });
    });
  }

  void Perform(std::size_t index, const ContinueForward& next) {
    const auto found = waiting_.find({index, next.id});
    if (found == waiting_.end()) {
      return;
    }
    const Waiting waiting = found->second;
    waiting_.erase(found);
    if (!waiting.is_after_attempt) {
      on_decided(waiting.request);
    }
    Take(index, next.id, waiting.request, next.step, waiting.events);
  }

  void Perform(std::size_t index, const EndForward& ended) {
    waiting_.erase({index, ended.id});
    for (auto it = streams_.begin(); it != streams_.end(); ++it) {
      if (it->node == index && it->id == ended.id) {
        const SimulatedRequest request = it->request;
        streams_.erase(it);
        Finish(request, index, ended.step);
        return;
      }
    }
  }

  // Time until the engine's process answers again.
  Duration StopTime(const Engine& engine) const {
    return engine.alive && engine.is_stopped_in_pause
               ? std::max(Duration(), engine.paused_until - now_)
               : Duration();
  }

  void Perform(std::size_t index, const CheckEndpoint& check) {
    const int run = nodes_[index].run;
    const Engine& engine = engines_.at(check.vm);
    const PathFault fault = paths_.Of(index, check.vm);
    const bool is_reachable = !engine.node_cut && fault != PathFault::kSilent &&
                              (engine.alive || engine.refuses_connections);
    const bool is_stopped = StopTime(engine) > check.timeout;
    const ProbeResult result = !is_reachable ? ProbeResult::kUnreachable
                               : is_stopped  ? ProbeResult::kConnected
                               : engine.alive && fault == PathFault::kNone
                                   ? ProbeResult::kAnswered
                                   : ProbeResult::kRefused;
    ++endpoint_checks;
    Schedule(is_reachable
                 ? std::min(StopTime(engine) + kNetworkDelay * 2, check.timeout)
                 : check.timeout,
             [this, index, run, check, result] {
               RunAtNode(index, run, [&](GatewayCore& core) {
                 return core.OnCheckReply(now_, check, result);
               });
             });
  }

  void Perform(std::size_t index, const ProbeEngine& probe) {
    const int run = nodes_[index].run;
    const Engine& engine = engines_.at(probe.vm);
    const PathFault fault = paths_.Of(index, probe.vm);
    const bool is_refused =
        fault == PathFault::kReset || fault == PathFault::kNewRefused;
    const bool answers =
        engine.alive && !engine.node_cut && fault == PathFault::kNone;
    const bool is_stopped = answers && StopTime(engine) > probe.timeout;
    const ProbeResult result = is_stopped   ? ProbeResult::kConnected
                               : answers    ? ProbeResult::kAnswered
                               : is_refused ? ProbeResult::kRefused
                                            : ProbeResult::kUnreachable;
    Schedule(answers || is_refused
                 ? std::min(StopTime(engine) + kNetworkDelay * 2, probe.timeout)
                 : probe.timeout,
             [this, index, run, probe, result] {
               RunAtNode(index, run, [&](GatewayCore& core) {
                 return core.OnProbeReply(
                     now_, probe.vm, {result, engines_.at(probe.vm).slowdown});
               });
             });
  }

  void Perform(std::size_t index, const SendGroupOrder& send) {
    const int run = nodes_[index].run;
    const auto answer = [this, index, run,
                         id = send.id](GroupOrderResult result) {
      RunAtNode(index, run, [&](GatewayCore& core) {
        return core.OnOrderReply(now_, id, result);
      });
    };
    const Engine& engine = engines_.at(send.vm);
    if (!engine.alive || engine.node_cut ||
        paths_.Of(index, send.vm) != PathFault::kNone) {
      Schedule(send.timeout,
               [answer] { answer(GroupOrderResult::kUnreachable); });
      return;
    }
    const Duration delay = std::max(engine.order_delay, StopTime(engine));
    if (delay > Duration()) {
      Schedule(send.timeout, [answer] { answer(GroupOrderResult::kNoAnswer); });
      Schedule(delay, [this, send] {
        engine_simulation_.Apply(send.vm, send.order, traffic);
      });
      return;
    }
    Schedule(kNetworkDelay, [this, send, answer] {
      const GroupOrderResult result =
          engine_simulation_.Apply(send.vm, send.order, traffic);
      Schedule(kNetworkDelay, [answer, result] { answer(result); });
    });
  }

  void EndWhenDrained(std::size_t index, int run) {
    constexpr Duration kReview = Duration::Millis(50);
    Schedule(kReview, [this, index, run] {
      if (!nodes_[index].alive || nodes_[index].run != run) {
        return;
      }
      if (nodes_[index].core->is_drain_complete(now_)) {
        KillNode(index);
      } else {
        EndWhenDrained(index, run);
      }
    });
  }

  void SendRequests() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!IsRunning(i) || idle_nodes.contains(i)) {
        continue;
      }
      for (const char* model : {"large", "small"}) {
        SimulatedRequest request;
        request.model = model;
        request.content = Fingerprint(kFirstOwnContent + ++last_content_);
        complete(request);
        Send(i, request);
      }
    }
  }

  // Takes a step for a request whose answer has not begun.
  void Take(std::size_t node,
            ForwardId id,
            const SimulatedRequest& request,
            const ForwardStep& step,
            int events = 0,
            bool is_after_attempt = false) {
    if (const auto* refused = std::get_if<ForwardRefused>(&step)) {
      refusals.push_back(*refused);
    }
    const auto* send = std::get_if<SendForward>(&step);
    if (std::holds_alternative<KeepSecondAttempt>(step)) {
      const auto second = FindStream(node, id, true);
      if (second != streams_.end()) {
        second->is_second = false;
      } else {
        promoted_connections_.emplace(node, id);
      }
      return;
    }
    if (std::holds_alternative<AwaitDecision>(step)) {
      waiting_[{node, id}] = {request, events, is_after_attempt};
      return;
    }
    if (const auto* relay = std::get_if<RelayForward>(&step)) {
      PassOn(node, id, request, *relay, events);
      return;
    }
    if (send == nullptr) {
      Finish(request, node, step);
      return;
    }
    SendAttempt(node, id, request, *send, events);
  }

  void SendAttempt(std::size_t node,
                   ForwardId id,
                   const SimulatedRequest& request,
                   const SendForward& send,
                   int events,
                   bool is_second = false) {
    const VmId vm = send.vm;
    const Engine& engine = engines_.at(vm);
    const PathFault fault = paths_.Of(node, vm);
    const bool is_new = send.fresh_connection || !paths_.TakeIdle(node, vm);
    const bool is_refused =
        !engines_listen || (!engine.alive && engine.refuses_connections) ||
        (is_new &&
         (fault == PathFault::kReset || fault == PathFault::kNewRefused));
    const bool is_lost =
        lost_machines_time_out && !engine.alive && !engine.refuses_connections;
    const bool times_out = is_new && (fault == PathFault::kSilent || is_lost);
    if (is_refused || times_out) {
      Schedule(is_refused ? kNetworkDelay * 2 : kConnectTimeout,
               [this, node, id, request, events, vm, is_second,
                run = nodes_[node].run] {
                 OnConnectionRefused({.node = node,
                                      .id = id,
                                      .request = request,
                                      .vm = vm,
                                      .events = events,
                                      .run = run,
                                      .is_second = is_second});
               });
      return;
    }
    const bool arrives = paths_.PassesBytes(node, vm);
    if (arrives) {
      OnArrival(node, request, vm);
    }
    if (const auto kind = arrives ? end_at_once(request, vm) : std::nullopt) {
      EndAtOnce({.node = node,
                 .id = id,
                 .request = request,
                 .vm = vm,
                 .events = events,
                 .run = nodes_[node].run,
                 .is_second = is_second},
                *kind);
      return;
    }
    if (!arrives || !engines_.at(vm).cooldown) {
      streams_.push_back({node, id, request, vm, engine_simulation_.GroupAt(vm),
                          events, nodes_[node].run, now_, now_,
                          now_ + send.time_left, is_second});
      return;
    }
    const Duration cooldown = *engines_.at(vm).cooldown;
    hold_rule_.OnCooldown(now_, vm, node, cooldown);
    Schedule(kNetworkDelay, [this, node, id, request, cooldown, vm, events,
                             is_second, run = nodes_[node].run] {
      if (!IsRunning(node) || nodes_[node].run != run) {
        return;
      }
      GatewayCore& core = *nodes_[node].core;
      EndpointReport report;
      report.cooldown = cooldown;
      if (is_second) {
        core.OnSecondAttemptReport(now_, id, report);
      } else {
        core.OnReport(now_, id, report);
      }
      const Stream refused = {.node = node,
                              .id = id,
                              .request = request,
                              .vm = vm,
                              .events = events,
                              .run = run,
                              .is_second = is_second};
      ForwardEnd end = MakeEnd(refused);
      end.kind = ForwardEndKind::kNotRun;
      EndStream(refused, end);
    });
  }

  void EndAtOnce(const Stream& stream, ForwardEndKind kind) {
    Schedule(kNetworkDelay * 2,
             [this, stream, kind] { EndUnopened(stream, kind); });
  }

  void OnConnectionRefused(const Stream& refused) {
    EndUnopened(refused, ForwardEndKind::kNothingSent);
  }

  // An attempt without a stream ended.
  void EndUnopened(const Stream& stream, ForwardEndKind kind) {
    if (!IsRunning(stream.node) || nodes_[stream.node].run != stream.run) {
      return;
    }
    ForwardEnd end = MakeEnd(stream);
    end.kind = kind;
    Stream ended = stream;
    if (promoted_connections_.erase({stream.node, stream.id}) > 0) {
      ended.is_second = false;
    }
    EndStream(ended, end);
  }

  // Each call moves a stream on by an event if its group is whole and its VM is
  // reachable, and does nothing otherwise.
  void AdvanceStreams() {
    CrashEngines();
    LetCallersLeave();
    for (auto it = streams_.begin(); it != streams_.end();) {
      Stream& stream = *it;
      const Engine& engine = engines_.at(stream.vm);
      if (stream.is_cancelled) {
        it = streams_.erase(it);
        continue;
      }
      if (!MakesProgress(stream)) {
        ++it;
        continue;
      }
      GatewayCore& core = *nodes_[stream.node].core;
      if (stream.events == 0) {
        on_begin(stream.request);
        Report(stream, engine);
      }
      if (stream.is_second) {
        core.OnSecondAttemptWon(now_, stream.id);
      }
      EndOtherAttempt(stream);
      core.OnProgress(now_, stream.id);
      stream.last_event = now_;
      constexpr int kEventsPerStream = 20;
      ++stream.events;
      if (stream.request.relayed_by) {
        Schedule(kNetworkDelay, [this, source = *stream.request.relayed_by,
                                 vm = stream.vm, events = stream.events] {
          OnRelayedEvent(source, vm, events);
        });
      } else {
        on_delivered(stream.request, stream.vm, stream.events);
      }
      if (stream.events < kEventsPerStream) {
        ++it;
        continue;
      }
      ForwardEnd end;
      end.kind = ForwardEndKind::kSucceeded;
      end.delivered = true;
      const ForwardStep step = core.OnEnded(now_, stream.id, end);
      ++completed_streams;
      paths_.AddIdle(stream.node, stream.vm);
      const SimulatedRequest request = stream.request;
      const std::size_t node = stream.node;
      it = streams_.erase(it);
      Finish(request, node, step);
    }
  }

  // The attempt sends a new event, so the node closes the connection of the
  // other one. Streams are removed only after the walk over them.
  void EndOtherAttempt(Stream& winner) {
    winner.is_second = false;
    for (Stream& other : streams_) {
      if (&other != &winner && other.node == winner.node &&
          other.id == winner.id) {
        other.is_cancelled = true;
      }
    }
  }

  ForwardRequest MakeRequest(const SimulatedRequest& simulated) {
    ForwardRequest request;
    request.id = RequestId("q" + std::to_string(++last_request_id_));
    request.host = "h";
    request.path = "/m/x";
    request.model = ModelId(simulated.model);
    request.prompt_tokens = TokenCount(500);
    request.content = simulated.content;
    request.shared_parts = simulated.parts;
    return request;
  }

  // Passes the request on to another node, which handles it like a caller's.
  void PassOn(std::size_t node,
              ForwardId id,
              const SimulatedRequest& request,
              const RelayForward& relay,
              int events) {
    const std::size_t other = std::stoul(relay.node.value());
    const RelaySource source{node, nodes_[node].run, id};
    ++relayed_requests;
    relays_[{node, id}] = {request, events, other, now_};
    Schedule(kNetworkDelay, [this, source, other, request, relay, events] {
      if (!nodes_[other].alive) {
        ForwardEnd end;
        end.kind = ForwardEndKind::kNothingSent;
        EndRelay(source, end);
        return;
      }
      if (nodes_[other].frozen || !relays_.contains({source.node, source.id})) {
        return;
      }
      SimulatedRequest passed = request;
      passed.relayed_by = source;
      ForwardRequest forwarded = MakeRequest(request);
      forwarded.caller_timeout = relay.time_left;
      forwarded.resume_after = relay.resume_after;
      forwarded.relay = relay.terms;
      GatewayCore& core = *nodes_[other].core;
      const ForwardAdmission admission =
          core.OnArrived(now_, std::move(forwarded));
      Take(other, admission.id, passed, admission.step, events);
      Execute(other, core.TakeRequestActions(now_));
    });
  }

  // The request got its final answer at the node.
  void Finish(const SimulatedRequest& request,
              std::size_t node,
              const ForwardStep& step) {
    if (!request.relayed_by) {
      on_final(request, node, step);
      return;
    }
    ForwardEnd end;
    end.kind = ForwardEndKind::kConnectionBroken;
    if (const auto* refused = std::get_if<ForwardRefused>(&step)) {
      end.kind = ForwardEndKind::kNotRun;
      end.refusal = refused->kind;
      end.is_unsent = refused->is_unsent;
    } else if (std::holds_alternative<PassAnswer>(step)) {
      end.kind = ForwardEndKind::kSucceeded;
    }
    Schedule(kNetworkDelay, [this, source = *request.relayed_by, end] {
      EndRelay(source, end);
    });
  }

  void EndRelay(const RelaySource& source, ForwardEnd end) {
    const auto found = relays_.find({source.node, source.id});
    if (found == relays_.end() || !IsRunning(source.node) ||
        nodes_[source.node].run != source.run) {
      return;
    }
    const Relay relay = found->second;
    relays_.erase(found);
    end.delivered = relay.events > 0;
    if (end.delivered) {
      end.last_event = relay.events;
    }
    GatewayCore& core = *nodes_[source.node].core;
    const ForwardStep step = core.OnEnded(now_, source.id, end);
    Take(source.node, source.id, relay.request, step, relay.events, true);
    Execute(source.node, core.TakeRequestActions(now_));
  }

  // The first node closes its connection to the other one.
  void CancelAtOther(const RelaySource& source) {
    std::erase_if(streams_, [&](const Stream& stream) {
      const auto& by = stream.request.relayed_by;
      if (!by || by->node != source.node || by->id != source.id ||
          by->run != source.run) {
        return false;
      }
      if (IsRunning(stream.node)) {
        nodes_[stream.node].core->OnCallerGone(now_, stream.id);
      }
      return true;
    });
  }

  void AbandonRelay(std::size_t node, ForwardId id, ForwardEndKind kind) {
    if (!relays_.contains({node, id})) {
      return;
    }
    const RelaySource source{node, nodes_[node].run, id};
    CancelAtOther(source);
    ForwardEnd end;
    end.kind = kind;
    EndRelay(source, end);
  }

  // Connections between the lost node and others close.
  void OnNodeLost(std::size_t index) {
    std::vector<RelaySource> broken;
    std::vector<RelaySource> own;
    for (const auto& [key, relay] : relays_) {
      if (key.first == index) {
        own.push_back({key.first, nodes_[index].run - 1, key.second});
      } else if (relay.other == index) {
        broken.push_back({key.first, nodes_[key.first].run, key.second});
      }
    }
    for (const RelaySource& source : own) {
      CancelAtOther(source);
      relays_.erase({source.node, source.id});
    }
    for (const RelaySource& source : broken) {
      Schedule(kNetworkDelay, [this, source] {
        ForwardEnd end;
        end.kind = ForwardEndKind::kConnectionBroken;
        EndRelay(source, end);
      });
    }
  }

  // An event of a relayed stream reaches the first node.
  void OnRelayedEvent(const RelaySource& source, const VmId& vm, int events) {
    const auto found = relays_.find({source.node, source.id});
    if (found == relays_.end() || !IsRunning(source.node) ||
        nodes_[source.node].run != source.run) {
      return;
    }
    found->second.events = events;
    found->second.last_event = now_;
    on_delivered(found->second.request, vm, events);
    nodes_[source.node].core->OnProgress(now_, source.id);
  }

  // Callers abandon streams that have been silent for too long.
  void LetCallersLeave() {
    if (!caller_patience) {
      return;
    }
    std::set<std::pair<std::size_t, ForwardId>> gone;
    for (const Stream& stream : streams_) {
      if (!stream.is_second && !stream.is_cancelled &&
          now_ - stream.last_event > *caller_patience &&
          IsRunning(stream.node) && !stream.request.relayed_by) {
        gone.emplace(stream.node, stream.id);
        nodes_[stream.node].core->OnCallerGone(now_, stream.id);
        on_left(stream.request, stream.node);
      }
    }
    std::erase_if(streams_, [&](const Stream& stream) {
      return gone.contains({stream.node, stream.id});
    });
    std::vector<RelaySource> left;
    for (const auto& [key, relay] : relays_) {
      if (now_ - relay.last_event > *caller_patience && IsRunning(key.first)) {
        left.push_back({key.first, nodes_[key.first].run, key.second});
      }
    }
    for (const RelaySource& source : left) {
      const Relay relay = relays_.at({source.node, source.id});
      relays_.erase({source.node, source.id});
      CancelAtOther(source);
      nodes_[source.node].core->OnCallerGone(now_, source.id);
      on_left(relay.request, source.node);
    }
  }

  // Ends the engines that begin to run a request that crashes them.
  void CrashEngines() {
    std::vector<std::pair<SimulatedRequest, VmId>> crashes;
    for (const Stream& stream : streams_) {
      if (stream.request.crashes && MakesProgress(stream)) {
        crashes.emplace_back(stream.request, stream.vm);
      }
    }
    for (const auto& [request, vm] : crashes) {
      if (engines_.at(vm).alive) {
        Crash(vm);
        on_crash(request, vm);
      }
    }
  }

  // Whether the stream's group is whole and reachable.
  bool MakesProgress(const Stream& stream) const {
    const Engine& engine = engines_.at(stream.vm);
    return now_ >= stream.sent + queue_delay && engine.alive &&
           !engine_simulation_.IsPaused(engine, now_) && !engine.node_cut &&
           paths_.PassesBytes(stream.node, stream.vm) &&
           engine.self.membership &&
           engine.self.membership->group == stream.group &&
           engine_simulation_.HasAllMembers(engine);
  }

  void OnArrival(std::size_t node,
                 const SimulatedRequest& request,
                 const VmId& vm) {
    on_arrival(request, node, vm);
    ++arrivals_[vm];
    limit_rule_.OnArrival(now_, vm, node);
    hold_rule_.OnArrival(now_, vm, node);
  }

  // The head of the answer reaches the node.
  void Report(const Stream& stream, const Engine& engine) {
    EndpointReport report;
    report.is_signed = true;
    if (engine.rate_limit) {
      report.rate_limit = RequestRate::PerSecond(*engine.rate_limit);
      limit_rule_.OnTold(now_, stream.vm, stream.node);
    }
    if (engine.says_leaving) {
      report.is_leaving = true;
      hold_rule_.OnLeaving(now_, stream.vm, stream.node);
    }
    nodes_[stream.node].core->OnReport(now_, stream.id, report);
    if (const auto& by = stream.request.relayed_by;
        by && IsRunning(by->node) && nodes_[by->node].run == by->run) {
      nodes_[by->node].core->OnRelayedReport(now_, by->id, stream.vm, report);
    }
  }

  Random random_;
  Time now_ = Time::FromMillis(1000000);
  LimitRule limit_rule_;
  HoldRule hold_rule_;
  PathFaults paths_;
  std::map<VmId, int> arrivals_;
  FakeStore store_;
  FleetConfiguration configuration_;
  std::vector<VmRegistration> registrations_;
  std::vector<NodeRecord> node_records_;
  std::vector<DomainRecord> domain_records_;
  std::vector<CrashRecord> crash_records_;
  SimulatedEngines engine_simulation_{
      [this](const Engine& engine) { Publish(engine); },
      [this](Duration delay, std::function<void()> run) {
        Schedule(delay, std::move(run));
      }};
  std::map<VmId, Engine>& engines_ = engine_simulation_.engines();
  std::vector<Node> nodes_;
  std::vector<Watch> watches_;
  std::multimap<Time, std::function<void()>> queue_;

 protected:
  std::vector<Stream> streams_;
  // Second attempts that replaced first ones before they were connected.
  std::set<std::pair<std::size_t, ForwardId>> promoted_connections_;

 private:
  // Requests that nodes have passed on to others.
  struct Relay {
    SimulatedRequest request;
    int events = 0;
    std::size_t other = 0;
    Time last_event;
  };
  std::map<std::pair<std::size_t, ForwardId>, Relay> relays_;
  // A request that waits for its next step.
  struct Waiting {
    SimulatedRequest request;
    // Number of events that its caller has.
    int events = 0;
    // It waits for a place after an attempt, not for a decision.
    bool is_after_attempt = false;
  };
  std::map<std::pair<std::size_t, ForwardId>, Waiting> waiting_;
  // A follower's pending request.
  struct PendingChangesRequest {
    std::size_t node;
    int run;
    StoreCallId call;
  };
  std::map<ChangesRequestId, PendingChangesRequest> pending_changes_requests_;
  std::int64_t last_changes_request_ = 0;
  // A node's pending claim of a run lock.
  struct PendingRunLockClaim {
    std::size_t node;
    int run;
    RunLockClaim claim;
  };
  std::map<RunLockClaimId, PendingRunLockClaim> run_lock_claims_;
  std::int64_t last_run_lock_claim_ = 0;
  std::int64_t last_request_id_ = 0;
  std::int64_t last_attempt_number_ = 0;
  std::int64_t last_content_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_GATEWAY_WORLD_H_
