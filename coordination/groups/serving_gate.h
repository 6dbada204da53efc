#ifndef COORDINATION_GROUPS_SERVING_GATE_H_
#define COORDINATION_GROUPS_SERVING_GATE_H_

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/groups/groups_messages.h"
#include "coordination/groups/vm_probe.h"
#include "coordination/membership/peer_presence.h"
#include "coordination/membership/presence_log.h"
#include "coordination/membership/presence_prober.h"
#include "state/state.h"

namespace gcw {

// Settings of `ServingGate`.
struct GateSettings {
  ProberSettings prober;
  // Number of nodes in its zone that probe each endpoint.
  int probers_per_endpoint = 2;
  // Number of nodes in each other zone that this node chooses to exchange
  // reports with.
  int report_peers_per_zone = 2;
  // Time between reports to each peer while nothing changes.
  Duration report_interval = Duration::Millis(1000);
  // Minimum time between reports when something changes.
  Duration min_report_interval = Duration::Millis(200);
  // An endpoint of this zone stays open at most this long after the newest
  // evidence that all its VMs were present.
  Duration max_evidence_age = Duration::Millis(5000);
  // The same for endpoints of other zones, whose evidence travels further.
  Duration max_remote_evidence_age = Duration::Millis(10000);
  // A peer that is silent for this long gets reports only if this node chose
  // it.
  Duration peer_timeout = Duration::Seconds(10);
};

// A node that exchanges evidence with this one.
struct GatePeer {
  NodeId id;
  ZoneId zone;

  friend bool operator==(const GatePeer&, const GatePeer&) = default;
};

// Why an endpoint gets no requests.
enum class CloseReason {
  // A VM is missing, restarted, or not in this generation.
  kVmMissing,
  // No recent evidence says that the endpoint is complete, for example because
  // this node is cut off.
  kStaleEvidence,
  // The group's record says that it drains.
  kDraining,
  // The VM list says that one of its VMs is leaving.
  kLeaving,
  // The members changed; the new generation opens on its own evidence.
  kNewGeneration,
  // The group or service VM no longer exists.
  kGone,
  // A connection to the endpoint was refused.
  kUnreachable,
};

std::string_view CloseReasonName(CloseReason reason);

// The endpoint may get requests from now on.
struct EndpointOpened {
  Endpoint endpoint;
};

// The endpoint gets no new requests from now on.
struct EndpointClosed {
  EndpointId endpoint;
  CloseReason reason = CloseReason::kVmMissing;
};

// The endpoint is leaving, and this node's last request to it has ended.
struct EndpointDrained {
  EndpointId endpoint;
};

using ServingGateAction = std::variant<EndpointOpened,
                                       EndpointClosed,
                                       EndpointDrained,
                                       ProbeVm,
                                       PeerSend<PresenceReport>>;

// Decides on each node which endpoints may get requests. An endpoint is open
// only while there is fresh evidence that each of its VMs is present in the
// generation that the domain's record names. It closes without evidence and
// opens again with it, whether or not the key-value service answers.
class ServingGate {
 public:
  class Builder;

  // The newest known record of a domain, from a read, a watch or a peer. A
  // record older than the known one is ignored.
  std::vector<ServingGateAction> OnDomainRecord(Time now,
                                                const DomainRecord& record,
                                                Revision revision);
  // The domain's record was deleted.
  std::vector<ServingGateAction> OnDomainDeleted(Time now,
                                                 const FabricDomainId& domain,
                                                 Revision revision);
  std::vector<ServingGateAction> OnVmList(Time now,
                                          const VmListSnapshot& snapshot);
  // All living nodes, including this one.
  std::vector<ServingGateAction> OnPeers(Time now,
                                         const std::vector<GatePeer>& peers);
  std::vector<ServingGateAction> OnProbeReply(Time now,
                                              ProbeId id,
                                              const ProbeReply& reply);
  std::vector<ServingGateAction> OnPresenceReport(Time now,
                                                  const NodeId& from,
                                                  const PresenceReport& report);

  // Count this node's own requests, so that the end of the last one to a
  // leaving endpoint is known.
  void OnRequestStarted(const EndpointId& endpoint);
  std::vector<ServingGateAction> OnRequestEnded(Time now,
                                                const EndpointId& endpoint);
  // A connection to the endpoint was refused. The endpoint stays closed on this
  // node until evidence taken after `now` says that it is complete.
  std::vector<ServingGateAction> OnUnreachable(Time now,
                                               const EndpointId& endpoint);

  std::vector<ServingGateAction> Tick(Time now);

  // True if a request may be sent to the endpoint now. Must be checked
  // immediately before each dispatch: a node that was paused resumes with
  // endpoints that opened long ago, and may dispatch before its next `Tick`.
  bool IsOpen(Time now, const EndpointId& endpoint) const;

  // Returns the endpoint id of a group.
  static EndpointId EndpointOf(const GroupId& group);

 private:
  struct TrackedEndpoint {
    Endpoint endpoint;
    ProbeTarget target;
    bool draining = false;
    bool leaving = false;
    // True if the records or the VM list contain the endpoint.
    bool exists = true;
    bool open = false;
    bool drained_reported = false;
    std::int64_t running = 0;
    std::optional<Time> unreachable_since;
    // Peers that have reported on the endpoint.
    std::set<NodeId> reporters;
    // Time of the newest evidence that the endpoint is complete.
    Time evidence_time;
    CloseReason reason = CloseReason::kStaleEvidence;
  };
  struct DomainView {
    // Nullopt if the domain's record was deleted.
    std::optional<DomainRecord> record;
    Revision revision;
  };
  // What the evidence says about one endpoint.
  struct EvidenceSummary {
    bool complete = false;
    bool denied = false;
    Time evidence_time;
  };

  ServingGate(NodeId self,
              Incarnation incarnation,
              ZoneId zone,
              GateSettings settings,
              EventSink events);

  void UpdateRecord(const FabricDomainId& domain,
                    std::optional<DomainRecord> record,
                    Revision revision);
  std::vector<ServingGateAction> RebuildEndpoints(Time now);
  void AddGroups(const DomainRecord& record,
                 std::map<EndpointId, TrackedEndpoint>& found) const;
  void AddServices(std::map<EndpointId, TrackedEndpoint>& found) const;
  void MergeEndpoint(TrackedEndpoint&& found,
                     std::vector<ServingGateAction>& actions);
  void ChooseTargets(Time now);
  std::vector<NodeId> NodesOf(const ZoneId& zone) const;
  std::vector<ServingGateAction> Review(Time now);
  void ReviewEndpoint(Time now,
                      TrackedEndpoint& tracked,
                      std::vector<ServingGateAction>& actions);
  EvidenceSummary EvaluateEvidence(Time now,
                                   const TrackedEndpoint& tracked) const;
  Duration MaxAge(const TrackedEndpoint& tracked) const;
  void AddEvidence(Time now,
                   const TrackedEndpoint& tracked,
                   const PresenceEntry& entry,
                   Time evidence,
                   EvidenceSummary& summary) const;
  void Open(TrackedEndpoint& tracked, std::vector<ServingGateAction>& actions);
  void Close(TrackedEndpoint& tracked,
             CloseReason reason,
             std::vector<ServingGateAction>& actions);
  void ReportDrained(TrackedEndpoint& tracked,
                     std::vector<ServingGateAction>& actions);
  void UpdateOwnLog(Time now);
  void UpdateZoneLog();
  void SendReports(Time now, std::vector<ServingGateAction>& actions);
  bool IsReportDue(Time now, bool changed) const;
  bool IsReportTarget(Time now, const GatePeer& peer) const;
  PresenceReport MakeReport(Time now,
                            const PresenceLog& log,
                            Duration oldest_age,
                            const NodeId& to) const;
  Duration OldestOwnAge(Time now) const;
  Duration OldestZoneAge(Time now) const;

  NodeId self_;
  Incarnation incarnation_;
  ZoneId zone_;
  GateSettings settings_;
  EventSink events_;
  PresenceProber prober_;
  // Findings of this node's own probes, sent within its zone.
  PresenceLog own_log_;
  // What this node knows of its whole zone, sent to other zones.
  PresenceLog zone_log_;
  std::map<NodeId, GatePeer> peers_;
  std::map<NodeId, PeerPresence> peer_presence_;
  std::map<FabricDomainId, DomainView> domains_;
  // Includes VMs that the newest list omits, because their addresses are still
  // needed while the list lags.
  std::map<VmId, VmEntry> vms_;
  std::set<VmId> listed_;
  Time list_as_of_;
  std::map<EndpointId, TrackedEndpoint> endpoints_;
  Time last_report_;
  std::int64_t reported_own_version_ = 0;
  std::int64_t reported_zone_version_ = 0;
};

class ServingGate::Builder {
 public:
  // `incarnation` must differ between runs of this node.
  Builder& SetSelf(NodeId self, Incarnation incarnation, ZoneId zone);
  Builder& SetSettings(GateSettings settings);
  Builder& SetEventSink(EventSink events);
  ServingGate Build() const;

 private:
  NodeId self_;
  Incarnation incarnation_;
  ZoneId zone_;
  GateSettings settings_;
  EventSink events_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_GROUPS_SERVING_GATE_H_
