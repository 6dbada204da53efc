#ifndef PROGRAMS_GCW_STANDIN_ENGINE_MEMBER_H_
#define PROGRAMS_GCW_STANDIN_ENGINE_MEMBER_H_

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

// Ask another member's engine for its status.
struct PollMember {
  VmId vm;
  Address address;
};
// Fetch this VM's shard from the weight store, then call `OnWeights`.
struct FetchWeights {
  Generation generation;
};
// Requests in hand are lost: the group or this engine's part in it is gone.
struct BreakAnswers {};

using MemberAction = std::variant<PollMember, FetchWeights, BreakAnswers>;

struct OrderOutcome {
  EngineOrderReply reply;
  std::vector<MemberAction> actions;
};

// One VM's part in a replica group: takes orders, loads, and at rank 0 watches
// the other members, without which the group serves nothing.
class EngineMember {
 public:
  struct Settings {
    VmId vm;
    Incarnation incarnation = Incarnation(1);
    // Zero and no weight store: loaded at once.
    Duration load_time;
    bool uses_weight_store = false;
    Duration poll_period = Duration::Millis(200);
    // A member that was not seen at work for so long is missing.
    Duration member_timeout = Duration::Millis(700);
  };

  explicit EngineMember(Settings settings);

  // An engine that ignores fences executes orders of any number.
  OrderOutcome OnOrder(Time now, const EngineOrder& order, bool ignore_fence);
  void OnWeights(Time now, Generation generation);
  std::vector<MemberAction> OnMemberStatus(Time now,
                                           const EngineStatus& status);
  std::vector<MemberAction> Tick(Time now);

  // Whether it takes new requests: rank 0 of a group with all its members.
  bool IsServing() const;
  // Without `active`, which the batch knows.
  EngineStatus Status(Time now) const;
  const EngineStatus& own() const { return status_; }

 private:
  struct Peer {
    VmId vm;
    Address address;
    // When it last answered as a member of this generation.
    std::optional<Time> seen;
    Incarnation incarnation;
    bool loaded = false;
  };

  // What it holds in memory, which a new generation can go on using.
  struct Shard {
    ModelId model;
    std::int64_t rank = 0;
    std::size_t group_size = 0;

    friend bool operator==(const Shard&, const Shard&) = default;
  };

  OrderOutcome Load(Time now, const EngineOrder& order);
  OrderOutcome Leave();
  OrderOutcome Drain();
  void Join(const EngineOrder& order);
  void FinishLoad();
  bool IsPresent(Time now, const Peer& peer) const;
  bool SeesAll(Time now) const;
  bool AllLoaded() const;
  std::vector<MemberAction> Fail();
  void PollPeers(Time now, std::vector<MemberAction>& actions);

  Settings settings_;
  EngineStatus status_;
  std::vector<Peer> peers_;
  std::optional<Shard> shard_;
  Shard wanted_;
  // Loading its own part is done at this time; absent while it is not or while
  // the weight store decides.
  std::optional<Time> loaded_at_;
  bool own_part_loaded_ = false;
  Time next_poll_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_ENGINE_MEMBER_H_
