#ifndef COORDINATION_GATEWAY_FLEET_KEEPER_H_
#define COORDINATION_GATEWAY_FLEET_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
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
#include "coordination/groups/domain_writer.h"
#include "coordination/groups/order_sender.h"
#include "coordination/roles/role_leases.h"
#include "state/state.h"

namespace gcw {

struct FleetKeeperSettings {
  WriterSettings writer = {Duration::Millis(1500), Duration::Millis(300)};
  GroupPlannerSettings planner;
  LoadPacerSettings loads;
  ModelDemandSettings demand;
  // Between two groups that are asked for their load. One group at a time: the
  // estimate gets no dearer with the fleet.
  Duration demand_interval = Duration::Millis(100);
  // Domains that are searched for such a group in one turn.
  std::size_t demand_tries = 8;
  // No order leaves with less than this left of the role's lease: it must have
  // arrived, or its connection been given up, before another node may hold it.
  Duration order_margin = Duration::Millis(500);
  // An order without an answer counts as unanswered.
  Duration order_timeout = Duration::Millis(500);
  // Between two sends of one order whose effect is not seen.
  Duration resend_interval = Duration::Millis(1000);
  // A VM that does not answer a probe for this long is silent: it is put into
  // no group. Engines answer probes at once, whatever they run.
  Duration probe_timeout = Duration::Millis(200);
  // Between two probes of a VM that is silent or slow.
  Duration probe_interval = Duration::Millis(1000);
  // An engine whose own figure for its pace is this or more is slow: its group
  // runs at its pace, so that it may seem to stand still.
  double slow_pace = 1.8;
  // A group whose members all answer is given this long to go on.
  Duration standstill_patience = Duration::Millis(1500);
  // A group whose streams went on within this time is whole, whatever the
  // registrations say: one lost member stops them all.
  Duration progress_life = Duration::Millis(1200);
  // Endpoints register within some seconds after a start of the whole fleet; a
  // domain is settled once none appeared there for this long.
  Duration settle_time = Duration::Millis(1500);
  // A group that is not whole by then is given up: the slowest load, behind a
  // full queue of others.
  Duration form_limit = Duration::Seconds(60);
  // How long a group that is closed by plan may run what it has.
  Duration drain_limit = Duration::Millis(6000);
  // A group that is given up for another model's may run what it has for so
  // long: the VMs of both serve nobody new meanwhile.
  Duration regroup_drain_limit = Duration::Millis(1500);
  // Between two such changes of one domain.
  Duration regroup_interval = Duration::Millis(6000);
  // Review interval of a domain in which something is under way; news of a
  // domain has it reviewed at once.
  Duration busy_review = Duration::Millis(40);
  // Such reviews of all domains together: with more busy domains the interval
  // grows, so that the keeper's work does not outgrow its processor.
  double busy_reviews_per_second = 200;
  // Review interval of a domain whose groups all serve.
  Duration quiet_review = Duration::Millis(500);
};

struct SendGroupOrder {
  OrderId id;
  VmId vm;
  Address address;
  GroupOrder order;
  Duration timeout;
};

// Ask whether the VM's engine answers at all.
struct ProbeEngine {
  VmId vm;
  Address address;
  Duration timeout;
};

using FleetKeeperAction =
    std::variant<StoreRequest, SendGroupOrder, ProbeEngine>;

// Keeps the replica groups of all fabric domains while this node holds the
// keeper's role. One record per domain in the key-value service says which VMs
// form which group; engines are told only what is known to be committed, and
// what they report is compared with the record until both agree.
//
// A VM is put into another group only after its engine, or that of its group's
// first member, said that it left: so no request runs in a group that lost a
// member to another one, also where the first member is cut off and goes on.
class FleetKeeper {
 public:
  // When this node last saw a group make progress, by its first member; the
  // start of time where it never did.
  using LastProgress = std::function<Time(const VmId& head, Generation)>;

  FleetKeeper(FleetKeeperSettings settings,
              DomainRecordCodec codec,
              LastProgress last_progress,
              EventSink events);

  // Absent where the role is not held.
  void SetRole(Time now, const std::optional<HeldRole>& role);
  // Registrations that came, changed or went since the last call.
  void OnVmsChanged(const std::set<VmId>& vms);
  // Requests have begun to come: loads count against the weight store's rate.
  void OnTraffic() { loads_.OnTraffic(); }
  // A group stands still by the word of the nodes that send to it.
  void OnStandstill(const VmId& head, Generation generation);
  // First members and generations of groups of which that is still to be
  // judged.
  std::vector<std::pair<VmId, Generation>> StandingStill() const;

  std::vector<FleetKeeperAction> Tick(Time now, const FleetView& view);
  std::vector<FleetKeeperAction> OnStoreReply(Time now,
                                              StoreCallId id,
                                              const StoreReply& reply);
  void OnOrderReply(Time now, OrderId id, GroupOrderVerdict verdict);
  void OnProbeReply(Time now, const VmId& vm, const ProbeReport& report);

  // Whether an engine refused an order because another keeper has the role.
  bool is_fenced_off() const { return fenced_off_; }

 private:
  // What this keeper has seen of a group since it has the role.
  struct GroupRun {
    Time since;
    std::set<VmId> joined;
    // Members that this keeper told to join.
    std::set<VmId> join_sent;
    std::map<VmId, Address> addresses;
    bool open_seen = false;
    bool open_sent = false;
    // Why it ends; empty while it does not.
    std::string ending;
    Time ending_since;
    bool ends_by_plan = false;
    // Its VMs are wanted for a group of another model.
    bool is_regrouped = false;
    // Since when nodes say that it stands still.
    std::optional<Time> stands_still_since;
    // Members whose engines said that they left.
    std::set<VmId> left;
  };
  struct Domain {
    ServiceId service;
    DomainWriter writer;
    std::map<GroupId, GroupRun> runs;
    // State at the last review, and the loads that it planned.
    PlannedDomain planned;
    std::vector<PlannedStaging> stagings;
    // The model that given-up groups' VMs are to serve; empty while none is
    // awaited.
    ModelId regroups_for;
    Time next_regroup;
    Time next_review;
    // Reviewed by the present call.
    bool is_reviewed = false;
    // Something is under way, or waits for a time to pass.
    bool is_busy = false;
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
  // What probes said of a VM that is in doubt.
  struct Doubt {
    bool silent = false;
    bool slow = false;
    bool probing = false;
    Time next_probe;
    Address address;
  };

  // Takes up what the registrations say since the last call.
  void TakeChanges(Time now, const FleetView& view);
  void TakeChange(Time now, const FleetView& view, const VmRegistration& vm);
  // Has the domain that the VM is in looked at with the next call.
  void Touch(const VmId& vm);
  // Marks the domains that this call looks at: those with news and those that
  // are due. The others are as they were.
  void ChooseReviewed(Time now);
  // Whether nothing in the domain is under way or waits for a time to pass.
  bool IsQuiet(const FleetView& view, const Domain& domain) const;
  // Forgets what was told to and heard from a VM before it started again.
  void ForgetRun(const VmId& vm);
  void ReviewGroups(Time now, const FleetView& view, Domain& domain);
  std::string FindDamage(Time now,
                         const FleetView& view,
                         const Domain& domain,
                         const GroupRecord& group,
                         GroupRun& run) const;
  // Whether the group's first member says that it is open.
  static bool IsOpen(const FleetView& view, const GroupRecord& group);
  // Whether the member is no part of the group any more.
  bool HasLeft(const FleetView& view,
               const GroupRecord& group,
               const GroupRun& run,
               const VmId& member) const;
  // Whether the group waits for loads, and the domain's free VMs could take the
  // place of every member that loads. The planner ranks VMs by the same weights
  // at hand, so that it does not form the group of the same members again.
  bool OpensSoonerAnew(const FleetView& view,
                       const Domain& domain,
                       const GroupRecord& group) const;
  bool IsOver(const FleetView& view,
              const GroupRecord& group,
              const GroupRun& run) const;
  void RemoveOver(Time now,
                  const FleetView& view,
                  Domain& domain,
                  DomainRecord& next);
  // What is known of the domain besides its VMs: its groups.
  PlannedDomain DescribeGroups(Time now,
                               const FleetView& view,
                               const Domain& domain,
                               const DomainRecord& next) const;
  PlannedDomain Describe(Time now,
                         const FleetView& view,
                         const Domain& domain,
                         const DomainRecord& next);
  // Members that cannot take part in the group that is formed after this one.
  std::size_t CountUnusable(const FleetView& view,
                            const GroupRecord& group) const;
  // Whether the VM may take part in a new group although its engine names one
  // that no record has; has it leave where not.
  bool IsFreeOfOldGroup(Time now, const VmRegistration& vm);
  void PlanService(Time now, const FleetView& view, const ServiceRule& service);
  void GiveUpGroups(Time now, const Regrouping& change);
  // The VM as the planner knows it.
  FreeVm DescribeVm(const VmRegistration& vm) const;
  StandingGroup DescribeStanding(Time now,
                                 const FleetView& view,
                                 const GroupRecord& group,
                                 const GroupRun& run) const;
  // Finds out what became of the domain's groups and which VMs are free; the
  // record without the groups that are over.
  DomainRecord Review(Time now, const FleetView& view, Domain& domain);
  void AddGroup(PlannedGroup formed, DomainRecord& next);
  void Commit(Time now, Domain& domain, DomainRecord next);
  void OrderGroup(Time now,
                  const FleetView& view,
                  Domain& domain,
                  const GroupRecord& group);
  void OrderJoins(Time now,
                  const FleetView& view,
                  const Domain& domain,
                  const GroupRecord& group,
                  GroupRun& run);
  void OrderLeave(Time now,
                  const FleetView& view,
                  const GroupRecord& group,
                  const GroupRun& run,
                  const VmId& member);
  void OrderEnd(Time now,
                const FleetView& view,
                const GroupRecord& group,
                GroupRun& run);
  // Whether a VM without the model's weights may be told to join a group of it
  // now; has its host load them first.
  bool MayJoinUnloaded(Time now,
                       const VmRegistration& vm,
                       const ModelProfile& model);
  void OrderStagings(Time now, const FleetView& view);
  void OrderPlannedStaging(Time now,
                           const FleetView& view,
                           const PlannedStaging& staging);
  void OrderStaging(Time now, const VmRegistration& vm, const ModelId& model);
  void ProbeDoubted(Time now, const FleetView& view);
  // Asks one serving group for its load, by turns over models and domains.
  void ProbeDemand(Time now, const FleetView& view);
  // The first member of a group of the model that serves in the domain; null
  // where there is none.
  const VmRegistration* DrawServing(const FleetView& view,
                                    const Domain& domain,
                                    const ModelId& model);
  // Has the VM probed at once.
  void Doubtful(Time now, const VmId& vm, const Address& address);
  bool IsSilent(const VmId& vm) const;
  bool IsSlow(const VmId& vm) const;
  // Whether it is not known yet what became of a VM that is in doubt.
  bool IsUnclear(const VmId& vm) const;
  void DoubtMembers(Time now, const GroupRecord& group, const GroupRun& run);
  // Why a group that is said to stand still has to end; empty where it need
  // not.
  std::string JudgeStandstill(Time now,
                              const FleetView& view,
                              const Domain& domain,
                              const GroupRecord& group,
                              GroupRun& run) const;
  // Free VMs of the domain that are sound and can join without a load.
  std::size_t CountFreeWith(const FleetView& view,
                            const Domain& domain,
                            const ModelId& model) const;
  bool MayOrder(Time now,
                const VmId& vm,
                GroupOrderKind kind,
                const GroupId& group) const;
  void Send(Time now, const VmId& vm, const Address& address, GroupOrder order);
  void ExpireOrders(Time now);
  const ModelProfile* ProfileOf(const FleetView& view,
                                const ServiceId& service,
                                const ModelId& model) const;
  void Report(EventKind kind,
              const GroupRecord& group,
              std::vector<EventField> fields);

  FleetKeeperSettings settings_;
  DomainRecordCodec codec_;
  LastProgress last_progress_;
  EventSink events_;
  GroupPlanner planner_;
  LoadPacer loads_;
  ModelDemand demand_;
  Time next_demand_probe_;
  std::size_t demand_turn_ = 0;
  // The model of each group that was asked for its load.
  std::map<VmId, std::pair<ModelId, double>> demand_asked_;
  std::optional<HeldRole> role_;
  bool fenced_off_ = false;
  std::map<FabricDomainId, Domain> domains_;
  // Changed registrations that were not taken up yet.
  std::set<VmId> changed_;
  // All registrations have to be taken up: of a new term of the role, or under
  // a new configuration.
  bool takes_all_ = true;
  std::uint64_t seen_configuration_ = 0;
  std::map<VmId, FabricDomainId> domain_of_;
  // Domains in which something is under way.
  std::int64_t busy_domains_ = 0;
  // The models that VMs were told to load onto their hosts.
  std::map<VmId, ModelId> staging_;
  // VMs that refused to: they load as they join.
  std::set<VmId> refused_staging_;
  std::map<OrderId, PendingOrder> pending_;
  // The order under way of each VM: one at a time.
  std::map<VmId, OrderId> pending_of_;
  std::map<VmId, LastOrder> last_orders_;
  std::set<std::pair<VmId, Generation>> standstills_;
  // Groups whose first member left: the others are free.
  std::set<GroupId> ended_;
  // The groups that VMs left by order.
  std::set<std::pair<VmId, GroupId>> left_;
  std::map<VmId, Doubt> doubts_;
  // VMs at whose addresses another run answered an order.
  std::map<VmId, Address> replaced_;
  // When each VM was first seen, and the last time in each domain.
  std::map<VmId, Time> first_seen_;
  std::map<VmId, Incarnation> incarnations_;
  std::map<FabricDomainId, Time> last_appeared_;
  OrderId last_order_;
  StoreCallId last_call_;
  std::map<StoreCallId, FabricDomainId> calls_;
  // Groups named so far with this fencing number.
  FencingToken numbered_fence_;
  std::int64_t last_group_ = 0;
  std::int64_t last_change_ = 0;
  std::vector<FleetKeeperAction> actions_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_FLEET_KEEPER_H_
