#ifndef COORDINATION_ROUTING_LOAD_EXCHANGE_H_
#define COORDINATION_ROUTING_LOAD_EXCHANGE_H_

#include <map>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/membership/member.h"
#include "state/state.h"

namespace gcw {

// A load report that the sender read. It carries its age instead of a time
// because the clocks of nodes may differ.
struct SharedLoad {
  LoadReport report;
  Duration age;
};

struct LoadDigest {
  std::vector<SharedLoad> loads;
};

struct LoadExchangeSettings {
  // Interval between reads of an endpoint by its reader node.
  Duration read_interval = Duration::Millis(500);
  // This node reads an endpoint itself if it has had no report for this long.
  Duration fallback_read_delay = Duration::Seconds(3);
  // Limit on the rate of reads that this node makes itself because no report
  // arrived from another node.
  double max_fallback_reads_per_second = 10;
  // If the fleet has at most this many nodes, reports are shared with all of
  // them; otherwise only within the zone.
  std::size_t max_nodes_for_global_sharing = 32;
};

// The caller reads the load of this endpoint now.
struct LoadReadDue {
  Endpoint endpoint;
};

using LoadExchangeAction = std::variant<LoadReadDue, PeerSend<LoadDigest>>;

// Keeps load reports fresh without every node reading every endpoint: one
// reader node of the endpoint's zone reads its load and shares it with the
// others. With 8 nodes and 68 endpoints, reading all of them twice a second
// would take 54 KB/s per node.
class LoadExchange {
 public:
  LoadExchange(LoadExchangeSettings settings, NodeId self, ZoneId zone);

  void OnView(const View& view);
  void OnEndpointUp(Time now, const Endpoint& endpoint);
  void OnEndpointDown(const EndpointId& endpoint);
  // This node read the report itself.
  void OnLocalReport(Time now, const LoadReport& report);
  // Returns the digest's reports of endpoints that this node uses, with their
  // times converted to this node's clock.
  std::vector<LoadReport> OnDigest(Time now, const LoadDigest& digest);
  std::vector<LoadExchangeAction> Tick(Time now);

 private:
  struct WatchedEndpoint {
    Endpoint endpoint;
    // This node reads the endpoint for the others.
    bool is_reader = false;
    Time next_read;
    // Time at which the newest report was taken.
    Time taken_at;
    // `report` was read since the last digest was sent.
    bool has_unshared_report = false;
    LoadReport report;
  };

  void ChooseReader(WatchedEndpoint& watched) const;
  bool TryTakeRead(Time now, WatchedEndpoint& watched);
  void ShareReports(Time now, std::vector<LoadExchangeAction>& actions);

  LoadExchangeSettings settings_;
  NodeId self_;
  ZoneId zone_;
  std::map<ZoneId, std::vector<NodeId>> nodes_by_zone_;
  std::vector<NodeId> nodes_;
  std::vector<NodeId> receivers_;
  std::map<EndpointId, WatchedEndpoint> watched_;
  // Token bucket of the reads that this node makes because of missing reports.
  double fallback_read_tokens_ = 0;
  Time last_refill_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_LOAD_EXCHANGE_H_
