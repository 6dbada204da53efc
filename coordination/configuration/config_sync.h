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
  // Key prefixes of the configuration.
  std::vector<std::string> prefixes = {"contract/", "setting/"};
  // Number of nodes of each zone that watch the key-value service for the
  // others.
  std::size_t watchers_per_zone = 2;
  // Each node reads the whole configuration at an interval of this duration
  // times the number of nodes, so that the total read rate does not grow with
  // the fleet.
  Duration read_interval_per_node = Duration::Seconds(2);
  Duration min_read_interval = Duration::Seconds(30);
  // If replies show revisions below known ones for this long, the node checks
  // whether the service was restored to an older state.
  Duration rewind_grace_period = Duration::Seconds(5);
  ConfigWatchSettings watch;
  ConfigGossipSettings gossip;
  ConfigProposerSettings proposer;
};

// How far the node's copy of the configuration can be relied on.
enum class ConfigState {
  // The node has not yet compared its copy with every reachable source. It
  // serves no requests.
  kLearning,
  kReady,
  // The key-value service was restored to a state older than this node's copy.
  // The node keeps its copy and serves by it. Changes are refused until an
  // operator has dealt with it.
  kStoreRolledBack,
};

std::string_view ConfigStateName(ConfigState state);

// The entry takes effect at this node.
struct ConfigApplied {
  ConfigEntry entry;
};

using ConfigSyncAction = std::variant<StoreRequest,
                                      PeerSend<ConfigMessage>,
                                      ConfigApplied,
                                      ProposalFinished>;

// The nodes that have and have not confirmed a revision, as far as this node
// knows.
struct ConfigConfirmation {
  Revision revision;
  std::vector<NodeId> confirmed;
  std::vector<NodeId> pending;
};

// Replicates the operators' configuration to this node. A few nodes of each
// zone watch the key-value service and push changes to the rest, and each node
// compares its copy with one random peer per second.
//
// A node is ready once (a) each prefix was read in full from the service, or
// every such read has failed and at least one ready peer has answered; and (b)
// every peer of the view either has nothing newer than this node or did not
// answer `ConfigGossipSettings::max_attempts` times. A ready node can still
// lack a version that only unreachable nodes or nodes outside the view hold, if
// the service is also unreachable or answers from an old state.
class ConfigSync {
 public:
  class Builder;

  ConfigSync(const ConfigSync&) = delete;
  ConfigSync& operator=(const ConfigSync&) = delete;

  // Sets the participating nodes. Called whenever the membership view changes.
  void SetView(Time now, const View& view);
  std::vector<ConfigSyncAction> Tick(Time now);
  std::vector<ConfigSyncAction> OnStoreReply(Time now,
                                             StoreCallId id,
                                             const StoreReply& reply);
  std::vector<ConfigSyncAction> OnPeer(Time now,
                                       const NodeId& from,
                                       const ConfigMessage& message);

  // Commits an operator's change. `ProposalFinished` carries the outcome.
  std::vector<ConfigSyncAction> Propose(Time now, ConfigChange change);

  // Asks the peers that may lack `revision` for their floors. The answers
  // update `Confirmation`.
  std::vector<ConfigSyncAction> RequestFloors(Revision revision) const;
  ConfigConfirmation Confirmation(Revision revision) const;

  const ConfigStore& store() const { return store_; }
  ConfigState state() const;
  bool ready() const { return ready_; }
  // This node holds every change up to this revision.
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
  // Handles a read or watch reply of the service.
  void OnBatch(Time now, ConfigWatch& watch, const ConfigBatch& batch);
  std::vector<ConfigEntry> Decode(const ConfigBatch& batch) const;
  bool ProvesRewind(const std::string& prefix,
                    const ConfigBatch& batch,
                    const std::vector<ConfigEntry>& entries) const;
  bool IsBehind(Time now, const ConfigBatch& batch);
  void CheckForRewind(Time now);
  void OnRewindCheck(const StoreReply& reply);
  void MarkRewound(Revision shown);
  void OnConsistentRead(const ConfigWatch& watch, const ConfigBatch& batch);
  void RaiseFloor(Revision revision);
  void RequestLaggingRevisions();
  void ScheduleReads(Time now);
  void UpdateReadiness(Time now);
  ConfigDigest OwnDigest() const;
  // Appends the actions that were queued while an event was handled.
  std::vector<ConfigSyncAction> Flush(std::vector<ConfigSyncAction> actions);
  void PushNewEntries(std::vector<ConfigSyncAction>& actions);
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
  // Maps this node's call ids to those of the proposer, which numbers its own
  // calls.
  std::map<StoreCallId, StoreCallId> proposer_calls_;
  StoreCallId last_id_;

  bool ready_ = false;
  bool rewound_ = false;
  Revision floor_;
  // The service's revision up to which each prefix was read.
  std::map<std::string, Revision> read_revisions_;
  // Prefixes that were read in full and found consistent since the service was
  // last found to be in an older state.
  std::set<std::string> fully_read_prefixes_;
  // The highest revision that the service or a peer has reported.
  Revision highest_seen_;
  bool watching_ = false;
  std::size_t node_count_ = 1;
  std::vector<NodeId> zone_peers_;
  // The watchers of all zones, except this node.
  std::vector<NodeId> watchers_;
  Time next_read_;
  // Entries that took effect since the last flush.
  std::vector<ConfigEntry> applied_;
  // Entries of changes that this node committed since the last flush.
  std::vector<ConfigEntry> accepted_;
  Revision pushed_floor_;
  // Time since which replies have shown revisions below known ones.
  std::optional<Time> behind_since_;
  std::optional<StoreCallId> rewind_check_;
  Time rewind_check_sent_;
  // The version that the check looks for.
  ConfigKeyRevision rewind_check_version_;
  // Calls to be sent at the next flush.
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
