#ifndef TESTS_SUPPORT_GROUPS_WORLD_H_
#define TESTS_SUPPORT_GROUPS_WORLD_H_

#include <map>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "tests/support/fake_engines.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_store_link.h"

namespace gcw {

// Faults in addition to those of the fakes.
struct GroupsFaults {
  // Lag of the VM list.
  Duration list_lag = Duration::Seconds(5);
  // A paused sender checked the clock just before the pause and writes its
  // order when it resumes.
  bool writes_late = false;
};

// Simulates a zone of two fabric domains with six VMs each, and nodes that
// manage and watch their groups, in virtual time.
class GroupsWorld {
 public:
  static constexpr Duration kStep = Duration::Millis(100);
  static constexpr Duration kLease = Duration::Seconds(6);
  static constexpr Duration kLeaseMargin = Duration::Seconds(1);

  struct Node {
    NodeId id;
    ZoneId zone;
    GroupController controller;
    ServingGate gate;
    bool is_paused = false;
    bool is_cut_off = false;
    // Reaches engines and nodes, but not the key-value service.
    bool is_cut_from_store = false;
    // Reaches nodes, but no engine.
    bool is_cut_from_engines = false;
    LeaseId lease;
    Time valid_until;
    std::map<FabricDomainId, FencingToken> roles;
    Time next_renewal;
    Time next_list;
  };

  GroupsWorld(std::uint64_t seed, bool checks_fences)
      : random_(SeededRandom(seed)),
        engines_(Duration::Seconds(3)),
        link_(SeededRandom(seed + 1)),
        network_(SeededRandom(seed + 2)) {
    network_.SetConnected([this](const NodeId& a, const NodeId& b) {
      return !nodes_.at(a).is_cut_off && !nodes_.at(b).is_cut_off;
    });
    link_.SetReachable([this](const std::string& caller) {
      return ReachesStore(nodes_.at(NodeId(caller)));
    });
    for (const char* domain : {"d1", "d2"}) {
      for (int i = 0; i < 6; ++i) {
        AddVm(domain, i, checks_fences);
      }
    }
    for (const char* id : {"n1", "n2", "n3"}) {
      AddNode(id, "z1");
    }
    AddNode("n4", "z2");
    for (auto& [id, node] : nodes_) {
      node.gate.OnPeers(now_, Peers());
    }
  }

  // Short times, so that many cases fit; they are in the same order as the
  // defaults.
  static GroupControllerSettings Settings() {
    GroupControllerSettings settings;
    settings.order.timeout = Duration::Millis(500);
    settings.order.margin = Duration::Millis(500);
    settings.order.takeover_wait = kLease;
    settings.tracker.max_list_lag = Duration::Seconds(10);
    settings.tracker.idle_interval = Duration::Seconds(3);
    settings.writer.call_timeout = Duration::Millis(500);
    settings.writer.retry_interval = Duration::Millis(500);
    settings.flap.initial_hold = Duration::Seconds(5);
    settings.flap.max_hold = Duration::Seconds(20);
    settings.planner.dark_hold = Duration::Seconds(10);
    settings.drain_hold = Duration::Seconds(6);
    settings.drain_limit = Duration::Seconds(40);
    return settings;
  }

  void Run(Duration time) {
    for (const Time end = now_ + time; now_ < end;) {
      Step();
    }
  }

  void Step() {
    now_ = now_ + kStep;
    engines_.Tick(now_);
    DeliverOrders();
    AnswerProbes();
    for (auto& delivery : link_.Deliver(now_)) {
      Node& node = nodes_.at(NodeId(delivery.caller));
      if (!node.is_paused) {
        ApplyActions(node, node.controller.OnStoreReply(now_, delivery.id,
                                                        delivery.reply));
      }
    }
    for (auto& delivery : network_.Deliver(now_)) {
      Node& node = nodes_.at(delivery.to);
      if (!node.is_paused) {
        ApplyActions(node, node.gate.OnPresenceReport(now_, delivery.from,
                                                      delivery.message));
      }
    }
    for (auto& [id, node] : nodes_) {
      if (!node.is_paused) {
        StepNode(node);
      }
    }
  }

  Time now() const { return now_; }
  const Random& random() const { return random_; }
  FakeEngines& engines() { return engines_; }
  FakeStoreLink& link() { return link_; }
  FakeNetwork<PresenceReport>& network() { return network_; }
  GroupsFaults& faults() { return faults_; }
  std::map<NodeId, Node>& nodes() { return nodes_; }
  Node& node(const char* id) { return nodes_.at(NodeId(id)); }
  std::set<VmId>& unlisted() { return unlisted_; }

  // Returns the committed records, as the service holds them.
  std::vector<DomainRecord> Records() {
    std::vector<DomainRecord> records;
    for (const auto& [key, entry] : link_.store().entries()) {
      if (key.starts_with("domain/")) {
        records.push_back(Decode(entry.value));
      }
    }
    return records;
  }

  // Stores the record and returns its number, which stands for its text.
  std::string Encode(const DomainRecord& record) {
    records_.push_back(record);
    return std::to_string(records_.size() - 1);
  }
  DomainRecord Decode(std::string_view text) const {
    return records_.at(std::stoul(std::string(text)));
  }

  // Returns the holder of a domain's controller role according to the service.
  Node* ControllerOf(const char* domain) {
    const auto it =
        link_.store().entries().find("role/keeper/" + std::string(domain));
    return it == link_.store().entries().end()
               ? nullptr
               : &nodes_.at(NodeId(it->second.value));
  }

  std::int64_t orders_sent() const { return orders_sent_; }

 private:
  // An order between a node and an engine.
  struct InFlightOrder {
    NodeId from;
    SendOrder send;
    Time at;
    bool is_written = false;
  };

  void AddVm(const char* domain, int number, bool checks_fences) {
    VmEntry entry;
    entry.id = VmId(std::string(domain) + "-v" + std::to_string(number));
    entry.domain = FabricDomainId(domain);
    entry.zone = ZoneId("z1");
    entry.address = Address(entry.id.value());
    entry.accelerators = 1;
    engines_.Add(std::move(entry), checks_fences);
  }

  void AddNode(const char* id, const char* zone) {
    const DomainRecordCodec codec{
        [this](const DomainRecord& record) { return Encode(record); },
        [this](std::string_view text) { return Decode(text); }};
    Node node{.id = NodeId(id),
              .zone = ZoneId(zone),
              .controller = GroupController::Builder()
                                .SetZone(ZoneId("z1"))
                                .SetSettings(Settings())
                                .SetCodec(codec)
                                .Build(),
              .gate = ServingGate::Builder()
                          .SetSelf(NodeId(id), Incarnation(1), ZoneId(zone))
                          .Build(),
              .lease = {},
              .valid_until = {},
              .roles = {},
              .next_renewal = {},
              .next_list = {}};
    DesiredModel model{ModelId("m"), 3, Rank(1), {}};
    model.targets[ZoneId("z1")] = GroupTarget{3, 3};
    node.controller.OnDesiredModels({model});
    nodes_.emplace(NodeId(id), std::move(node));
  }

  std::vector<GatePeer> Peers() const {
    std::vector<GatePeer> peers;
    for (const auto& [id, node] : nodes_) {
      peers.push_back(GatePeer{id, node.zone});
    }
    return peers;
  }

  void StepNode(Node& node) {
    if (now_ >= node.next_renewal) {
      node.next_renewal = now_ + kLease / 3;
      Renew(node);
    }
    if (now_ >= node.next_list && !node.is_cut_off) {
      node.next_list = now_ + Duration::Seconds(2);
      ReadList(node);
    }
    // Delivers the records as a watch would; the watch itself is not under
    // test.
    if (ReachesStore(node)) {
      for (const auto& [key, entry] : link_.store().entries()) {
        if (key.starts_with("domain/")) {
          const DomainRecord record = Decode(entry.value);
          node.controller.OnDomainRecord(record, entry.revision);
          ApplyActions(node,
                       node.gate.OnDomainRecord(now_, record, entry.revision));
        }
      }
    }
    if (now_ >= node.valid_until) {
      DropRoles(node);
    }
    ApplyActions(node, node.controller.Tick(now_));
    ApplyActions(node, node.gate.Tick(now_));
  }

  bool ReachesStore(const Node& node) {
    return !node.is_cut_off && !node.is_cut_from_store &&
           !link_.faults().outage;
  }

  // Renews the node's lease and takes free roles, without the delays that the
  // tests of leases cover.
  void Renew(Node& node) {
    if (!ReachesStore(node) || node.zone != ZoneId("z1")) {
      return;
    }
    FakeStore& store = link_.store();
    store.ExpireLeases(now_);
    if (!store.HasLease(node.lease)) {
      DropRoles(node);
      const auto reply = store.Execute(now_, StoreLeaseGrant{kLease});
      node.lease = std::get<StoreLeaseReply>(*reply).lease;
    }
    store.Execute(now_, StoreLeaseKeepAlive{node.lease});
    node.valid_until = now_ + kLease - kLeaseMargin;
    for (const char* domain : {"d1", "d2"}) {
      const std::string key = "role/keeper/" + std::string(domain);
      const auto reply =
          store.Execute(now_, StorePut{key, node.id.value(), {}, node.lease});
      if (const auto* written = std::get_if<StoreWritten>(&*reply)) {
        node.roles[FabricDomainId(domain)] =
            FencingToken(written->revision.value());
      }
      // The node's own key, which it no longer relied on.
      const auto* taken = std::get_if<StoreConflict>(&*reply);
      if (taken != nullptr && taken->current &&
          taken->current->lease == node.lease) {
        node.roles[FabricDomainId(domain)] =
            FencingToken(taken->current->revision.value());
      }
    }
    for (const auto& [domain, fence] : node.roles) {
      node.controller.OnRoleHeld(now_, domain, fence, node.valid_until);
    }
  }

  void DropRoles(Node& node) {
    for (const auto& [domain, fence] : node.roles) {
      node.controller.OnRoleLost(domain);
    }
    node.roles.clear();
  }

  void ReadList(Node& node) {
    VmListSnapshot& snapshot = lists_[now_];
    snapshot.as_of = now_;
    for (const auto& [vm, engine] : engines_.all()) {
      if (!unlisted_.contains(vm)) {
        snapshot.vms.push_back(engine.entry);
      }
    }
    auto old = lists_.upper_bound(now_ - faults_.list_lag);
    if (old != lists_.begin()) {
      --old;
    }
    node.controller.OnVmList(now_, old->second);
    ApplyActions(node, node.gate.OnVmList(now_, old->second));
  }

  template <typename Action>
  void ApplyActions(Node& node, std::vector<Action> actions) {
    for (Action& action : actions) {
      if (const auto* probe = std::get_if<ProbeVm>(&action)) {
        Probe(node, *probe, std::is_same_v<Action, ServingGateAction>);
        continue;
      }
      std::visit([&](auto& typed) { ApplyAction(node, typed); }, action);
    }
  }

  // Probes that fail get no answer, as after a silent connection.
  void Probe(const Node& node, const ProbeVm& probe, bool is_gate) {
    const auto status = engines_.Status(now_, probe.vm);
    if (!node.is_cut_off && !node.is_cut_from_engines && status) {
      pending_probes_.push_back(
          PendingProbe{node.id, is_gate, probe.id, *status});
    }
  }

  void AnswerProbes() {
    for (const PendingProbe& pending : std::exchange(pending_probes_, {})) {
      Node& node = nodes_.at(pending.node);
      if (node.is_paused || node.is_cut_off) {
        continue;
      }
      if (pending.is_gate) {
        ApplyActions(node,
                     node.gate.OnProbeReply(now_, pending.id, pending.status));
      } else {
        node.controller.OnProbeReply(now_, pending.id, pending.status);
      }
    }
  }

  void ApplyAction(Node& node, StoreRequest& request) {
    link_.Send(now_, node.id.value(), request.id, std::move(request.call));
  }
  void ApplyAction(Node& node, PeerSend<PresenceReport>& send) {
    network_.Send(now_, node.id, send.to, std::move(send.message));
  }
  void ApplyAction(Node& node, SendOrder& send) {
    ++orders_sent_;
    in_flight_orders_.push_back(InFlightOrder{
        node.id, std::move(send), now_ + Delay(Duration::Millis(150))});
  }
  void ApplyAction(Node&, ProbeVm&) {}
  void ApplyAction(Node&, RecordCommitted&) {}
  void ApplyAction(Node&, EndpointOpened&) {}
  void ApplyAction(Node&, EndpointClosed&) {}
  void ApplyAction(Node&, EndpointDrained&) {}

  Duration Delay(Duration max_delay) {
    return Duration::Millis(static_cast<std::int64_t>(
        DrawBelow(random_, static_cast<std::uint64_t>(max_delay.millis()))));
  }

  // Writes orders, checking the clock right before, and lets them arrive.
  void DeliverOrders() {
    std::vector<InFlightOrder> in_flight_orders =
        std::exchange(in_flight_orders_, {});
    for (InFlightOrder& in_flight : in_flight_orders) {
      Node& node = nodes_.at(in_flight.from);
      if (now_ < in_flight.at || (!in_flight.is_written && node.is_paused)) {
        in_flight_orders_.push_back(std::move(in_flight));
        continue;
      }
      if (in_flight.is_written) {
        Arrive(node, in_flight);
      } else if (now_ >= in_flight.send.send_before && !faults_.writes_late) {
        node.controller.OnOrderReply(now_, in_flight.send.id, OrderWithheld{});
      } else if (!node.is_cut_off) {
        in_flight.is_written = true;
        in_flight.at = now_ + Delay(in_flight.send.timeout);
        in_flight_orders_.push_back(std::move(in_flight));
      }
    }
  }

  void Arrive(Node& node, const InFlightOrder& in_flight) {
    const auto reply =
        engines_.Execute(now_, in_flight.send.vm, in_flight.send.order);
    if (reply && !node.is_paused && !node.is_cut_off) {
      node.controller.OnOrderReply(now_, in_flight.send.id, *reply);
    }
  }

  struct PendingProbe {
    NodeId node;
    bool is_gate;
    ProbeId id;
    EngineStatus status;
  };

  Time now_ = Time::FromMillis(1000000);
  Random random_;
  FakeEngines engines_;
  FakeStoreLink link_;
  FakeNetwork<PresenceReport> network_;
  GroupsFaults faults_;
  std::map<NodeId, Node> nodes_;
  std::map<Time, VmListSnapshot> lists_;
  std::set<VmId> unlisted_;
  std::vector<InFlightOrder> in_flight_orders_;
  std::vector<PendingProbe> pending_probes_;
  std::vector<DomainRecord> records_;
  std::int64_t orders_sent_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_GROUPS_WORLD_H_
