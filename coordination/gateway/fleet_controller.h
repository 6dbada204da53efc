#ifndef COORDINATION_GATEWAY_FLEET_CONTROLLER_H_
#define COORDINATION_GATEWAY_FLEET_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/gateway/fleet_view.h"
#include "coordination/gateway/group_planner.h"
#include "coordination/gateway/load_pacer.h"
#include "coordination/gateway/model_demand.h"
#include "coordination/gateway/placement/capacity_demand.h"
#include "coordination/groups/domain_writer.h"
#include "coordination/groups/order_sender.h"
#include "coordination/roles/role_leases.h"
#include "state/state.h"

namespace gcw {

struct FleetControllerSettings {
  WriterSettings writer = {Duration::Millis(1500), Duration::Millis(300)};
  GroupPlannerSettings planner;
  LoadPacerSettings loads;
  ModelDemandSettings demand;
  // The same for services whose requests differ in rank.
  CapacityDemandSettings ranked_demand;
  // Interval between load probes of serving groups. Each probe asks one group,
  // so that the cost of the estimate does not grow with the fleet.
  Duration demand_probe_interval = Duration::Millis(100);
  // Maximum number of domains searched for a group to probe in one tick.
  std::size_t max_searched_domains = 8;
  // No order is sent when less than this remains of the role's lease: the order
  // has to arrive, or its connection to be given up, before another node can
  // hold the role.
  Duration min_remaining_lease = Duration::Millis(500);
  // Time after which an order without an answer counts as unanswered.
  Duration order_timeout = Duration::Millis(500);
  // Interval between two sends of an order whose effect is not visible yet.
  Duration resend_interval = Duration::Millis(1000);
  // A VM that does not answer a probe within this time is unresponsive and is
  // not put into any group. Engines answer probes at once, whatever they run.
  Duration probe_timeout = Duration::Millis(200);
  // Interval between two probes of a VM that is unresponsive or slow.
  Duration probe_interval = Duration::Millis(1000);
  // Minimum interval between two probes of a VM. The second failure in a row is
  // sought this soon, so that one lost packet does not decide.
  Duration probe_retry_interval = Duration::Millis(250);
  // Number of probes in a row that must fail to connect before a member of an
  // open group counts as lost.
  int min_unreachable_probes = 2;
  // After most groups were out of reach at once, none is given up for this long
  // only because a member is still out of reach: they come back one by one.
  Duration loss_doubt_time = Duration::Millis(1500);
  // A member that is found lost is given up this long after the last probe
  // was sent, unless its group has made progress since: then only this node has
  // lost its path to the member. Other nodes tell of progress meanwhile.
  Duration witness_time = Duration::Millis(320);
  // Events that are this much later than the probe were sent after it.
  Duration progress_margin = Duration::Millis(100);
  // An engine that reports at least this slowdown factor is slow. Its group
  // runs at the same pace and may therefore seem stalled.
  double slowdown_threshold = 1.8;
  // How long a stalled group without a lost member may take to make progress
  // again before it is closed. Callers leave sooner, so that no answer that may
  // still arrive is cut off.
  Duration stall_timeout = Duration::Millis(3000);
  // A group that made progress within this time has all its members, whatever
  // the registrations say: the loss of any member stops all its streams.
  Duration progress_ttl = Duration::Millis(1200);
  // Endpoints register within some seconds after the whole fleet starts. A
  // domain is settled once no VM has appeared in it for this long.
  Duration settle_time = Duration::Millis(1500);
  // A group that has not opened within this time is given up. The time covers
  // the slowest load behind a full queue of others.
  Duration formation_timeout = Duration::Seconds(60);
  // Fraction of a model's groups, but at least one, that may be closed at a
  // time so that leaving members can be replaced. A release replaces members of
  // most groups within a second or two.
  double max_closing_share = 0.2;
  // How long a group that is closed on purpose may take to finish its requests.
  Duration drain_timeout = Duration::Millis(6000);
  // The same limit for a group that is given up for a group of another model.
  // It is shorter because the VMs of both groups take no new requests
  // meanwhile.
  Duration regroup_drain_timeout = Duration::Millis(1500);
  // Minimum interval between two regroupings of one domain.
  Duration regroup_interval = Duration::Millis(6000);
  // Review interval of a domain that has work in progress. News about a domain
  // triggers a review at once.
  Duration busy_review_interval = Duration::Millis(40);
  // Maximum rate of these reviews over all domains. With more busy domains the
  // interval grows, so that the work stays within what one processor can do.
  double busy_reviews_per_second = 200;
  // Review interval of a domain whose groups all serve.
  Duration idle_review_interval = Duration::Millis(500);
};

struct SendGroupOrder {
  OrderId id;
  VmId vm;
  Address address;
  GroupOrder order;
  Duration timeout;
};

// Asks the VM's engine for a sign of life and its load.
struct ProbeEngine {
  VmId vm;
  Address address;
  Duration timeout;
  // Only a new connection shows that a VM is gone: what is sent on an idle one
  // is lost without a sign.
  bool reuse_connection = false;
};

using FleetControllerAction =
    std::variant<StoreRequest, SendGroupOrder, ProbeEngine>;

// Controls the replica groups of all fabric domains while this node holds the
// controller's role. One record per domain in the key-value service says which
// VMs form which group. Engines receive orders only for committed records, and
// what they report is reconciled with the record.
//
// A VM is put into another group only after its engine, or that of its group's
// first member, confirmed that it left. No request can then run in a group that
// lost a member to another one, even if the first member is cut off and
// continues to serve.
class FleetController {
 public:
  // Returns when this node last saw the group with this first member make
  // progress, or the start of time if it never did.
  using LastProgress = std::function<Time(const VmId& head, Generation)>;

  // Returns whether an endpoint may be probed only to learn its load.
  using ProbeFilter = std::function<bool(const VmId& endpoint)>;

  FleetController(FleetControllerSettings settings,
                  DomainRecordCodec codec,
                  LastProgress last_progress,
                  ProbeFilter accepts_load_probe,
                  EventSink events);

  // `role` is empty if this node does not hold the role.
  void SetRole(Time now, const std::optional<HeldRole>& role);
  // Reports the registrations that were added, changed or removed since the
  // last call.
  void OnVmsChanged(const std::set<VmId>& vms);
  // Reports the first requests: from then on, loads count against the weight
  // store's rate.
  void OnTraffic() { load_pacer_.OnTraffic(); }
  // Reports a caller's request at this node.
  void OnRequest(const ModelId& model, Rank rank, TokenCount prompt_tokens) {
    capacity_demand_.OnRequest(model, rank, prompt_tokens);
  }
  // Reports that nodes which send requests to the group see it stalled.
  void OnGroupStalled(const VmId& head, Generation generation);
  // Reports that a node does not reach the group's first member.
  void OnHeadUnreachable(const VmId& head, Generation generation);
  // First members and generations of the serving groups that are reported as
  // stalled, or have a member that does not answer or has no registration, and
  // about which there is no decision yet.
  std::vector<std::pair<VmId, Generation>> StalledGroups() const;

  std::vector<FleetControllerAction> Tick(Time now, const FleetView& view);
  std::vector<FleetControllerAction> OnStoreReply(Time now,
                                                  StoreCallId id,
                                                  const StoreReply& reply);
  void OnOrderReply(Time now, OrderId id, GroupOrderResult result);
  void OnProbeReply(Time now, const VmId& vm, const ProbeReport& report);

  // Models of the services whose requests differ in rank; none while this node
  // does not hold the role.
  std::vector<ModelPlacement> Placements(const FleetView& view) const;

  // Whether an engine refused an order because another controller holds the
  // role.
  bool is_fenced() const { return fenced_off_; }

 private:
  // What this controller has observed of a group since it took the role.
  struct GroupStatus {
    Time observed_since;
    std::set<VmId> joined;
    // Members to which this controller sent a join order.
    std::set<VmId> join_ordered;
    std::map<VmId, Address> addresses;
    bool has_opened = false;
    bool open_ordered = false;
    // Why the group ends; empty while it stays.
    std::string end_reason;
    Time end_started;
    bool is_planned_end = false;
    // The group is given up for a group of another model.
    bool is_regrouped = false;
    // Since when a member has no registration; empty if all have one.
    std::optional<Time> unregistered_since;
    // When nodes first reported the group as stalled; empty if it is not.
    std::optional<Time> stalled_since;
    // When the members of a stalled group are probed again.
    Time next_member_probe;
    // Members whose engines confirmed that they left.
    std::set<VmId> left_members;
  };
  struct Domain {
    ServiceId service;
    DomainWriter writer;
    std::map<GroupId, GroupStatus> group_statuses;
    // Planner input of the last review, and the loads planned from it.
    DomainSnapshot snapshot;
    std::vector<PlannedStaging> stagings;
    // The model for which groups were given up; empty if no group of it is
    // awaited.
    ModelId regroup_target;
    // Number of groups that are awaited of it.
    std::size_t regroup_count = 1;
    Time next_regroup;
    Time next_review;
    // Whether the current tick reviews the domain.
    bool is_reviewed = false;
    // Whether work is in progress or a timer is pending.
    bool is_busy = false;
  };
  struct DemandProbe {
    ModelId model;
    // Owns `service`.
    std::shared_ptr<const RouteTable> routes;
    const ServiceRule* service = nullptr;
  };
  struct PendingOrder {
    VmId vm;
    Address address;
    GroupOrder order;
    Time sent;
  };
  struct LastOrder {
    GroupOrderKind kind = GroupOrderKind::kJoin;
    GroupId group;
    Time sent;
  };
  // Probe state of a VM whose health is in doubt.
  struct Suspect {
    bool is_unresponsive = false;
    bool is_slow = false;
    bool probe_pending = false;
    Time next_probe;
    Time probed_at;
    // When the last probe was sent that got no answer.
    Time failed_at;
    // How the last probe failed, and the number of probes in a row that failed,
    // in any way and without a connection.
    ProbeResult failure = ProbeResult::kConnected;
    int failed_probes = 0;
    int unreachable_probes = 0;
    Address address;
  };

  // Processes the registrations that changed since the last call.
  void ProcessVmChanges(Time now, const FleetView& view);
  void ProcessVm(Time now, const FleetView& view, const VmRegistration& vm);
  // Schedules a review of the VM's domain for the next tick.
  void ScheduleReview(const VmId& vm);
  // Marks the domains to review in this tick: those with news and those that
  // are due. The others keep the result of their last review.
  void SelectDueDomains(Time now);
  // Whether the domain has no work in progress and no pending timer.
  bool IsIdle(const FleetView& view, const Domain& domain) const;
  // Discards all state of a VM's previous run.
  void ResetVmState(const VmId& vm);
  void ReviewGroups(Time now, const FleetView& view, Domain& domain);
  std::string FindEndReason(Time now,
                            const FleetView& view,
                            const Domain& domain,
                            const GroupRecord& group,
                            GroupStatus& status) const;
  static void UpdateMissingRegistrations(Time now,
                                         const FleetView& view,
                                         const GroupRecord& group,
                                         GroupStatus& status);
  // Whether the group may serve although members have no registrations.
  bool MayMissRegistrations(Time now,
                            const GroupRecord& group,
                            const GroupStatus& status) const;
  // Whether the group's first member reports that the group is open.
  static bool IsOpen(const FleetView& view, const GroupRecord& group);
  // Whether the group's endpoint gets no requests because its data centre is
  // evacuated.
  static bool IsEvacuated(const FleetView& view, const GroupRecord& group);
  // Whether the member is known to have left the group.
  bool HasLeft(const FleetView& view,
               const GroupRecord& group,
               const GroupStatus& status,
               const VmId& member) const;
  // Whether the domain has enough free VMs with the model's weights for the
  // members that leave and those that groups which end already need.
  bool CanReplaceLeavingMembers(const FleetView& view,
                                const Domain& domain,
                                const GroupRecord& group) const;
  // Whether few enough of the model's groups are being closed on purpose for
  // one more to be closed.
  bool MayCloseAnotherGroup(const ServiceId& service,
                            const ModelId& model) const;
  // Whether the group waits for loads although the domain's free VMs could
  // replace every member that loads. The planner ranks VMs by the same weights
  // at hand, so it does not form the group of the same members again.
  bool CanReplaceLoadingMembers(const FleetView& view,
                                const Domain& domain,
                                const GroupRecord& group) const;
  bool HasEnded(const FleetView& view,
                const GroupRecord& group,
                const GroupStatus& status) const;
  void RemoveEnded(Time now,
                   const FleetView& view,
                   Domain& domain,
                   DomainRecord& next_record);
  // Planner input about the domain's groups, without its free VMs.
  DomainSnapshot SnapshotGroups(Time now,
                                const FleetView& view,
                                const Domain& domain,
                                const DomainRecord& next_record) const;
  DomainSnapshot SnapshotDomain(Time now,
                                const FleetView& view,
                                const Domain& domain,
                                const DomainRecord& next_record);
  // Number of members that cannot join the group's successor.
  std::size_t CountUnusableMembers(const FleetView& view,
                                   const GroupRecord& group) const;
  // Whether a VM whose engine reports a group that is in no record may join a
  // new group. If not, orders it to leave the old one.
  bool MayJoinNewGroup(Time now, const VmRegistration& vm);
  void PlanService(Time now, const FleetView& view, const ServiceRule& service);
  void RecordDemand(Time now, const DemandProbe& probe, std::int64_t requests);
  std::size_t CountServingGroups(const ServiceId& service,
                                 const ModelId& model) const;
  void GiveUpGroups(Time now, const Regrouping& regrouping);
  VmCandidate DescribeCandidate(const VmRegistration& vm) const;
  ServingGroup DescribeServingGroup(Time now,
                                    const FleetView& view,
                                    const GroupRecord& group,
                                    const GroupStatus& status) const;
  // Updates the state of the domain's groups and the list of its free VMs.
  // Returns the record without the groups that have ended.
  DomainRecord ReviewDomain(Time now, const FleetView& view, Domain& domain);
  void AddGroup(PlannedGroup planned_group, DomainRecord& next_record);
  void Commit(Time now, Domain& domain, DomainRecord next_record);
  void OrderGroup(Time now,
                  const FleetView& view,
                  Domain& domain,
                  const GroupRecord& group);
  void OrderJoins(Time now,
                  const FleetView& view,
                  const Domain& domain,
                  const GroupRecord& group,
                  GroupStatus& status);
  void OrderLeave(Time now,
                  const FleetView& view,
                  const GroupRecord& group,
                  const GroupStatus& status,
                  const VmId& member);
  void OrderEnd(Time now,
                const FleetView& view,
                const GroupRecord& group,
                GroupStatus& status);
  // Whether a VM without the model's weights may be told to join a group now.
  // If the load limits permit a load and the host accepts it, the host loads
  // the weights first and the join waits.
  bool MayJoinWithoutWeights(Time now,
                             const VmRegistration& vm,
                             const ModelProfile& model);
  void OrderStagings(Time now, const FleetView& view);
  void OrderPlannedStaging(Time now,
                           const FleetView& view,
                           const PlannedStaging& staging);
  void OrderStaging(Time now, const VmRegistration& vm, const ModelId& model);
  void ProbeSuspects(Time now, const FleetView& view);
  // Records that a probe of the VM's health got no answer.
  void RecordFailedProbe(const VmId& vm, Suspect& suspect, ProbeResult failure);
  // Reports that the VM is not put into any group, or only as the last choice.
  void ReportQuarantine(const VmId& vm, const ProbeReport& report);
  // Whether members out of reach in most groups at once are no evidence of
  // losses: stopped processes whose queues of new connections are full look
  // like lost VMs. Their registrations show which ones are gone.
  bool IsLossDoubtful() const;
  // Whether the next probe is due soon, because a single failure decides
  // nothing.
  bool NeedsAnotherProbe(const Suspect& suspect) const;
  // Asks one serving group for its load, round-robin over models and domains.
  void ProbeDemand(Time now, const FleetView& view);
  // Returns the first member of a group of the model that serves in the domain,
  // or null if there is none.
  const VmRegistration* FindServingHead(const FleetView& view,
                                        const Domain& domain,
                                        const ModelId& model);
  // Marks the VM's health as in doubt, so that it is probed as soon as
  // possible.
  void SuspectVm(Time now, const VmId& vm, const Address& address);
  bool IsUnresponsive(const VmId& vm) const;
  // Whether a serving group's member that does not answer this node may be
  // alive: it is only silent, or other nodes see its group make progress.
  bool MayBeAlive(Time now, const GroupRecord& group, const VmId& member) const;
  bool IsSlow(const VmId& vm) const;
  // Whether the VM's health is in doubt and no probe has settled it yet.
  bool AwaitsProbeVerdict(const VmId& vm) const;
  void SuspectMembers(Time now,
                      const GroupRecord& group,
                      const GroupStatus& status);
  // Returns why a group that is reported as stalled has to end, or an empty
  // string if it need not end.
  std::string FindStallEndReason(Time now,
                                 const FleetView& view,
                                 const Domain& domain,
                                 const GroupRecord& group,
                                 GroupStatus& status) const;
  // Number of the domain's healthy free VMs that can join a group of the model
  // without a load.
  std::size_t CountStartableSpares(const FleetView& view,
                                   const Domain& domain,
                                   const ModelId& model) const;
  bool MayOrder(Time now,
                const VmId& vm,
                GroupOrderKind kind,
                const GroupId& group) const;
  void SendOrder(Time now,
                 const VmId& vm,
                 const Address& address,
                 GroupOrder order);
  void ExpireOrders(Time now);
  const ModelProfile* FindModelProfile(const FleetView& view,
                                       const ServiceId& service,
                                       const ModelId& model) const;
  // Reports that the group ends, with what is known of its members' health.
  void ReportGroupClosed(Time now,
                         const GroupRecord& group,
                         const GroupStatus& status);
  // Lists the members that are in quarantine, with the results of their last
  // probes.
  std::string DescribeQuarantine(const GroupRecord& group) const;
  void ReportGroupEvent(EventKind kind,
                        const GroupRecord& group,
                        std::vector<EventField> fields);

  FleetControllerSettings settings_;
  DomainRecordCodec codec_;
  LastProgress last_progress_;
  ProbeFilter accepts_load_probe_;
  EventSink events_;
  GroupPlanner planner_;
  LoadPacer load_pacer_;
  ModelDemand model_demand_;
  CapacityDemand capacity_demand_;
  // Services whose requests differ in rank.
  std::set<ServiceId> ranked_services_;
  Time next_demand_probe_;
  std::size_t demand_probe_turn_ = 0;
  // The groups whose loads were asked for, by their first members.
  std::map<VmId, DemandProbe> pending_demand_probes_;
  std::optional<HeldRole> role_;
  bool fenced_off_ = false;
  std::map<FabricDomainId, Domain> domains_;
  // Changed registrations that are not processed yet.
  std::set<VmId> changed_vms_;
  // Whether all registrations have to be processed, as after the role was taken
  // or the configuration changed.
  bool all_vms_changed_ = true;
  std::uint64_t seen_configuration_ = 0;
  std::map<VmId, FabricDomainId> vm_domains_;
  // Number of domains with work in progress.
  std::int64_t busy_domain_count_ = 0;
  // The models that hosts were ordered to load, by VM.
  std::map<VmId, ModelId> staging_models_;
  // VMs whose hosts refused to load weights; they load them as they join.
  std::set<VmId> refused_staging_vms_;
  std::map<OrderId, PendingOrder> pending_orders_;
  // The pending order of each VM, at most one at a time.
  std::map<VmId, OrderId> pending_order_ids_;
  std::map<VmId, LastOrder> last_orders_;
  std::set<std::pair<VmId, Generation>> stalled_groups_;
  std::set<std::pair<VmId, Generation>> unreachable_heads_;
  // Groups whose first member left; the other members are free.
  std::set<GroupId> ended_groups_;
  // The groups that VMs left by order.
  std::set<std::pair<VmId, GroupId>> left_groups_;
  std::map<VmId, Suspect> suspects_;
  // Until when members out of reach do not end their groups.
  Time loss_doubtful_until_;
  // VMs at whose address another run answered an order, with that address.
  std::map<VmId, Address> replaced_vms_;
  // When each VM first appeared.
  std::map<VmId, Time> first_seen_;
  std::map<VmId, Incarnation> incarnations_;
  std::map<FabricDomainId, Time> last_appearances_;
  OrderId last_order_id_;
  StoreCallId last_call_id_;
  std::map<StoreCallId, FabricDomainId> pending_calls_;
  // Number of groups named so far with this fencing number.
  FencingToken group_number_fence_;
  std::int64_t last_group_number_ = 0;
  std::int64_t last_change_number_ = 0;
  std::vector<FleetControllerAction> actions_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FLEET_CONTROLLER_H_
