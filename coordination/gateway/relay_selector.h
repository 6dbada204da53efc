#ifndef COORDINATION_GATEWAY_RELAY_SELECTOR_H_
#define COORDINATION_GATEWAY_RELAY_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "state/state.h"

namespace gcw {

// What a node reaches of the endpoints of a service, or of a model's groups.
struct ServiceReach {
  ServiceId service;
  // Empty for plain services.
  ModelId model;
  // Number of endpoints that this node may send requests to.
  std::int64_t usable = 0;
  // Time since one of them last sent anything.
  Duration contact_age;

  friend bool operator==(const ServiceReach&, const ServiceReach&) = default;
};

// Message between nodes: which endpoints the sender reaches.
struct ReachReport {
  // The sender accepts requests of other nodes.
  bool accepts_relays = false;
  std::int64_t open_requests = 0;
  // Services and models whose endpoints have sent anything so far.
  std::vector<ServiceReach> services;
  // Nodes that the sender itself sends requests to.
  std::vector<Address> relays;

  friend bool operator==(const ReachReport&, const ReachReport&) = default;
};

struct RelaySelectorSettings {
  // A report is used for this long.
  Duration report_ttl = Duration::Millis(1500);
  // Endpoints that sent nothing to a node for this long may be out of its
  // reach.
  Duration max_contact_age = Duration::Seconds(2);
  // The other node must have heard from an endpoint this much later than this
  // node. After a failure of all endpoints no node has.
  Duration min_contact_lead = Duration::Millis(100);
  // A node that refused or lost a request gets none for this long.
  Duration cooldown = Duration::Millis(500);
  // Interval at which other nodes are asked, and how many of them.
  Duration query_interval = Duration::Millis(250);
  std::size_t queries = 4;
  // Nodes are asked for this long after the last request that found no
  // endpoint.
  Duration demand_ttl = Duration::Seconds(2);
  // Bounds the memory and the messages, whatever the size of the fleet.
  std::size_t max_candidates = 16;
  std::size_t max_suggestions = 4;
  // Cost of a node in another data centre, in open requests.
  std::int64_t cross_zone_penalty = 24;
};

// Chooses another node for a request whose endpoints this node does not reach.
class RelaySelector {
 public:
  RelaySelector(RelaySelectorSettings settings, ZoneId zone, Random random);

  // A request found no endpoint that this node reaches.
  void OnDemand(Time now) { last_demand_ = now; }
  // `zone` is the data centre of the node.
  void OnReport(Time now,
                const Address& node,
                const ZoneId& zone,
                const ReachReport& report);
  // The node refused a request of this node, or lost it.
  void OnFailed(Time now, const Address& node);
  void OnStarted(const Address& node) { ++open_relays_[node]; }
  void OnEnded(const Address& node);
  void Tick(Time now);

  // Returns a node that hears from endpoints of the model's service although
  // this node has not since `last_contact`, or nothing.
  std::optional<Address> Choose(Time now,
                                const ServiceId& service,
                                const ModelId& model,
                                Time last_contact,
                                std::span<const Address> excluded) const;

  // Whether other nodes are to be asked now.
  bool TakeQuery(Time now, bool is_suspected);
  // Nodes to ask besides those drawn at random: those that requests run
  // through, and those that others suggested.
  std::vector<Address> TakeNodesToAsk();
  // Nodes that this node would choose, for its own report.
  std::vector<Address> Suggestions(Time now) const;
  // Whether the node has answered lately.
  bool IsAlive(Time now, const Address& node) const;
  std::size_t queries() const { return settings_.queries; }

 private:
  struct Candidate {
    ZoneId zone;
    ReachReport report;
    Time reported;
    Time cooldown_until;
  };

  bool IsUsable(Time now, const Candidate& candidate) const;
  // Whether the node reaches the endpoints and this node does not.
  bool Reaches(const Candidate& candidate,
               const ServiceId& service,
               const ModelId& model,
               Time last_contact) const;
  std::int64_t CostOf(const Address& node, const Candidate& candidate) const;

  RelaySelectorSettings settings_;
  ZoneId zone_;
  Random random_;
  std::map<Address, Candidate> candidates_;
  std::map<Address, std::int64_t> open_relays_;
  std::set<Address> suggested_;
  std::optional<Time> last_demand_;
  Time next_query_;
};

}  // namespace gcw

#endif  // COORDINATION_GATEWAY_RELAY_SELECTOR_H_
