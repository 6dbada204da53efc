#ifndef COORDINATION_ROLES_ROLE_LEASES_H_
#define COORDINATION_ROLES_ROLE_LEASES_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/backoff.h"
#include "coordination/roles/node_lease.h"
#include "coordination/roles/role_assignment.h"
#include "state/state.h"

namespace gcw {

struct RoleLeasesSettings {
  // Mean interval between attempts to take a role that another node holds.
  Duration retry_interval = Duration::Seconds(2);
  Duration call_timeout = Duration::Seconds(2);
  // Maximum number of role calls in flight, so that taking many roles does not
  // use up the service's rate in one burst.
  std::size_t max_parallel_calls = 4;
  // Every node reads the role holders at an interval of this time multiplied by
  // the number of nodes, so that the fleet's total read rate does not grow with
  // its size.
  Duration read_interval_per_node = Duration::Millis(100);
  Duration min_read_interval = Duration::Seconds(10);
  // Whether a node that neither holds nor wants a role reads the role holders.
  // A node that receives the roles' keys in another way does not need to.
  bool read_when_idle = true;
  // A known role that was free in this many consecutive reads is taken by any
  // node that sees it, because the assigned node may be unable to reach the
  // service.
  int free_reads_before_takeover = 3;
  // How long a node keeps a role that is assigned to another node.
  Duration takeover_duration = Duration::Seconds(600);
  BackoffSettings backoff;
};

using RoleLeasesAction = std::variant<StoreRequest>;

struct HeldRole {
  // Fencing token that every order given in this role carries: the revision of
  // the role's key.
  FencingToken fence;
  Time valid_until;
};

// The roles that this node holds. Each is a key `role/<name>` that is attached
// to the node's lease; its revision is the fencing token.
class RoleLeases {
 public:
  class Builder;

  // Takes the roles in `desired` that are free and releases all others.
  std::vector<RoleLeasesAction> SetDesired(Time now,
                                           std::set<RoleName> desired);
  // Sets all roles of the fleet and the number of its nodes.
  void SetFleet(std::set<RoleName> roles, std::size_t nodes);
  std::vector<RoleLeasesAction> Tick(Time now);
  std::vector<RoleLeasesAction> OnStoreReply(Time now,
                                             StoreCallId id,
                                             const StoreReply& reply);

  // Absent if the node may not act in this role at `now`.
  std::optional<HeldRole> Held(const RoleName& role, Time now) const;
  std::vector<RoleName> HeldRoles(Time now) const;

 private:
  enum class Phase { kFree, kAcquiring, kHeld, kReleasing };
  struct Role {
    Phase phase = Phase::kFree;
    // The lease that the key is, or will be, attached to.
    LeaseId lease;
    Revision revision;
    // The highest known revision when the first put was sent.
    Revision floor;
    Time next_attempt;
    std::optional<StoreCallId> call;
  };
  struct PendingCall {
    RoleName role;
    Time sent;
  };

  RoleLeases(RoleLeasesSettings settings,
             NodeId self,
             std::function<std::optional<HeldLease>(Time)> lease,
             std::function<Revision()> revision_floor,
             Random random,
             EventSink sink);

  std::vector<RoleLeasesAction> NextCalls(Time now);
  std::optional<StoreCall> NextCall(const RoleName& name,
                                    Role& role,
                                    const HeldLease& lease);
  bool IsWanted(const RoleName& name, Time now) const;
  void DropRolesOfOtherLeases(Time now, LeaseId lease);
  void ExpireCalls(Time now);
  void OnRoleReply(Time now,
                   const RoleName& name,
                   Role& role,
                   const StoreReply& reply);
  void OnAcquireReply(Time now,
                      const RoleName& name,
                      Role& role,
                      const StoreReply& reply);
  void OnReleaseReply(Time now, Role& role, const StoreReply& reply);
  void Acquire(const RoleName& name,
               Role& role,
               Revision revision,
               Revision floor);
  void Drop(const RoleName& name, Role& role);
  void BackOff(Time now, const StoreReply& reply);
  std::optional<StoreRequest> NextRead(Time now);
  void OnRead(Time now, const StoreRangeReply& reply);
  void CompareWithRead(Time now,
                       const std::map<RoleName, StoreEntry>& read,
                       Revision revision);
  void CountFreeReads(Time now, const std::map<RoleName, StoreEntry>& read);
  void EmitEvent(EventKind kind, const RoleName& name, const Role& role);

  RoleLeasesSettings settings_;
  NodeId self_;
  std::function<std::optional<HeldLease>(Time)> lease_;
  std::function<Revision()> revision_floor_;
  Random random_;
  EventSink sink_;
  Backoff backoff_;

  std::set<RoleName> desired_;
  std::map<RoleName, Role> roles_;
  // The last seen lease, and the highest known revision when it was first seen.
  LeaseId lease_seen_;
  Revision lease_floor_;
  // No call is sent before this time, which is set when a call is refused or
  // unanswered.
  Time next_call_;
  std::map<StoreCallId, PendingCall> pending_;
  StoreCallId last_id_;

  std::set<RoleName> known_roles_;
  std::size_t node_count_ = 1;
  std::optional<StoreCallId> read_call_;
  Time read_sent_;
  Time next_read_;
  // Number of consecutive reads in which a known role was free.
  std::map<RoleName, int> free_reads_;
  // Roles taken although they are assigned to another node, with the time until
  // which they are kept.
  std::map<RoleName, Time> takeovers_;
};

class RoleLeases::Builder {
 public:
  Builder& SetSettings(RoleLeasesSettings settings);
  Builder& SetSelf(NodeId self);
  // Sets the function that returns the node's lease at a time; usually
  // `NodeLease::Held`.
  Builder& SetLease(std::function<std::optional<HeldLease>(Time)> lease);
  // Sets the function that returns the highest revision that this node knows to
  // have existed. A role taken at or below it comes from a service that was
  // restored to an older state.
  Builder& SetRevisionFloor(std::function<Revision()> floor);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink sink);
  RoleLeases Build() const;

 private:
  RoleLeasesSettings settings_;
  NodeId self_;
  std::function<std::optional<HeldLease>(Time)> lease_;
  std::function<Revision()> revision_floor_ = [] { return Revision(); };
  Random random_ = SeededRandom(0);
  EventSink sink_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_ROLES_ROLE_LEASES_H_
