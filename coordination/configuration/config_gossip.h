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
  // Interval between comparisons with one random peer.
  Duration compare_interval = Duration::Seconds(1);
  // A peer that has not answered after this long is asked again.
  Duration answer_timeout = Duration::Seconds(1);
  // A peer counts as unreachable after this many requests without an answer.
  int max_attempts = 5;
  // Size limit of a message; entries beyond it are omitted.
  std::size_t max_message_bytes = 65536;
  // Limit on the number of peers asked in one tick while the node becomes
  // ready.
  std::size_t max_requests_per_tick = 64;
};

using ConfigGossipAction = std::variant<PeerSend<ConfigMessage>>;

// What a node knows about a peer's copy.
struct ConfigPeerStatus {
  Revision floor;
  bool ready = false;
  Time last_heard;
};

// Compares and exchanges copies of the configuration between nodes.
class ConfigGossip {
 public:
  // Hooks into the owner of the copy.
  struct Hooks {
    // Merges an entry that a peer sent. Returns true if the entry was new.
    std::function<bool(Time now, const ConfigEntry&)> merge;
    std::function<const ConfigStore&()> store;
    std::function<ConfigDigest()> digest;
    // The copy now holds every change up to the revision.
    std::function<void(Revision)> raise_floor;
  };

  ConfigGossip(ConfigGossipSettings settings, Hooks hooks, Random random);

  // Sets the peers: all nodes except this one that are not known to be dead.
  void SetPeers(const std::vector<NodeId>& peers);
  std::vector<ConfigGossipAction> Tick(Time now);
  std::vector<ConfigGossipAction> OnPeer(Time now,
                                         const NodeId& from,
                                         const ConfigMessage& message);
  // Sends entries to `to` unrequested.
  std::vector<ConfigGossipAction> Push(const std::vector<NodeId>& to,
                                       const ConfigPush& push) const;
  // Sends a digest to each peer that is not known to hold every change up to
  // `revision`; the replies carry their floors.
  std::vector<ConfigGossipAction> RequestFloors(Revision revision) const;

  // During a survey, every peer is asked until its copy holds nothing that this
  // node lacks; the peer is then settled.
  void SetSurveying(bool surveying);
  // Returns true if every peer has settled or is unreachable.
  bool SurveyDone() const;
  // Returns true if at least one settled peer is itself ready.
  bool SettledWithReadyPeer() const;

  const std::map<NodeId, ConfigPeerStatus>& peers() const {
    return peer_status_;
  }
  const std::vector<NodeId>& peer_ids() const { return peers_; }

 private:
  // The progress of the survey of one peer.
  struct PeerSurvey {
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
  void UpdatePeerStatus(Time now,
                        const NodeId& from,
                        const ConfigDigest& digest);
  void MarkSettled(const NodeId& from);
  void SurveyPeers(Time now, std::vector<ConfigGossipAction>& actions);
  ConfigEntries BuildEntries(const std::vector<std::string>& keys) const;

  ConfigGossipSettings settings_;
  Hooks hooks_;
  Random random_;
  std::vector<NodeId> peers_;
  std::map<NodeId, ConfigPeerStatus> peer_status_;
  // Equals `Time()` before the first comparison is scheduled.
  Time next_compare_;
  bool surveying_ = false;
  std::map<NodeId, PeerSurvey> surveys_;
};

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONFIG_GOSSIP_H_
