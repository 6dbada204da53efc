#ifndef PROGRAMS_GCW_STANDIN_ENGINE_MEMBER_H_
#define PROGRAMS_GCW_STANDIN_ENGINE_MEMBER_H_

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "state/state.h"

namespace gcw {

// Requests the status of another member's engine.
struct PollMember {
  VmId vm;
  Address address;
};
// Fetches this VM's shard from the weight store; `OnWeights` must be called
// when the fetch is complete.
struct FetchWeights {
  Generation generation;
};
// Aborts all pending requests, because the group failed or because this engine
// left it or joined another generation.
struct AbortAnswers {};

using MemberAction = std::variant<PollMember, FetchWeights, AbortAnswers>;

struct OrderOutcome {
  EngineOrderReply reply;
  std::vector<MemberAction> actions;
};

// The membership of one VM in a replica group. Carries out orders and loads the
// shard. At rank 0 it also polls the other members, because the group serves
// only while all of them are present.
class EngineMember {
 public:
  struct Settings {
    VmId vm;
    Incarnation incarnation = Incarnation(1);
    // Time to load a shard, counted from the end of the fetch if there is a
    // weight store.
    Duration load_time;
    bool uses_weight_store = false;
    Duration poll_interval = Duration::Millis(200);
    // A member that has not answered as a member of this generation for this
    // time counts as lost.
    Duration member_timeout = Duration::Millis(700);
  };

  explicit EngineMember(Settings settings);

  // `ignore_fence` also carries out orders with a stale fencing token or
  // generation.
  OrderOutcome OnOrder(Time now, const EngineOrder& order, bool ignore_fence);
  void OnWeights(Time now, Generation generation);
  std::vector<MemberAction> OnMemberStatus(Time now,
                                           const EngineStatus& status);
  std::vector<MemberAction> Tick(Time now);

  // Returns whether the engine accepts new requests: it has rank 0 in a group
  // that is ready.
  bool IsServing() const;
  // Leaves `active` unset, because only the batch knows it.
  EngineStatus Status(Time now) const;
  const EngineStatus& local_status() const { return status_; }

 private:
  struct Peer {
    VmId vm;
    Address address;
    // Time of its last answer as a member of this generation.
    std::optional<Time> last_seen;
    Incarnation incarnation;
    bool loaded = false;
  };

  // The weights in memory. A new generation that needs the same shard does not
  // load it again.
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
  bool SeesAllPeers(Time now) const;
  bool AllPeersLoaded() const;
  std::vector<MemberAction> Fail();
  void PollPeers(Time now, std::vector<MemberAction>& actions);

  Settings settings_;
  EngineStatus status_;
  std::vector<Peer> peers_;
  std::optional<Shard> shard_;
  Shard target_shard_;
  // Time at which the load of this VM's shard completes. Absent if no load is
  // in progress or if the fetch from the weight store is not complete yet.
  std::optional<Time> load_done_at_;
  bool own_shard_loaded_ = false;
  Time next_poll_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_STANDIN_ENGINE_MEMBER_H_
