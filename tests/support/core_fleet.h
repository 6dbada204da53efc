#ifndef TESTS_SUPPORT_CORE_FLEET_H_
#define TESTS_SUPPORT_CORE_FLEET_H_

#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_store_link.h"

namespace gcw {

// Codec for tests below the layer with the real codecs: stores the value and
// encodes its index.
template <typename Value>
class NumberedCodec {
 public:
  std::string Encode(const Value& value) {
    values_.push_back(value);
    return "#" + std::to_string(values_.size() - 1);
  }
  std::optional<Value> Decode(std::string_view text) const {
    std::size_t number = 0;
    if (!text.starts_with('#') ||
        std::from_chars(text.data() + 1, text.data() + text.size(), number)
                .ec != std::errc() ||
        number >= values_.size()) {
      return std::nullopt;
    }
    return values_[number];
  }

 private:
  std::vector<Value> values_;
};

// An engine of one VM as the core sees it: it executes orders and answers
// requests after fixed delays.
struct FleetEngine {
  VmEntry vm;
  bool alive = true;
  bool ignores_fences = false;
  Incarnation incarnation{1};
  EngineOrder loaded;
  EngineState state = EngineState::kIdle;
  Time ready_at;
  FencingToken highest_fence;
  // Attempts that this engine began to run.
  std::vector<AttemptId> executed;
};

// Several cores in one process with fakes of the platform's store, VM list and
// engines, in virtual time.
class CoreFleet {
 public:
  struct FinalAction {
    NodeAction answer;
  };
  struct Node {
    NodeRecord record;
    std::unique_ptr<NodeCore> core;
    // A paused node does not tick; its events are queued.
    bool paused = false;
    std::vector<NodeEvent> queued_events;
  };

  explicit CoreFleet(std::uint64_t seed)
      : random_(SeededRandom(seed)),
        network_(SeededRandom(seed + 1)),
        store_(SeededRandom(seed + 2)) {}

  static constexpr Duration kLoadTime = Duration::Millis(800);
  static constexpr Duration kFirstByte = Duration::Millis(60);
  static constexpr Duration kAnswer = Duration::Millis(250);

  void AddNode(const std::string& id, const std::string& zone) {
    NodeRecord record;
    record.id = NodeId(id);
    record.zone = ZoneId(zone);
    record.region = RegionId("r1");
    record.peer_address = Address(id + ":peer");
    record.caller_address = Address(id + ":caller");
    Node& node = nodes_[record.id];
    node.record = record;
    StartNode(record.id);
  }

  void StartNode(const NodeId& id) {
    Node& node = nodes_.at(id);
    NodeCoreSettings settings;
    settings.self = node.record;
    settings.incarnation = Incarnation(now_.millis());
    settings.router.zone = node.record.zone;
    settings.controller.planner.expected_load_time = kLoadTime;
    for (const auto& [other, peer] : nodes_) {
      if (other != id) {
        settings.seeds.push_back(peer.record);
      }
    }
    if (adjust_settings) {
      adjust_settings(settings);
    }
    node.core = NodeCore::Builder()
                    .SetSettings(std::move(settings))
                    .SetCodecs(Codecs())
                    .SetRandom(SeededRandom(random_()))
                    .SetEventSink([this](const EventDraft& draft) {
                      events.push_back(draft);
                      return EventId(std::to_string(events.size()));
                    })
                    .Build(now_);
  }

  // Ends the process at once; its state is lost.
  void KillNode(const NodeId& id) { nodes_.at(id).core.reset(); }

  void AddVm(const std::string& id,
             const std::string& domain,
             const std::string& zone) {
    FleetEngine engine;
    engine.vm.id = VmId(id);
    engine.vm.domain = FabricDomainId(domain);
    engine.vm.zone = ZoneId(zone);
    engine.vm.address = Address(id);
    engine.vm.accelerators = 1;
    engines_.emplace(engine.vm.id, std::move(engine));
  }
  void AddService(const std::string& id, const std::string& zone) {
    FleetEngine engine;
    engine.vm.id = VmId(id);
    engine.vm.purpose = VmPurpose::kPlainService;
    engine.vm.zone = ZoneId(zone);
    engine.vm.address = Address(id);
    engine.vm.service = ServiceId("desk");
    engines_.emplace(engine.vm.id, std::move(engine));
  }

  // Makes an operator's change through this node.
  void ChangeConfig(const NodeId& node,
                    const std::string& key,
                    std::optional<std::string> value,
                    Revision expected) {
    Deliver(node,
            OperatorChange{
                OperatorCallId(++last_call_),
                ConfigChange{key, std::move(value), expected,
                             ChangeId("c" + std::to_string(last_call_))}});
  }
  void AddContract(const NodeId& node, const Contract& contract) {
    ChangeConfig(node, "contract/" + contract.id.value(),
                 contracts_.Encode(contract), Revision());
  }
  void SetModel(const NodeId& node, const DesiredModel& model) {
    ChangeConfig(node, "setting/model/" + model.model.value(),
                 models_.Encode(model), Revision());
  }

  // Runs until `until` in steps of 10 ms and calls `each` after each step.
  void RunUntil(Time until, const std::function<void()>& each = {}) {
    while (now_ < until) {
      now_ = now_ + kStep;
      Step();
      if (each) {
        each();
      }
    }
  }
  void RunFor(Duration span, const std::function<void()>& each = {}) {
    RunUntil(now_ + span, each);
  }

  void Deliver(const NodeId& id, const NodeEvent& event) {
    Node& node = nodes_.at(id);
    if (node.core == nullptr) {
      return;
    }
    if (node.paused) {
      node.queued_events.push_back(event);
      return;
    }
    for (NodeAction& action : node.core->Handle(now_, event)) {
      Perform(id, std::move(action));
    }
  }
  void Resume(const NodeId& id) {
    Node& node = nodes_.at(id);
    node.paused = false;
    for (const NodeEvent& event : std::exchange(node.queued_events, {})) {
      Deliver(id, event);
    }
  }

  Time now() const { return now_; }
  NodeCore& core(const std::string& id) { return *nodes_.at(NodeId(id)).core; }
  Node& node(const std::string& id) { return nodes_.at(NodeId(id)); }
  std::map<NodeId, Node>& nodes() { return nodes_; }
  std::map<VmId, FleetEngine>& engines() { return engines_; }
  FakeStoreLink& store() { return store_; }
  FakeNetwork<PeerMessage>& network() { return network_; }
  // The final action for each request that ended without an `AttemptAnswered`;
  // see `answered` for the others.
  std::map<RequestId, NodeAction> final_actions;
  std::set<RequestId> answered;
  std::vector<EventDraft> events;
  // Called for each dispatch.
  std::function<void(const NodeId&, const DispatchAttempt&)> on_dispatch;
  std::function<void(NodeCoreSettings&)> adjust_settings;
  // Returns true if a node can reach a VM.
  std::function<bool(const NodeId&, const VmId&)> can_reach =
      [](const NodeId&, const VmId&) { return true; };
  bool stopped(const NodeId& id) const { return stopped_.contains(id); }

 private:
  static constexpr Duration kStep = Duration::Millis(10);
  static constexpr Duration kTick = Duration::Millis(50);

  NodeCodecs Codecs() {
    NodeCodecs codecs;
    codecs.node_record = {
        [this](const NodeRecord& r) { return records_.Encode(r); },
        [this](std::string_view t) { return records_.Decode(t); }};
    codecs.config_record = {
        [this](const ConfigRecord& r) { return configs_.Encode(r); },
        [this](std::string_view t) -> std::optional<ConfigRecord> {
          if (t.starts_with('d')) {
            return ConfigRecord{std::string(t), ChangeId("keeper"), {}};
          }
          return configs_.Decode(t);
        }};
    codecs.domain_record = {
        [this](const DomainRecord& r) { return "d" + domains_.Encode(r); },
        [this](std::string_view t) -> std::optional<DomainRecord> {
          return t.starts_with('d') ? domains_.Decode(t.substr(1))
                                    : std::nullopt;
        }};
    codecs.decode_contract = [this](std::string_view t) {
      return contracts_.Decode(t);
    };
    codecs.decode_model = [this](std::string_view t) {
      return models_.Decode(t);
    };
    return codecs;
  }

  void Step() {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
      const std::function<void()> task = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      task();
    }
    for (auto& delivery : network_.Deliver(now_)) {
      Deliver(delivery.to, PeerReceived{delivery.from, delivery.message});
    }
    for (auto& delivery : store_.Deliver(now_)) {
      const std::size_t bar = delivery.caller.find('|');
      Deliver(NodeId(delivery.caller.substr(0, bar)),
              StoreAnswered{static_cast<NodeModule>(
                                std::stoi(delivery.caller.substr(bar + 1))),
                            delivery.id, delivery.reply});
    }
    if (now_.millis() % kTick.millis() == 0) {
      for (auto& [id, node] : nodes_) {
        if (!node.paused) {
          Deliver(id, TimePassed{});
        }
      }
    }
  }

  void Schedule(Duration after, std::function<void()> task) {
    scheduled_.emplace(now_ + after, std::move(task));
  }
  void Reply(const NodeId& to, Duration after, NodeEvent event) {
    Schedule(after,
             [this, to, event = std::move(event)] { Deliver(to, event); });
  }

  void Perform(const NodeId& from, NodeAction action) {
    std::visit(
        Overloaded{
            [&](DispatchAttempt& dispatch) { RunAttempt(from, dispatch); },
            [&](CallStore& call) {
              store_.Send(now_,
                          from.value() + "|" +
                              std::to_string(static_cast<int>(call.module)),
                          call.id, std::move(call.call));
            },
            [&](SendToPeer& send) {
              network_.Send(now_, from, send.to, std::move(send.message));
            },
            [&](SendProbe& probe) { AnswerProbe(from, probe); },
            [&](SendOrder& order) { AnswerOrder(from, order); },
            [&](ReadVmList&) {
              VmListSnapshot list;
              list.as_of = now_;
              for (const auto& [id, engine] : engines_) {
                list.vms.push_back(engine.vm);
              }
              Reply(from, Duration::Millis(10), VmListRead{std::move(list)});
            },
            [&](ReadLoad& read) {
              LoadReport report;
              report.endpoint = read.endpoint.id;
              report.generation = read.endpoint.generation;
              report.taken_at = now_;
              report.batch_limit = 16;
              report.cache_capacity = TokenCount(100000);
              Reply(from, Duration::Millis(10), LoadReportRead{report});
            },
            [&](StopNow&) {
              stopped_.insert(from);
              Schedule(Duration::Millis(10), [this, from] { KillNode(from); });
            },
            [&](CancelAttempt& cancel) {
              Reply(from, Duration::Millis(10),
                    AttemptEnded{cancel.request, cancel.attempt,
                                 AttemptFailed{AttemptFailureKind::kWithheld,
                                               AttemptProgress::kMaybeSent,
                                               TokenCount()}});
            },
            [&](auto& other) { RecordFinalAction(std::move(other)); }},
        action);
  }

  template <typename Action>
  void RecordFinalAction(Action action) {
    if constexpr (requires { action.request; }) {
      const RequestId request = action.request;
      final_actions.insert_or_assign(request, NodeAction(std::move(action)));
    }
  }

  FleetEngine* FindEngine(const Address& address) {
    const auto found = engines_.find(VmId(address.value()));
    return found == engines_.end() ? nullptr : &found->second;
  }

  // Returns true if all members of the engine's group run its generation.
  bool HasAllMembers(const FleetEngine& first) {
    for (const GroupMember& member : first.loaded.members) {
      const FleetEngine& engine = engines_.at(member.vm);
      if (!engine.alive || engine.state != EngineState::kReady ||
          engine.loaded.group != first.loaded.group ||
          engine.loaded.generation != first.loaded.generation) {
        return false;
      }
    }
    return true;
  }

  void RunAttempt(const NodeId& from, const DispatchAttempt& dispatch) {
    if (on_dispatch) {
      on_dispatch(from, dispatch);
    }
    const auto fail = [&](AttemptFailureKind kind, AttemptProgress progress) {
      Reply(from, Duration::Millis(10),
            AttemptEnded{dispatch.request, dispatch.attempt,
                         AttemptFailed{kind, progress, TokenCount()}});
    };
    FleetEngine* engine = FindEngine(dispatch.endpoint.address);
    if (engine == nullptr || !engine->alive ||
        !can_reach(from, engine->vm.id)) {
      fail(AttemptFailureKind::kConnectRefused, AttemptProgress::kNothingSent);
      return;
    }
    if (now_ >= dispatch.send_before) {
      fail(AttemptFailureKind::kWithheld, AttemptProgress::kNothingSent);
      return;
    }
    const bool is_model = dispatch.endpoint.service.empty();
    if (is_model &&
        (engine->state != EngineState::kReady || !HasAllMembers(*engine) ||
         engine->loaded.generation != dispatch.endpoint.generation)) {
      Reply(from, Duration::Millis(10),
            AttemptEnded{dispatch.request, dispatch.attempt, AttemptRefused{}});
      return;
    }
    engine->executed.push_back(dispatch.attempt);
    Reply(from, kFirstByte,
          AttemptFirstByte{dispatch.request, dispatch.attempt});
    Schedule(kAnswer, [this, from, dispatch, engine] {
      const bool is_complete =
          engine->alive &&
          (!dispatch.endpoint.service.empty() || HasAllMembers(*engine));
      AttemptEnd end = AttemptFailed{AttemptFailureKind::kReset,
                                     AttemptProgress::kMaybeSent, TokenCount()};
      if (is_complete) {
        AttemptAnswered done;
        done.generated = TokenCount(8);
        if (dispatch.keep_answer) {
          done.answer = OnceAnswer{200, {}, dispatch.attempt.value()};
        }
        end = std::move(done);
        answered.insert(dispatch.request);
      }
      Deliver(from, AttemptEnded{dispatch.request, dispatch.attempt, end});
    });
  }

  void AnswerProbe(const NodeId& from, const SendProbe& send) {
    FleetEngine* engine = FindEngine(send.probe.address);
    const bool up =
        engine != nullptr && engine->alive && can_reach(from, engine->vm.id);
    if (!up) {
      Reply(from, send.probe.timeout,
            ProbeAnswered{send.module, send.probe.id,
                          ProbeFailed{ProbeFailure::kTimeout}});
      return;
    }
    if (engine->vm.purpose == VmPurpose::kPlainService) {
      Reply(from, Duration::Millis(10),
            ProbeAnswered{send.module, send.probe.id, ServiceAlive{}});
      return;
    }
    EngineStatus status;
    status.vm = engine->vm.id;
    status.incarnation = engine->incarnation;
    status.group = engine->loaded.group;
    status.model = engine->loaded.model;
    status.generation = engine->loaded.generation;
    status.state = engine->state;
    status.fence = engine->highest_fence;
    for (std::size_t rank = 0; rank < engine->loaded.members.size(); ++rank) {
      const VmId& member = engine->loaded.members[rank].vm;
      if (member == engine->vm.id) {
        status.rank = static_cast<std::int64_t>(rank);
      }
      const FleetEngine& other = engines_.at(member);
      if (other.alive && other.loaded.generation == engine->loaded.generation &&
          other.loaded.group == engine->loaded.group) {
        status.members_seen.push_back(member);
      }
    }
    Reply(from, Duration::Millis(10),
          ProbeAnswered{send.module, send.probe.id, status});
  }

  void AnswerOrder(const NodeId& from, const SendOrder& send) {
    FleetEngine* engine = FindEngine(send.address);
    if (now_ >= send.send_before) {
      Reply(from, Duration::Millis(10),
            OrderAnswered{send.id, OrderWithheld{}});
      return;
    }
    if (engine == nullptr || !engine->alive ||
        !can_reach(from, engine->vm.id)) {
      Reply(from, send.timeout, OrderAnswered{send.id, OrderNoAnswer{}});
      return;
    }
    Reply(from, Duration::Millis(10),
          OrderAnswered{send.id, Execute(*engine, send.order)});
  }

  OrderReply Execute(FleetEngine& engine, const EngineOrder& order) {
    if (!engine.ignores_fences && order.fence < engine.highest_fence) {
      return EngineOrderStale{engine.highest_fence};
    }
    engine.highest_fence = std::max(engine.highest_fence, order.fence);
    if (order.kind == EngineOrderKind::kLeave) {
      engine.loaded = EngineOrder();
      engine.state = EngineState::kIdle;
      return EngineOrderAccepted{};
    }
    if (order.kind == EngineOrderKind::kDrain) {
      engine.state = EngineState::kDraining;
      return EngineOrderAccepted{};
    }
    if (!engine.loaded.group.empty() && engine.loaded.group != order.group) {
      return EngineOrderBusy{engine.loaded.group};
    }
    engine.loaded = order;
    engine.state = EngineState::kLoading;
    const VmId id = engine.vm.id;
    const Generation generation = order.generation;
    Schedule(kLoadTime, [this, id, generation] {
      FleetEngine& loading = engines_.at(id);
      if (loading.alive && loading.state == EngineState::kLoading &&
          loading.loaded.generation == generation) {
        loading.state = EngineState::kReady;
      }
    });
    return EngineOrderAccepted{};
  }

  Random random_;
  Time now_ = Time::FromMillis(1'000'000);
  FakeNetwork<PeerMessage> network_;
  FakeStoreLink store_;
  std::map<NodeId, Node> nodes_;
  std::map<VmId, FleetEngine> engines_;
  std::multimap<Time, std::function<void()>> scheduled_;
  std::set<NodeId> stopped_;
  NumberedCodec<NodeRecord> records_;
  NumberedCodec<ConfigRecord> configs_;
  NumberedCodec<DomainRecord> domains_;
  NumberedCodec<Contract> contracts_;
  NumberedCodec<DesiredModel> models_;
  std::int64_t last_call_ = 0;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_CORE_FLEET_H_
