#ifndef COORDINATION_CONFIGURATION_CONFIG_SYNC_H_
#define COORDINATION_CONFIGURATION_CONFIG_SYNC_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/actions.h"
#include "coordination/configuration/config_gossip.h"
#include "coordination/configuration/config_messages.h"
#include "coordination/configuration/config_proposer.h"
#include "coordination/configuration/config_watch.h"
#include "coordination/membership/member.h"
#include "state/state.h"

namespace gcw {

struct ConfigSyncSettings {
  // Prefixes of the configuration's keys.
  std::vector<std::string> prefixes = {"contract/", "setting/"};
  // Nodes of each zone that watch the key-value service for the others.
  std::size_t watchers_per_zone = 2;
  // Every node reads all of the configuration once per this long for each node
  // of the fleet, so that the fleet's reads do not grow with its size.
  Duration read_interval_per_node = Duration::Seconds(2);
  Duration min_read_interval = Duration::Seconds(30);
  // Replies below the known revisions for this long are looked into.
  Duration rewind_grace = Duration::Seconds(5);
  ConfigWatchSettings watch;
  ConfigGossipSettings gossip;
  ConfigProposerSettings proposer;
};

// What the node's copy of the configuration can be relied on for.
enum class ConfigState {
  // It has not yet heard every source it can reach; serves nobody.
  kLearning,
  kReady,
  // The service was set back behind what this node holds. The node keeps its
  // copy and serves by it; changes wait for an operator.
  kStoreRewound,
};

std::string_view ConfigStateName(ConfigState state);

// The entry is in force at this node from now on.
struct ConfigApplied {
  ConfigEntry entry;
};

using ConfigSyncAction = std::variant<StoreRequest,
                                      PeerSend<ConfigMessage>,
                                      ConfigApplied,
                                      ProposalFinished>;

// Where a revision is in force, as far as this node knows.
struct ConfigConfirmation {
  Revision revision;
  std::vector<NodeId> confirmed;
  std::vector<NodeId> pending;
};

// The node's part in spreading the operators' configuration: a few nodes of
// each zone watch the key-value service and push to the rest; each node
// compares its copy with one random peer per second.
//
// A node is ready once (a) each prefix was read in full from the service, or
// every such read has failed and at least one ready peer has answered; and (b)
// every peer of the view either has nothing newer than this node or did not
// answer `ConfigGossipSettings::attempts` times. What this can miss: a version
// that is known only to nodes that cannot be reached or are not in the view,
// while the service cannot be reached either or answers from an old state.
class ConfigSync {
 public:
  class Builder;

  ConfigSync(const ConfigSync&) = delete;
  ConfigSync& operator=(const ConfigSync&) = delete;

  // Who takes part. Call it whenever the membership's view changes.
  void SetView(Time now, const View& view);
  std::vector<ConfigSyncAction> Tick(Time now);
  std::vector<ConfigSyncAction> OnStoreReply(Time now,
                                             StoreCallId id,
                                             const StoreReply& reply);
  std::vector<ConfigSyncAction> OnPeer(Time now,
                                       const NodeId& from,
                                       const ConfigMessage& message);

  // Commits an operator's change; `ProposalFinished` carries the answer.
  std::vector<ConfigSyncAction> Propose(Time now, ConfigChange change);

  // Asks the peers that may lack `revision`; their answers update
  // `Confirmation`.
  std::vector<ConfigSyncAction> AskFloors(Revision revision) const;
  ConfigConfirmation Confirmation(Revision revision) const;

  const ConfigStore& store() const { return store_; }
  ConfigState state() const;
  bool ready() const { return learnt_; }
  // Every change up to this revision is held.
  Revision floor() const { return floor_; }
  // The highest revision that this node knows to have existed.
  Revision highest_revision() const;
  bool watching() const { return watching_; }

 private:
  ConfigSync(ConfigSyncSettings settings,
             NodeId self,
             ZoneId zone,
             ConfigRecordCodec codec,
             Random random,
             EventSink sink);

  bool Merge(Time now, const ConfigEntry& entry);
  // What the service said.
  void OnBatch(Time now, ConfigWatch& watch, const ConfigBatch& batch);
  std::vector<ConfigEntry> Decode(const ConfigBatch& batch) const;
  bool ProvesRewind(const std::string& prefix,
                    const ConfigBatch& batch,
                    const std::vector<ConfigEntry>& entries) const;
  bool IsBehind(Time now, const ConfigBatch& batch);
  void CheckForRewind(Time now);
  void OnRewindCheck(const StoreReply& reply);
  void MarkRewound(Revision shown);
  void OnGoodRead(const ConfigWatch& watch, const ConfigBatch& batch);
  void RaiseFloor(Revision revision);
  void PokeLagging();
  void ScheduleReads(Time now);
  void UpdateReadiness(Time now);
  ConfigDigest OwnDigest() const;
  // Collects what came up while an event was handled.
  std::vector<ConfigSyncAction> Flush(std::vector<ConfigSyncAction> actions);
  void PushFresh(std::vector<ConfigSyncAction>& actions);
  void PushFloor(std::vector<ConfigSyncAction>& actions);
  void OnProposerActions(Time now,
                         std::vector<ConfigProposerAction> from,
                         std::vector<ConfigSyncAction>& to);

  ConfigSyncSettings settings_;
  NodeId self_;
  ZoneId zone_;
  ConfigRecordCodec codec_;
  Random random_;
  EventSink sink_;

  ConfigStore store_;
  ConfigGossip gossip_;
  ConfigProposer proposer_;
  std::vector<ConfigWatch> watches_;
  // The proposer counts its own calls; these are the ones it sees.
  std::map<StoreCallId, StoreCallId> proposer_calls_;
  StoreCallId last_id_;

  bool learnt_ = false;
  bool rewound_ = false;
  Revision floor_;
  // For each prefix, the service's revision up to which it was read.
  std::map<std::string, Revision> read_to_;
  // Prefixes that were read in full and well since the service was seen to be
  // set back.
  std::set<std::string> read_well_;
  // The highest revision that the service or a peer spoke of.
  Revision highest_seen_;
  bool watching_ = false;
  std::size_t node_count_ = 1;
  std::vector<NodeId> zone_peers_;
  // Watchers of all zones but this node.
  std::vector<NodeId> watchers_;
  Time next_read_;
  // In force since the last flush.
  std::vector<ConfigEntry> applied_;
  // Accepted by this node since the last flush.
  std::vector<ConfigEntry> accepted_;
  Revision pushed_floor_;
  // Since when replies have been behind known revisions.
  std::optional<Time> behind_since_;
  std::optional<StoreCallId> rewind_check_;
  Time rewind_check_sent_;
  // The version that the check asks for.
  ConfigKeyRevision checked_;
  // Calls that wait for the next flush.
  std::vector<StoreRequest> requests_;
};

class ConfigSync::Builder {
 public:
  Builder& SetSettings(ConfigSyncSettings settings);
  Builder& SetSelf(NodeId self, ZoneId zone);
  Builder& SetCodec(ConfigRecordCodec codec);
  Builder& SetRandom(Random random);
  Builder& SetEventSink(EventSink sink);
  std::unique_ptr<ConfigSync> Build() const;

 private:
  ConfigSyncSettings settings_;
  NodeId self_;
  ZoneId zone_;
  ConfigRecordCodec codec_;
  Random random_ = SeededRandom(0);
  EventSink sink_ = DiscardEvents();
};

}  // namespace gcw

#endif  // COORDINATION_CONFIGURATION_CONFIG_SYNC_H_
