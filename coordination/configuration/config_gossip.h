#ifndef COORDINATION_CONFIGURATION_CONFIG_GOSSIP_H_
#define COORDINATION_CONFIGURATION_CONFIG_GOSSIP_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/configuration/config_messages.h"
#include "state/state.h"

namespace gcw {

struct ConfigGossipSettings {
  // Between comparisons with one random peer.
  Duration compare_interval = Duration::Seconds(1);
  // A peer that has not answered within this is asked again.
  Duration answer_timeout = Duration::Seconds(1);
  // After this many questions without an answer a peer counts as unreachable.
  int attempts = 5;
  // Entries are left out of a message beyond this size.
  std::size_t message_bytes = 65536;
  // Peers asked at once while the node becomes ready.
  std::size_t questions_per_tick = 64;
};

using ConfigGossipAction = std::variant<PeerSend<ConfigMessage>>;

// What a node knows of its peers' copies.
struct ConfigPeerStatus {
  Revision floor;
  bool ready = false;
  Time heard;
};

// Compares and exchanges copies of the configuration between nodes.
class ConfigGossip {
 public:
  // Hooks into the owner of the copy.
  struct Hooks {
    // Takes an entry that a peer sent; true where it was new.
    std::function<bool(Time now, const ConfigEntry&)> merge;
    std::function<const ConfigStore&()> store;
    std::function<ConfigDigest()> digest;
    // Everything up to the revision is now held.
    std::function<void(Revision)> raise_floor;
  };

  ConfigGossip(ConfigGossipSettings settings, Hooks hooks, Random random);

  // All nodes but this one that are not known to be dead.
  void SetPeers(const std::vector<NodeId>& peers);
  std::vector<ConfigGossipAction> Tick(Time now);
  std::vector<ConfigGossipAction> OnPeer(Time now,
                                         const NodeId& from,
                                         const ConfigMessage& message);
  // Sends entries to `to` without being asked.
  std::vector<ConfigGossipAction> Push(const std::vector<NodeId>& to,
                                       const ConfigPush& push) const;
  // Asks the peers not known to hold everything up to `revision`.
  std::vector<ConfigGossipAction> AskFloors(Revision revision) const;

  // While surveying, every peer is asked until its copy holds nothing that is
  // not held here.
  void SetSurveying(bool surveying);
  // Whether every peer has settled so or is unreachable.
  bool SurveyDone() const;
  // Whether one that has settled was itself ready.
  bool SettledWithReadyPeer() const;

  const std::map<NodeId, ConfigPeerStatus>& peers() const { return status_; }
  const std::vector<NodeId>& peer_ids() const { return peers_; }

 private:
  // How far the survey of one peer is.
  struct Inquiry {
    int attempts = 0;
    Time asked;
    bool settled = false;
  };

  std::vector<ConfigGossipAction> OnDigest(Time now,
                                           const NodeId& from,
                                           const ConfigDigest& digest);
  std::vector<ConfigGossipAction> OnBuckets(Time now,
                                            const NodeId& from,
                                            const ConfigBuckets& buckets);
  std::vector<ConfigGossipAction> OnPull(const NodeId& from,
                                         const ConfigPull& pull);
  std::vector<ConfigGossipAction> OnEntries(Time now,
                                            const NodeId& from,
                                            const ConfigEntries& entries);
  void OnPush(Time now, const ConfigPush& push);
  void Learn(Time now, const NodeId& from, const ConfigDigest& digest);
  void Settle(const NodeId& from);
  void Survey(Time now, std::vector<ConfigGossipAction>& actions);
  ConfigEntries Collect(const std::vector<std::string>& keys) const;

  ConfigGossipSettings settings_;
  Hooks hooks_;
  Random random_;
  std::vector<NodeId> peers_;
  std::map<NodeId, ConfigPeerStatus> status_;
  // The epoch before the first tick.
  Time next_compare_;
  bool surveying_ = false;
  std::map<NodeId, Inquiry> inquiries_;
};

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONFIG_GOSSIP_H_
