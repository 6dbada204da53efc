#ifndef TESTS_SUPPORT_ONCE_WORLD_H_
#define TESTS_SUPPORT_ONCE_WORLD_H_

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

struct OnceWorldSettings {
  std::int64_t nodes = 4;
  std::uint64_t seed = 1;
  // Time until the other nodes notice that a node has left or joined.
  Duration detection = Duration::Seconds(2);
  OnceOwnerSettings owner;
  OnceClientSettings client;
  IssuedKeysSettings issued;
  // Sends per second of all callers, and the probability that a send repeats an
  // earlier key.
  double sends_per_second = 20;
  double repeat_probability = 0.5;
  // Number of recent keys from which repeated sends are drawn.
  std::size_t recent_key_count = 50;
  // Probability that a new key is issued by the system.
  double issued_key_probability = 0.25;
  // Probabilities of these ends of an attempt.
  double refusal_probability = 0.05;
  double answer_loss_probability = 0.05;
  // Maximum time between the last check and the first byte.
  Duration max_stall = Duration::Millis(20);
};

// What the caller of a send was told.
enum class SendOutcome {
  kNothing,
  kAnswered,
  kReplayed,
  kNotRun,
  kUnknown,
  kEarlier
};

// Simulates in virtual time several nodes, the key-value service, callers that
// send again, and a service that counts how often each key ran.
class OnceWorld {
 public:
  struct Send {
    std::string key;
    bool first = true;
    Time at;
    // Time at which the node was allowed to run the request.
    std::optional<Time> run_at;
    Time told_at;
    SendOutcome outcome = SendOutcome::kNothing;
    RefusalKind refusal = RefusalKind::kNoCapacity;
    bool executed = false;
  };

  static constexpr Duration kStep = Duration::Millis(10);

  explicit OnceWorld(OnceWorldSettings settings)
      : settings_(settings),
        random_(SeededRandom(settings.seed)),
        store_(random_),
        network_(random_) {
    store_.SetReachable([this](const std::string& caller) {
      return !store_cut_.contains(caller.substr(0, caller.find('/')));
    });
    network_.SetConnected([this](const NodeId& from, const NodeId& to) {
      return from == to || (!cut_.contains(from) && !cut_.contains(to));
    });
    for (std::int64_t index = 0; index < settings.nodes; ++index) {
      Boot(NodeId("n" + std::to_string(index)));
    }
    UpdateMembers();
  }
  OnceWorld(const OnceWorld&) = delete;
  OnceWorld& operator=(const OnceWorld&) = delete;

  // Faults -------------------------------------------------------------------

  void Kill(std::int64_t index, Duration down) {
    Node& node = NodeAt(index);
    node.owner.reset();
    node.client.reset();
    node.work.clear();
    node.back_at = now_ + down;
    After(settings_.detection, [this] { UpdateMembers(); });
    After(down, [this, id = node.id] {
      if (!nodes_.at(id).owner) {
        Boot(id);
        After(settings_.detection, [this] { UpdateMembers(); });
      }
    });
  }
  void Pause(std::int64_t index, Duration length) {
    NodeAt(index).paused_until = now_ + length;
  }
  void Partition(std::int64_t index, Duration length) {
    cut_.insert(NodeAt(index).id);
    After(length, [this, id = NodeAt(index).id] { cut_.erase(id); });
  }
  void PartitionFromStore(std::int64_t index, Duration length) {
    const std::string id = NodeAt(index).id.value();
    store_cut_.insert(id);
    After(length, [this, id] { store_cut_.erase(id); });
  }
  // The other nodes consider a running node dead.
  void Suspect(std::int64_t index, Duration length) {
    const NodeId id = NodeAt(index).id;
    suspected_.insert(id);
    UpdateMembers();
    After(length, [this, id] {
      suspected_.erase(id);
      UpdateMembers();
    });
  }
  void Outage(Duration length) {
    store_.SetOutage(now_, true);
    After(length, [this] { store_.SetOutage(now_, false); });
  }
  void ShiftClock(std::int64_t index, Duration by) {
    NodeAt(index).clock_offset = NodeAt(index).clock_offset + by;
  }
  // Stops the node as planned: its shards are released before the process ends.
  void Stop(std::int64_t index, Duration down) {
    Node& node = NodeAt(index);
    if (!node.owner || Paused(node)) {
      return;
    }
    leaving_.insert(node.id);
    UpdateMembers();
    ApplyActions(node, node.owner->Release(LocalTime(node)));
    After(Duration::Seconds(3), [this, index, down, id = node.id] {
      leaving_.erase(id);
      Kill(index, down);
    });
  }

  // Running ------------------------------------------------------------------

  void Run(Duration length) {
    const Time end = now_ + length;
    while (now_ < end) {
      Step();
    }
  }

  void Step() {
    now_ = now_ + kStep;
    RunTimers();
    for (auto& delivery : store_.Deliver(now_)) {
      OnStoreReply(delivery);
    }
    for (auto& delivery : network_.Deliver(now_)) {
      Node& node = nodes_.at(delivery.to);
      Enqueue(node, [this, &node, delivery] { OnMessage(node, delivery); });
    }
    due_sends_ += sending_ ? settings_.sends_per_second * 0.001 *
                                 static_cast<double>(kStep.millis())
                           : 0;
    for (; DrawUnit(random_) < due_sends_; due_sends_ -= 1) {
      CallerSends();
    }
    for (auto& [id, node] : nodes_) {
      RunNode(node);
    }
  }

  void StopSending() { sending_ = false; }
  Time now() const { return now_; }
  OnceWorldSettings& settings() { return settings_; }
  FakeStoreLink& store() { return store_; }
  FakeNetwork<OnceMessage>& network() { return network_; }
  const std::map<RequestId, Send>& sends() const { return sends_; }
  OnceOwner* owner(std::int64_t index) { return NodeAt(index).owner.get(); }

  // Sends the key through the node. Returns an empty id if the node is down.
  RequestId SendKey(std::int64_t index, const std::string& key) {
    Node& node = NodeAt(index);
    if (!node.client) {
      return RequestId();
    }
    RequestId request("r" + std::to_string(++last_request_));
    Send& send = sends_[request];
    send.key = key;
    send.first = keys_.insert(key).second;
    send.at = now_;
    Enqueue(node, [this, &node, request, key] {
      const OnceSend typed{request, ContractId("c"), IdempotencyKey(key),
                           Fingerprint(7),
                           LocalTime(node) + Duration::Seconds(15)};
      ApplyActions(node, node.client->Start(LocalTime(node), typed));
    });
    return request;
  }
  std::string IssueKey(std::int64_t index) {
    Node& node = NodeAt(index);
    return node.owner
               ? node.owner->IssueKey(LocalTime(node), ContractId("c")).value()
               : std::string();
  }

  // The first violated invariant, or empty if none is.
  const std::string& violation() const { return violation_; }
  std::int64_t Executions(const std::string& key) const {
    const auto found = executed_by_.find(key);
    return found == executed_by_.end()
               ? 0
               : static_cast<std::int64_t>(found->second.size());
  }

 private:
  using Job = std::function<void()>;
  struct Node {
    NodeId id;
    Incarnation incarnation;
    std::unique_ptr<OnceOwner> owner;
    std::unique_ptr<OnceClient> client;
    // Events that have arrived and are not handled yet, for example during a
    // pause.
    std::vector<Job> work;
    Duration clock_offset;
    Time paused_until;
    Time back_at;
    Time next_tick;
  };

  Node& NodeAt(std::int64_t index) {
    return nodes_.at(NodeId("n" + std::to_string(index)));
  }
  Time LocalTime(const Node& node) const { return now_ + node.clock_offset; }
  bool Paused(const Node& node) const { return now_ < node.paused_until; }
  void After(Duration delay, Job job) {
    timers_.emplace(now_ + delay, std::move(job));
  }
  void Enqueue(Node& node, Job job) {
    if (node.owner) {
      node.work.push_back(std::move(job));
    }
  }
  Duration DrawDuration(Duration max) {
    return Duration::Millis(static_cast<std::int64_t>(
        DrawBelow(random_, static_cast<std::uint64_t>(max.millis()) + 1)));
  }

  void Boot(const NodeId& id) {
    Node& node = nodes_[id];
    node.id = id;
    ++node.incarnation;
    node.owner = OnceOwner::Builder()
                     .SetSelf(id, node.incarnation)
                     .SetSettings(settings_.owner)
                     .SetIssuedKeys(settings_.issued)
                     .SetRandom(random_)
                     .Build();
    node.client = OnceClient::Builder()
                      .SetSelf(id, node.incarnation)
                      .SetSettings(settings_.client)
                      .Build();
    Enqueue(node, [this, &node] { DeliverMembers(node, Members()); });
  }

  std::vector<OnceMember> Members() const {
    std::vector<OnceMember> members;
    for (const auto& [id, node] : nodes_) {
      if (node.owner && !leaving_.contains(id)) {
        members.push_back(OnceMember{id, node.incarnation});
      }
    }
    return members;
  }
  void UpdateMembers() {
    const std::vector<OnceMember> members = Members();
    for (auto& each : nodes_) {
      const NodeId& id = each.first;
      Node& node = each.second;
      std::vector<OnceMember> view = members;
      std::erase_if(view, [&](const OnceMember& member) {
        return member.node != id && suspected_.contains(member.node);
      });
      Enqueue(node, [this, &node, view] { DeliverMembers(node, view); });
    }
  }
  void DeliverMembers(Node& node, const std::vector<OnceMember>& view) {
    ApplyActions(node, node.owner->OnMembers(LocalTime(node), view));
    ApplyActions(node, node.client->OnMembers(LocalTime(node), view));
  }

  void RunTimers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const Job job = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      job();
    }
  }
  void RunNode(Node& node) {
    if (!node.owner || Paused(node)) {
      return;
    }
    const std::vector<Job> work = std::exchange(node.work, {});
    for (const Job& job : work) {
      job();
    }
    if (now_ >= node.next_tick) {
      node.next_tick = now_ + Duration::Millis(50);
      ApplyActions(node, node.owner->Tick(LocalTime(node)));
      node.client->OnRevisionSeen(node.owner->seen());
      ApplyActions(node, node.client->Tick(LocalTime(node)));
    }
  }

  void OnStoreReply(const FakeStoreLink::Delivery& delivery) {
    for (auto& each : nodes_) {
      Node& node = each.second;
      if (StoreName(node) == delivery.caller) {
        Enqueue(node, [this, &node, delivery] {
          ApplyActions(node, node.owner->OnStoreReply(
                                 LocalTime(node), delivery.id, delivery.reply));
        });
      }
    }
  }
  std::string StoreName(const Node& node) const {
    return node.id.value() + "/" + std::to_string(node.incarnation.value());
  }
  void OnMessage(Node& node,
                 const FakeNetwork<OnceMessage>::Delivery& delivery) {
    const Time now = LocalTime(node);
    std::visit(
        Overloaded{
            [&](const OnceClaimRequest& claim) {
              ApplyActions(node,
                           node.owner->OnClaim(now, delivery.from, claim));
            },
            [&](const OnceFinish& finish) {
              ApplyActions(node,
                           node.owner->OnFinish(now, delivery.from, finish));
            },
            [&](const OnceClaimReply& reply) {
              ApplyActions(node,
                           node.client->OnReply(now, delivery.from, reply));
            },
            [&](const OnceFinishAck& ack) { node.client->OnFinishAck(ack); },
        },
        delivery.message);
  }

  void ApplyActions(Node& node, const OnceOwnerActions& actions) {
    for (const OnceOwnerAction& action : actions) {
      if (const auto* call = std::get_if<StoreRequest>(&action)) {
        store_.Send(now_, StoreName(node), call->id, call->call);
      } else {
        const auto& send = std::get<OncePeerSend>(action);
        network_.Send(now_, node.id, send.to, send.message);
      }
    }
  }
  void ApplyActions(Node& node, const OnceClientActions& actions) {
    for (const OnceClientAction& action : actions) {
      std::visit(
          Overloaded{
              [&](const OncePeerSend& send) {
                network_.Send(now_, node.id, send.to, send.message);
              },
              [&](const OnceRun& run) { Dispatch(node, run.request); },
              [&](const OnceReplay& replay) { OnReplay(replay); },
              [&](const OnceRefuse& refuse) {
                sends_.at(refuse.request).refusal = refuse.refusal.kind;
                Tell(refuse.request, SendOutcome::kNotRun);
              },
              [&](const OnceReportEarlier& earlier) { OnEarlier(earlier); },
          },
          action);
    }
  }

  // Simulated service --------------------------------------------------------

  void Dispatch(Node& node, const RequestId& request) {
    sends_.at(request).run_at = now_;
    const Incarnation incarnation = node.incarnation;
    After(DrawDuration(Duration::Millis(100)),
          [this, &node, request, incarnation] {
            if (node.incarnation == incarnation) {
              Enqueue(node, [this, &node, request] { Write(node, request); });
            }
          });
  }
  void Write(Node& node, const RequestId& request) {
    if (!node.client->MayWrite(LocalTime(node), request) ||
        DrawUnit(random_) < settings_.refusal_probability) {
      Tell(request, SendOutcome::kNotRun);
      ApplyActions(node,
                   node.client->Finish(LocalTime(node), request, OnceNotRun{}));
      return;
    }
    const bool lost = DrawUnit(random_) < settings_.answer_loss_probability;
    After(DrawDuration(settings_.max_stall),
          [this, request] { Execute(request); });
    const Incarnation incarnation = node.incarnation;
    After(settings_.max_stall + DrawDuration(Duration::Millis(500)),
          [this, &node, request, lost, incarnation] {
            if (node.incarnation == incarnation) {
              Enqueue(node, [this, &node, request, lost] {
                OnServiceEnd(node, request, lost);
              });
            }
          });
  }
  void Execute(const RequestId& request) {
    Send& send = sends_.at(request);
    send.executed = true;
    executed_by_[send.key].push_back(request);
    Require(executed_by_[send.key].size() == 1, "key ran twice", request);
    Require(send.outcome != SendOutcome::kNotRun,
            "ran after being told not run", request);
  }
  void OnServiceEnd(Node& node, const RequestId& request, bool lost) {
    Tell(request, lost ? SendOutcome::kUnknown : SendOutcome::kAnswered);
    OnceOutcome outcome = OnceMayHaveRun{};
    if (!lost) {
      outcome = OnceAnswered{OnceAnswer{200, {}, request.value()}};
    }
    ApplyActions(node, node.client->Finish(LocalTime(node), request, outcome));
  }

  // Callers ------------------------------------------------------------------

  void CallerSends() {
    const auto index = static_cast<std::int64_t>(
        DrawBelow(random_, static_cast<std::uint64_t>(settings_.nodes)));
    std::string key;
    if (!recent_.empty() && DrawUnit(random_) < settings_.repeat_probability) {
      key = recent_[DrawBelow(random_, recent_.size())];
    } else if (DrawUnit(random_) < settings_.issued_key_probability) {
      key = IssueKey(index);
    }
    if (key.empty()) {
      key = "k" + std::to_string(++last_key_);
    }
    SendKey(index, key);
    recent_.push_back(key);
    if (recent_.size() > settings_.recent_key_count) {
      recent_.erase(recent_.begin());
    }
  }
  void OnReplay(const OnceReplay& replay) {
    const std::string& key = sends_.at(replay.request).key;
    Tell(replay.request, SendOutcome::kReplayed);
    Require(Executions(key) == 1 &&
                executed_by_.at(key).front().value() == replay.answer.body,
            "replayed another request's answer", replay.request);
  }
  void OnEarlier(const OnceReportEarlier& earlier) {
    Tell(earlier.request, SendOutcome::kEarlier);
    Require(!earlier.certain || Executions(sends_.at(earlier.request).key) == 1,
            "told that an earlier send ran, but none did", earlier.request);
  }
  void Tell(const RequestId& request, SendOutcome outcome) {
    Send& send = sends_.at(request);
    Require(send.outcome == SendOutcome::kNothing, "told twice", request);
    Require(outcome == SendOutcome::kAnswered ||
                outcome == SendOutcome::kUnknown || !send.executed,
            "ran, but was told that this send did not", request);
    send.outcome = outcome;
    send.told_at = now_;
  }
  void Require(bool holds, const std::string& what, const RequestId& request) {
    if (!holds && violation_.empty()) {
      violation_ = what + ": " + request.value() + " key " +
                   sends_.at(request).key + " at " +
                   std::to_string(now_.millis()) + " ms";
    }
  }

  OnceWorldSettings settings_;
  Random random_;
  FakeStoreLink store_;
  FakeNetwork<OnceMessage> network_;
  // Start of the virtual time, late enough that clocks shifted back stay
  // positive.
  Time now_ = Time::FromMillis(1'800'000'000'000);
  std::multimap<Time, Job> timers_;
  std::map<NodeId, Node> nodes_;
  std::set<NodeId> cut_;
  std::set<std::string> store_cut_;
  std::set<NodeId> suspected_;
  std::set<NodeId> leaving_;
  bool sending_ = true;
  double due_sends_ = 0;
  std::map<RequestId, Send> sends_;
  std::set<std::string> keys_;
  std::vector<std::string> recent_;
  std::map<std::string, std::vector<RequestId>> executed_by_;
  std::int64_t last_request_ = 0;
  std::int64_t last_key_ = 0;
  std::string violation_;
};

}  // namespace gcw

#endif  // TESTS_SUPPORT_ONCE_WORLD_H_
