#include "coordination/configuration/config_sync.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.h"

namespace gcw {
namespace {

// A node that receives more entries than this at once does not push them to its
// zone, whose nodes get them by comparing copies. Pushing a whole configuration
// to all of them would be a burst.
constexpr std::size_t kMaxPushedEntries = 32;

std::string WatchKey(const ZoneId& zone) {
  return "config-watcher/" + zone.value();
}

std::vector<NodeId> Excluding(std::vector<NodeId> nodes, const NodeId& node) {
  std::erase(nodes, node);
  return nodes;
}

}  // namespace

std::string_view ConfigStateName(ConfigState state) {
  switch (state) {
    case ConfigState::kLearning:
      return "learning";
    case ConfigState::kReady:
      return "ready";
    case ConfigState::kStoreRolledBack:
      return "store_rewound";
  }
  return "unknown";
}

ConfigSync::ConfigSync(ConfigSyncSettings settings,
                       NodeId self,
                       ZoneId zone,
                       ConfigRecordCodec codec,
                       Random random,
                       EventSink sink)
    : settings_(std::move(settings)),
      self_(std::move(self)),
      zone_(std::move(zone)),
      codec_(std::move(codec)),
      random_(std::move(random)),
      sink_(std::move(sink)),
      gossip_(settings_.gossip,
              {.merge = [this](Time now,
                               const ConfigEntry& e) { return Merge(now, e); },
               .store = [this]() -> const ConfigStore& { return store_; },
               .digest = [this] { return OwnDigest(); },
               .raise_floor = [this](Revision r) { RaiseFloor(r); }},
              random_),
      proposer_(
          ConfigProposer::Builder()
              .SetSettings(settings_.proposer)
              .SetCodec(codec_)
              .SetHooks(
                  {.find = [this](const std::string& key)
                       -> const ConfigEntry* { return store_.Find(key); },
                   .highest_revision = [this] { return highest_revision(); },
                   .is_rewound = [this] { return rewound_; }})
              .SetRandom(random_)
              .SetEventSink(sink_)
              .Build()) {
  for (const std::string& prefix : settings_.prefixes) {
    watches_.emplace_back(settings_.watch, prefix, random_);
  }
  gossip_.SetSurveying(true);
}

ConfigState ConfigSync::state() const {
  if (!ready_) {
    return ConfigState::kLearning;
  }
  return rewound_ ? ConfigState::kStoreRolledBack : ConfigState::kReady;
}

Revision ConfigSync::highest_revision() const {
  return std::max({highest_seen_, store_.newest(), floor_});
}

void ConfigSync::SetView(Time now, const View& view) {
  node_count_ = std::max<std::size_t>(1, view.Owners().size());
  gossip_.SetPeers(Excluding(view.Reachable(), self_));
  zone_peers_ = Excluding(view.ReachableIn(zone_), self_);
  watchers_.clear();
  const bool watched_before = watching_;
  watching_ = false;
  for (const ZoneId& zone : view.Zones()) {
    for (const NodeId& node :
         RendezvousOrder(WatchKey(zone), view.OwnersIn(zone),
                         settings_.watchers_per_zone)) {
      if (node == self_) {
        watching_ = true;
      } else {
        watchers_.push_back(node);
      }
    }
  }
  for (ConfigWatch& watch : watches_) {
    watch.SetWatching(watching_);
    if (watching_ && !watched_before) {
      // The watch does not report changes between this node's last read and its
      // start.
      watch.RequestRead(now);
    }
  }
}

std::vector<ConfigSyncAction> ConfigSync::Tick(Time now) {
  ScheduleReads(now);
  std::vector<ConfigSyncAction> actions;
  for (ConfigWatch& watch : watches_) {
    if (auto request = watch.Tick(now, last_id_, highest_revision())) {
      actions.emplace_back(*std::move(request));
    }
  }
  for (ConfigGossipAction& action : gossip_.Tick(now)) {
    actions.emplace_back(std::get<PeerSend<ConfigMessage>>(std::move(action)));
  }
  OnProposerActions(now, proposer_.Tick(now), actions);
  UpdateReadiness(now);
  return Flush(std::move(actions));
}

void ConfigSync::ScheduleReads(Time now) {
  if (now < next_read_) {
    return;
  }
  const bool first = next_read_ == Time();
  const Duration interval =
      rewound_ ? settings_.min_read_interval
               : std::max(settings_.min_read_interval,
                          settings_.read_interval_per_node *
                              static_cast<std::int64_t>(node_count_));
  // A random phase spreads the fleet's reads over time.
  next_read_ = now + interval / 2 +
               Duration::Millis(static_cast<std::int64_t>(DrawBelow(
                   random_, static_cast<std::uint64_t>(interval.millis()))));
  if (first) {
    return;
  }
  for (ConfigWatch& watch : watches_) {
    watch.RequestRoutineRead(now);
  }
}

std::vector<ConfigSyncAction>
ConfigSync::OnStoreReply(Time now, StoreCallId id, const StoreReply& reply) {
  std::vector<ConfigSyncAction> actions;
  const auto call = proposer_calls_.find(id);
  if (call != proposer_calls_.end()) {
    const StoreCallId proposer_call_id = call->second;
    proposer_calls_.erase(call);
    OnProposerActions(now, proposer_.OnStoreReply(now, proposer_call_id, reply),
                      actions);
  }
  if (rewind_check_ == id) {
    OnRewindCheck(reply);
  }
  for (ConfigWatch& watch : watches_) {
    if (!watch.IsWaitingFor(id)) {
      continue;
    }
    if (const auto batch = watch.OnStoreReply(now, reply)) {
      OnBatch(now, watch, *batch);
    }
    if (auto request = watch.Tick(now, last_id_, highest_revision())) {
      actions.emplace_back(*std::move(request));
    }
    break;
  }
  UpdateReadiness(now);
  return Flush(std::move(actions));
}

std::vector<ConfigSyncAction> ConfigSync::OnPeer(Time now,
                                                 const NodeId& from,
                                                 const ConfigMessage& message) {
  std::vector<ConfigSyncAction> actions;
  for (ConfigGossipAction& action : gossip_.OnPeer(now, from, message)) {
    actions.emplace_back(std::get<PeerSend<ConfigMessage>>(std::move(action)));
  }
  const auto peer = gossip_.peers().find(from);
  if (peer != gossip_.peers().end()) {
    highest_seen_ = std::max(highest_seen_, peer->second.floor);
  }
  UpdateReadiness(now);
  return Flush(std::move(actions));
}

std::vector<ConfigSyncAction> ConfigSync::Propose(Time now,
                                                  ConfigChange change) {
  std::vector<ConfigSyncAction> actions;
  OnProposerActions(now, proposer_.Propose(now, std::move(change)), actions);
  return Flush(std::move(actions));
}

void ConfigSync::OnProposerActions(Time now,
                                   std::vector<ConfigProposerAction> from,
                                   std::vector<ConfigSyncAction>& to) {
  for (ConfigProposerAction& action : from) {
    if (auto* request = std::get_if<StoreRequest>(&action)) {
      proposer_calls_[++last_id_] = request->id;
      to.emplace_back(StoreRequest{last_id_, std::move(request->call)});
      continue;
    }
    auto& finished = std::get<ProposalFinished>(action);
    // The change takes effect at this node before the operator is told that it
    // is accepted.
    if (finished.entry && Merge(now, *finished.entry)) {
      accepted_.push_back(*finished.entry);
    }
    const auto* unavailable = std::get_if<ChangeUnavailable>(&finished.outcome);
    if (unavailable != nullptr &&
        unavailable->kind == ChangeUnavailableKind::kStoreRolledBack) {
      MarkRewound(Revision());
    }
    to.emplace_back(std::move(finished));
  }
  // Bounds the table: a late reply to a call that the proposer has given up on
  // is of no use.
  constexpr std::size_t kMaxCalls = 1024;
  while (proposer_calls_.size() > kMaxCalls) {
    proposer_calls_.erase(proposer_calls_.begin());
  }
}

std::vector<ConfigSyncAction> ConfigSync::RequestFloors(
    Revision revision) const {
  std::vector<ConfigSyncAction> actions;
  for (const ConfigGossipAction& action : gossip_.RequestFloors(revision)) {
    actions.emplace_back(std::get<PeerSend<ConfigMessage>>(action));
  }
  return actions;
}

ConfigConfirmation ConfigSync::Confirmation(Revision revision) const {
  ConfigConfirmation confirmation{
      .revision = revision, .confirmed = {}, .pending = {}};
  const auto add = [&](const NodeId& node, Revision floor) {
    (floor >= revision ? confirmation.confirmed : confirmation.pending)
        .push_back(node);
  };
  add(self_, floor_);
  for (const NodeId& peer : gossip_.peer_ids()) {
    const auto it = gossip_.peers().find(peer);
    add(peer, it == gossip_.peers().end() ? Revision() : it->second.floor);
  }
  return confirmation;
}

std::vector<ConfigSyncAction> ConfigSync::Flush(
    std::vector<ConfigSyncAction> actions) {
  PushNewEntries(actions);
  PushFloor(actions);
  for (StoreRequest& request : requests_) {
    actions.emplace_back(std::move(request));
  }
  requests_.clear();
  for (ConfigEntry& entry : applied_) {
    actions.emplace_back(ConfigApplied{std::move(entry)});
  }
  applied_.clear();
  accepted_.clear();
  return actions;
}

void ConfigSync::PushNewEntries(std::vector<ConfigSyncAction>& actions) {
  const auto push = [&](const std::vector<NodeId>& to,
                        const std::vector<ConfigEntry>& entries) {
    for (auto& action :
         gossip_.Push(to, ConfigPush{Revision(), Revision(), entries})) {
      actions.emplace_back(
          std::get<PeerSend<ConfigMessage>>(std::move(action)));
    }
  };
  if (!accepted_.empty()) {
    push(watchers_, accepted_);
  }
  if (watching_ && ready_ && !applied_.empty() &&
      applied_.size() <= kMaxPushedEntries) {
    push(zone_peers_, applied_);
  }
}

void ConfigSync::PushFloor(std::vector<ConfigSyncAction>& actions) {
  // The floor is pushed only after it passes a change of the configuration,
  // because it also rises with every write of other keys.
  if (store_.newest() <= pushed_floor_ || floor_ < store_.newest()) {
    return;
  }
  const Revision from = std::exchange(pushed_floor_, floor_);
  if (!watching_ || !ready_) {
    return;
  }
  ConfigPush push{.from = from, .to = floor_, .entries = {}};
  for (const auto& [key, entry] : store_.entries()) {
    if (entry.revision > from) {
      push.entries.push_back(entry);
    }
  }
  if (push.entries.size() > kMaxPushedEntries) {
    return;
  }
  for (auto& action : gossip_.Push(zone_peers_, push)) {
    actions.emplace_back(std::get<PeerSend<ConfigMessage>>(std::move(action)));
  }
}

ConfigSync::Builder& ConfigSync::Builder::SetSettings(
    ConfigSyncSettings settings) {
  settings_ = std::move(settings);
  return *this;
}

ConfigSync::Builder& ConfigSync::Builder::SetSelf(NodeId self, ZoneId zone) {
  self_ = std::move(self);
  zone_ = std::move(zone);
  return *this;
}

ConfigSync::Builder& ConfigSync::Builder::SetCodec(ConfigRecordCodec codec) {
  codec_ = std::move(codec);
  return *this;
}

ConfigSync::Builder& ConfigSync::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

ConfigSync::Builder& ConfigSync::Builder::SetEventSink(EventSink sink) {
  sink_ = std::move(sink);
  return *this;
}

std::unique_ptr<ConfigSync> ConfigSync::Builder::Build() const {
  return std::unique_ptr<ConfigSync>(
      new ConfigSync(settings_, self_, zone_, codec_, random_, sink_));
}

}  // namespace gcw
