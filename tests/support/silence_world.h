#ifndef TESTS_SUPPORT_SILENCE_WORLD_H_
#define TESTS_SUPPORT_SILENCE_WORLD_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/coordination.h"
#include "tests/support/gateway_world.h"
#include "tests/support/silence_rule.h"

namespace gcw {

// How a paused engine behaves.
enum class PauseMode {
  // Only its streams pause.
  kStreams,
  // Its process is stopped: connections are accepted, nothing is answered.
  kProcess,
  // The same, and its queue of new connections is full.
  kFullBacklog,
};

// A fleet whose engines fall silent for a while and go on, or are lost without
// a sign. Attempts end at their time limits, and engines that left their groups
// refuse what still waits there and close its streams.
class SilenceWorld : public GatewayWorld {
 public:
  explicit SilenceWorld(std::size_t nodes,
                        std::uint64_t seed = 7,
                        std::size_t domains = 5)
      : GatewayWorld(nodes, domains, 11, seed),
        random_(SeededRandom(seed + 1)) {
    on_arrival = [this](const SimulatedRequest& request, std::size_t,
                        const VmId& vm) {
      rule_.OnArrival(request.content, GroupOf(vm));
      if (rule_.IsLost(GroupOf(vm))) {
        sent_to_lost_groups_.insert(request.content);
      }
    };
    on_delivered = [this](const SimulatedRequest& request, const VmId& vm,
                          int event) {
      rule_.OnDelivered(request.content, GroupOf(vm), event);
    };
    on_final = [this](const SimulatedRequest& request, std::size_t,
                      const ForwardStep& step) {
      rule_.OnFinal(now(), request.content, step, last_outcome_);
      if (std::holds_alternative<PassAnswer>(step)) {
        served_.insert(request.content);
      }
    };
    on_left = [this](const SimulatedRequest& request, std::size_t) {
      rule_.OnLeft(request.content);
      left_.insert(request.content);
    };
    on_node_event = [this](const EventDraft& event) { OnNodeEvent(event); };
    EXPECT_TRUE(RunUntil(Duration::Seconds(14), [this, domains] {
      return open_groups("large") >= domains && open_groups("small") >= domains;
    }));
    ReviewStreams();
    lost_machines_time_out = true;
    for (std::size_t node = 0; node < nodes; ++node) {
      idle_nodes.insert(node);
    }
    SendTraffic();
    // The fleet gets as many requests at any size.
    request_interval = Duration::Millis(
        std::max<std::int64_t>(50, static_cast<std::int64_t>(nodes) * 10));
    traffic = true;
    Run(Duration::Seconds(3));
  }

  // The rule counts the requests that are sent from now on.
  void StartRule() { rule_.Start(Fingerprint(last_content_)); }

  // Pauses this share of the replicas, drawn at random.
  void Pause(double share, Duration time, PauseMode mode) {
    std::vector<VmId> heads = OpenHeads();
    const auto count = static_cast<std::size_t>(
        std::lround(share * static_cast<double>(heads.size())));
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(heads[i], heads[i + DrawBelow(random_, heads.size() - i)]);
      PauseGroup(heads[i], time, mode);
    }
    rule_.OnPause(now());
  }
  // Pauses all members of the group.
  void PauseGroup(const VmId& head, Duration time, PauseMode mode) {
    for (const VmId& member : GroupMembersOf(head)) {
      Engine& paused = engine(member);
      paused.paused_until = now() + time;
      paused.is_stopped_in_pause = mode != PauseMode::kStreams;
      if (mode == PauseMode::kFullBacklog) {
        SetPathsTo(member, PathFault::kSilent);
        Schedule(time,
                 [this, member] { SetPathsTo(member, PathFault::kNone); });
      }
    }
  }

  // The VM is lost for good, and nobody is told.
  void Lose(const VmId& vm) {
    LoseGroup(GroupOf(vm));
    Kill(vm);
  }
  // The engine's process ends, which closes its connections. It starts again
  // without its group.
  void LoseProcess(const VmId& vm) {
    LoseGroup(GroupOf(vm));
    Crash(vm);
  }
  // The engine's process stops for good.
  void Hang(const VmId& vm) {
    LoseGroup(GroupOf(vm));
    engine(vm).paused_until = now() + Duration::Seconds(3600);
    engine(vm).is_stopped_in_pause = true;
  }
  // All VMs of the domain are lost for good.
  void LoseDomain(const std::string& domain) {
    for (const auto& [vm, engine] : engines()) {
      if (engine.self.domain == FabricDomainId(domain)) {
        Lose(vm);
      }
    }
  }

  // Leaves the nodes hardly any room for a request that is moved.
  void FillUp() {
    // Fewer requests fill a large fleet if its engines have fewer slots.
    const bool is_large = node_count() > 100;
    ChangeConfiguration([is_large](FleetConfiguration& configuration) {
      configuration.services.front().engine->batch_limit = is_large ? 2 : 4;
    });
    request_interval = Duration::Millis(is_large ? 200 : 100);
    Run(Duration::Seconds(3));
  }

  // Closes connections until the nodes have spent their retries.
  void SpendRetries() {
    constexpr int kMinRounds = 8;
    constexpr int kMaxRounds = 40;
    const int before = CountReason("retry_budget");
    for (int round = 0;
         round < kMinRounds ||
         (round < kMaxRounds && CountReason("retry_budget") == before);
         ++round) {
      for (const VmId& head : OpenHeads()) {
        ResetConnections(head);
      }
      Run(Duration::Millis(400));
    }
    // The endpoints are used again by then.
    Run(Duration::Seconds(4));
  }

  // The routes' time limit changes.
  void ChangeTimeLimit(Duration limit) {
    ChangeConfiguration([limit](FleetConfiguration& configuration) {
      configuration.routes.front().time_limit = limit;
    });
  }

  // Lets all requests end that were sent so far.
  void Settle() {
    traffic = false;
    RunUntil(Duration::Seconds(10), [this] { return rule_.open() == 0; });
  }

  std::vector<VmId> OpenHeads() const { return OpenHeads(""); }
  std::vector<VmId> OpenHeads(const std::string& model) const {
    std::vector<VmId> heads;
    for (const auto& [vm, engine] : engines()) {
      const auto& membership = engine.self.membership;
      if (engine.alive && membership &&
          membership->phase == MemberPhase::kOpen &&
          (model.empty() || engine.self.models.front() == ModelId(model))) {
        heads.push_back(vm);
      }
    }
    return heads;
  }

  // The groups that accept requests.
  std::set<GroupId> OpenGroups() const {
    std::set<GroupId> groups;
    for (const VmId& head : OpenHeads()) {
      groups.insert(engines().at(head).self.membership->group);
    }
    return groups;
  }

  // Requests that ran, or waited, at groups as these lost a member.
  const std::set<Fingerprint>& requests_at_lost_groups() const {
    return at_lost_groups_;
  }
  // Requests that reached groups after these had lost a member.
  const std::set<Fingerprint>& requests_sent_to_lost_groups() const {
    return sent_to_lost_groups_;
  }
  // Returns how many of the requests were not served; empty if all were.
  std::string Unserved(const std::set<Fingerprint>& requests) const {
    std::size_t left = 0;
    std::size_t unserved = 0;
    for (const Fingerprint content : requests) {
      left += left_.contains(content) ? 1 : 0;
      unserved += served_.contains(content) ? 0 : 1;
    }
    return unserved == 0 ? ""
                         : std::to_string(unserved) + " of " +
                               std::to_string(requests.size()) +
                               " not served, callers of " +
                               std::to_string(left) + " left";
  }

  // Number of events of requests that name this reason.
  int CountReason(const std::string& reason) const {
    const auto found = reasons_.find(reason);
    return found == reasons_.end() ? 0 : found->second;
  }

  SilenceRule& rule() { return rule_; }

 private:
  static constexpr int kEventsPerAnswer = 20;
  static constexpr std::size_t kMaxRuns = 2;
  static constexpr Duration kReviewInterval = Duration::Millis(50);

  GroupId GroupOf(const VmId& vm) const {
    const auto& membership = engines().at(vm).self.membership;
    return membership ? membership->group : GroupId();
  }

  void SetPathsTo(const VmId& vm, PathFault fault) {
    for (std::size_t node = 0; node < node_count(); ++node) {
      SetPath(node, vm, fault);
    }
  }

  // A member of the group is lost.
  void LoseGroup(const GroupId& group) {
    if (group.empty()) {
      return;
    }
    rule_.OnGroupLost(group);
    for (const Stream& stream : streams_) {
      if (stream.group == group) {
        at_lost_groups_.insert(stream.request.content);
      }
    }
  }

  static std::string FieldOf(const EventDraft& event, std::string_view name) {
    for (const EventField& field : event.fields) {
      if (field.name == name) {
        return std::get<std::string>(field.value);
      }
    }
    return "";
  }

  void OnNodeEvent(const EventDraft& event) {
    switch (event.kind) {
      case EventKind::kGroupClosed:
        rule_.OnGroupClosed(now(), GroupId(event.subject),
                            FieldOf(event, "reason"));
        return;
      case EventKind::kRequestOutcomeUnknown:
        last_outcome_ = FieldOf(event, "answer") + " " + FieldOf(event, "end") +
                        " " + FieldOf(event, "reason");
        [[fallthrough]];
      case EventKind::kRequestQueued:
      case EventKind::kRequestRefused:
        ++reasons_[FieldOf(event, "reason")];
        return;
      default:
        return;
    }
  }

  // Each node sends requests at the interval, and no two nodes of a small fleet
  // at the same moment.
  void SendTraffic() {
    Schedule(kStep, [this] { SendTraffic(); });
    if (!traffic) {
      return;
    }
    const auto turns =
        static_cast<std::size_t>(request_interval.millis() / kStep.millis());
    const auto turn =
        static_cast<std::size_t>(now().millis() / kStep.millis()) % turns;
    for (std::size_t node = turn; node < node_count(); node += turns) {
      for (const char* model : {"large", "small"}) {
        SimulatedRequest request;
        request.model = model;
        request.content = Fingerprint(++last_content_);
        Send(node, request);
      }
    }
  }

  // Ends attempts at their time limits, and those at engines that left the
  // group.
  void ReviewStreams() {
    struct Ending {
      Stream stream;
      ForwardEndKind kind;
    };
    std::vector<Ending> endings;
    for (const Stream& stream : streams_) {
      const Engine& engine = engines().at(stream.vm);
      const bool answers =
          engine.alive && !engine.node_cut &&
          (!engine.is_stopped_in_pause || now() >= engine.paused_until);
      if (now() >= stream.deadline) {
        endings.push_back({stream, ForwardEndKind::kDeadlineExceeded});
      } else if (answers &&
                 (stream.group.empty() || GroupOf(stream.vm) != stream.group)) {
        const bool has_begun = stream.last_event > stream.sent;
        endings.push_back({stream, has_begun ? ForwardEndKind::kConnectionBroken
                                             : ForwardEndKind::kOtherVm});
      }
    }
    for (const Ending& ending : endings) {
      const Fingerprint content = ending.stream.request.content;
      if (ending.kind == ForwardEndKind::kDeadlineExceeded) {
        rule_.OnTimedOut(content);
      } else if (ending.kind == ForwardEndKind::kOtherVm) {
        rule_.OnNotRun(content, ending.stream.group);
      }
      BreakStream(ending.stream.node, ending.stream.id, ending.stream.vm,
                  ending.kind);
    }
    Schedule(kReviewInterval, [this] { ReviewStreams(); });
  }

  Random random_;
  std::int64_t last_content_ = kFirstOwnContent;
  SilenceRule rule_{kEventsPerAnswer, kMaxRuns};
  std::map<std::string, int> reasons_;
  // How the last request ended whose outcome is unknown to its caller.
  std::string last_outcome_;
  // Requests whose callers left, and those with a whole answer.
  std::set<Fingerprint> left_;
  std::set<Fingerprint> served_;
  std::set<Fingerprint> at_lost_groups_;
  std::set<Fingerprint> sent_to_lost_groups_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_SILENCE_WORLD_H_
