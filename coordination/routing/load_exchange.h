#ifndef COORDINATION_ROUTING_LOAD_EXCHANGE_H_
#define COORDINATION_ROUTING_LOAD_EXCHANGE_H_

#include <map>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/membership/member.h"
#include "state/state.h"

namespace gcw {

// Load reports that the sender read, with their age instead of a time, since
// the clocks of nodes may differ.
struct SharedLoad {
  LoadReport report;
  Duration age;
};

struct LoadDigest {
  std::vector<SharedLoad> loads;
};

struct LoadExchangeSettings {
  // Between reads of an endpoint by the node that reads it for the others.
  Duration read_interval = Duration::Millis(500);
  // An endpoint without a report for this long is read by this node itself.
  Duration own_read_after = Duration::Seconds(3);
  // Most reads a second that this node makes because nobody else told it.
  double own_reads_per_second = 10;
  // Fleets up to this size share reports with every node, larger ones within
  // the zone only.
  std::size_t share_with_all_up_to = 32;
};

// Read the load of this endpoint now.
struct LoadReadDue {
  Endpoint endpoint;
};

using LoadExchangeAction = std::variant<LoadReadDue, PeerSend<LoadDigest>>;

// Keeps load reports fresh without every node reading every endpoint: one node
// of the endpoint's zone reads it and tells the others. With 8 nodes and 68
// endpoints, reading all of them twice a second would take 54 KB/s a node.
class LoadExchange {
 public:
  LoadExchange(LoadExchangeSettings settings, NodeId self, ZoneId zone);

  void OnView(const View& view);
  void OnEndpointUp(Time now, const Endpoint& endpoint);
  void OnEndpointDown(const EndpointId& endpoint);
  // A report that this node read itself.
  void OnRead(Time now, const LoadReport& report);
  // Reports for this node, with their times on its own clock.
  std::vector<LoadReport> OnDigest(Time now, const LoadDigest& digest);
  std::vector<LoadExchangeAction> Tick(Time now);

 private:
  struct Watched {
    Endpoint endpoint;
    // This node reads it for the others.
    bool is_reader = false;
    Time next_read;
    // When the newest report was taken.
    Time taken_at;
    // Read since the last digest.
    bool news = false;
    LoadReport report;
  };

  void ChooseReader(Watched& watched) const;
  bool IsDue(Time now, Watched& watched);
  void Share(Time now, std::vector<LoadExchangeAction>& actions);

  LoadExchangeSettings settings_;
  NodeId self_;
  ZoneId zone_;
  std::map<ZoneId, std::vector<NodeId>> nodes_by_zone_;
  std::vector<NodeId> nodes_;
  std::vector<NodeId> receivers_;
  std::map<EndpointId, Watched> watched_;
  // Reads that may still be made on this node's own account.
  double own_reads_ = 0;
  Time refilled_;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_LOAD_EXCHANGE_H_
