#include "coordination/configuration/config_gossip.h"

#include <algorithm>
#include <utility>

namespace gcw {

ConfigGossip::ConfigGossip(ConfigGossipSettings settings,
                           Hooks hooks,
                           Random random)
    : settings_(settings),
      hooks_(std::move(hooks)),
      random_(std::move(random)) {}

void ConfigGossip::SetPeers(const std::vector<NodeId>& peers) {
  peers_ = peers;
  const std::set<NodeId> kept(peers.begin(), peers.end());
  std::erase_if(peer_status_,
                [&](const auto& peer) { return !kept.contains(peer.first); });
  std::erase_if(surveys_,
                [&](const auto& peer) { return !kept.contains(peer.first); });
}

std::vector<ConfigGossipAction> ConfigGossip::Tick(Time now) {
  std::vector<ConfigGossipAction> actions;
  if (surveying_) {
    SurveyPeers(now, actions);
  }
  if (peers_.empty() || now < next_compare_) {
    return actions;
  }
  // The first comparison is at a random time within the interval.
  const Duration interval = settings_.compare_interval;
  next_compare_ =
      next_compare_ == Time()
          ? now + Duration::Millis(static_cast<std::int64_t>(DrawBelow(
                      random_, static_cast<std::uint64_t>(interval.millis()))))
          : now + interval;
  const NodeId& peer = peers_[DrawBelow(random_, peers_.size())];
  actions.emplace_back(PeerSend<ConfigMessage>{peer, hooks_.digest()});
  return actions;
}

void ConfigGossip::SurveyPeers(Time now,
                               std::vector<ConfigGossipAction>& actions) {
  std::size_t asked = 0;
  for (const NodeId& peer : peers_) {
    if (asked >= settings_.max_requests_per_tick) {
      return;
    }
    PeerSurvey& survey = surveys_[peer];
    const bool is_waiting =
        survey.attempts > 0 && now - survey.asked < settings_.answer_timeout;
    if (survey.settled || is_waiting ||
        survey.attempts > settings_.max_attempts) {
      continue;
    }
    ++survey.attempts;
    survey.asked = now;
    // The last request has timed out too. A count above the limit marks the
    // peer as unreachable.
    if (survey.attempts > settings_.max_attempts) {
      continue;
    }
    ++asked;
    actions.emplace_back(PeerSend<ConfigMessage>{peer, hooks_.digest()});
  }
}

bool ConfigGossip::SurveyDone() const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const NodeId& peer) {
    const auto it = surveys_.find(peer);
    return it != surveys_.end() &&
           (it->second.settled || it->second.attempts > settings_.max_attempts);
  });
}

bool ConfigGossip::SettledWithReadyPeer() const {
  return std::any_of(surveys_.begin(), surveys_.end(), [&](const auto& survey) {
    const auto it = peer_status_.find(survey.first);
    return survey.second.settled && it != peer_status_.end() &&
           it->second.ready;
  });
}

std::vector<ConfigGossipAction> ConfigGossip::OnPeer(
    Time now,
    const NodeId& from,
    const ConfigMessage& message) {
  return std::visit(
      Overloaded{
          [&](const ConfigDigest& digest) {
            return OnDigest(now, from, digest);
          },
          [&](const ConfigBuckets& buckets) {
            return OnBuckets(now, from, buckets);
          },
          [&](const ConfigPull& pull) { return OnPull(from, pull); },
          [&](const ConfigEntries& entries) {
            return OnEntries(now, from, entries);
          },
          [&](const ConfigPush& push) {
            OnPush(now, push);
            return std::vector<ConfigGossipAction>();
          },
      },
      message);
}

std::vector<ConfigGossipAction> ConfigGossip::OnDigest(
    Time now,
    const NodeId& from,
    const ConfigDigest& digest) {
  UpdatePeerStatus(now, from, digest);
  ConfigDigest own = hooks_.digest();
  const bool equal = own.digest == digest.digest;
  if (equal) {
    MarkSettled(from);
  }
  if (digest.is_reply) {
    return {};
  }
  own.is_reply = true;
  if (equal) {
    return {PeerSend<ConfigMessage>{from, own}};
  }
  return {PeerSend<ConfigMessage>{
      from, ConfigBuckets{own, hooks_.store().bucket_digests()}}};
}

std::vector<ConfigGossipAction> ConfigGossip::OnBuckets(
    Time now,
    const NodeId& from,
    const ConfigBuckets& buckets) {
  UpdatePeerStatus(now, from, buckets.digest);
  const ConfigStore::Buckets& own = hooks_.store().bucket_digests();
  ConfigPull pull;
  for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
    if (own[bucket] != buckets.buckets[bucket]) {
      pull.buckets.push_back(static_cast<std::uint8_t>(bucket));
    }
  }
  if (pull.buckets.empty()) {
    MarkSettled(from);
    return {};
  }
  pull.held = hooks_.store().KeysIn(pull.buckets);
  return {PeerSend<ConfigMessage>{from, std::move(pull)}};
}

std::vector<ConfigGossipAction> ConfigGossip::OnPull(const NodeId& from,
                                                     const ConfigPull& pull) {
  const ConfigStore& store = hooks_.store();
  std::map<std::string, Revision> peer_revisions;
  std::vector<std::string> wanted;
  for (const ConfigKeyRevision& held : pull.held) {
    peer_revisions[held.key] = held.revision;
    const ConfigEntry* own = store.Find(held.key);
    if (own == nullptr || own->revision < held.revision) {
      wanted.push_back(held.key);
    }
  }
  std::vector<std::string> newer;
  for (const ConfigKeyRevision& own : store.KeysIn(pull.buckets)) {
    const auto it = peer_revisions.find(own.key);
    if (it == peer_revisions.end() || it->second < own.revision) {
      newer.push_back(own.key);
    }
  }
  ConfigEntries answer = BuildEntries(newer);
  answer.wanted = std::move(wanted);
  answer.answers_pull = true;
  return {PeerSend<ConfigMessage>{from, std::move(answer)}};
}

std::vector<ConfigGossipAction> ConfigGossip::OnEntries(
    Time now,
    const NodeId& from,
    const ConfigEntries& entries) {
  bool merged_any = false;
  for (const ConfigEntry& entry : entries.entries) {
    merged_any |= hooks_.merge(now, entry);
  }
  UpdatePeerStatus(now, from, entries.digest);
  std::vector<ConfigGossipAction> actions;
  if (!entries.wanted.empty()) {
    actions.emplace_back(
        PeerSend<ConfigMessage>{from, BuildEntries(entries.wanted)});
  }
  if (!entries.answers_pull) {
    return actions;
  }
  if (!merged_any && !entries.is_truncated) {
    MarkSettled(from);
    return actions;
  }
  // The peer may hold more entries than one message can carry, and may have
  // received others since.
  const auto survey = surveys_.find(from);
  const bool continues_survey =
      surveying_ && survey != surveys_.end() && !survey->second.settled;
  if (continues_survey || entries.is_truncated) {
    if (continues_survey) {
      survey->second.attempts = 1;
      survey->second.asked = now;
    }
    actions.emplace_back(PeerSend<ConfigMessage>{from, hooks_.digest()});
  }
  return actions;
}

void ConfigGossip::OnPush(Time now, const ConfigPush& push) {
  for (const ConfigEntry& entry : push.entries) {
    hooks_.merge(now, entry);
  }
  // Entries of an earlier push may have been lost. The sender's guarantee up to
  // `to` therefore holds only if this node lacks nothing up to `from`.
  if (push.to > Revision() && hooks_.digest().floor >= push.from) {
    hooks_.raise_floor(push.to);
  }
}

void ConfigGossip::UpdatePeerStatus(Time now,
                                    const NodeId& from,
                                    const ConfigDigest& digest) {
  ConfigPeerStatus& status = peer_status_[from];
  status.floor = std::max(status.floor, digest.floor);
  status.ready = digest.ready;
  status.last_heard = now;
  // The peer is reachable, so it is asked until it has settled.
  const auto survey = surveys_.find(from);
  if (survey != surveys_.end()) {
    survey->second.attempts = std::min(survey->second.attempts, 1);
  }
  // The copies are equal, so the peer's floor holds for this copy too.
  if (digest.digest == hooks_.digest().digest) {
    hooks_.raise_floor(digest.floor);
  }
}

void ConfigGossip::MarkSettled(const NodeId& from) {
  if (surveying_) {
    surveys_[from].settled = true;
  }
}

void ConfigGossip::SetSurveying(bool surveying) {
  surveying_ = surveying;
  if (!surveying) {
    surveys_.clear();
  }
}

ConfigEntries ConfigGossip::BuildEntries(
    const std::vector<std::string>& keys) const {
  ConfigEntries message;
  message.digest = hooks_.digest();
  message.digest.is_reply = true;
  std::size_t bytes = 0;
  for (const std::string& key : keys) {
    const ConfigEntry* entry = hooks_.store().Find(key);
    if (entry == nullptr) {
      continue;
    }
    bytes += EstimatedSize(*entry);
    // At least one entry is sent, regardless of its size.
    if (bytes > settings_.max_message_bytes && !message.entries.empty()) {
      message.is_truncated = true;
      break;
    }
    message.entries.push_back(*entry);
  }
  return message;
}

std::vector<ConfigGossipAction> ConfigGossip::Push(
    const std::vector<NodeId>& to,
    const ConfigPush& push) const {
  std::vector<ConfigGossipAction> actions;
  actions.reserve(to.size());
  for (const NodeId& peer : to) {
    actions.emplace_back(PeerSend<ConfigMessage>{peer, push});
  }
  return actions;
}

std::vector<ConfigGossipAction> ConfigGossip::RequestFloors(
    Revision revision) const {
  std::vector<ConfigGossipAction> actions;
  for (const NodeId& peer : peers_) {
    const auto it = peer_status_.find(peer);
    if (it == peer_status_.end() || it->second.floor < revision) {
      actions.emplace_back(PeerSend<ConfigMessage>{peer, hooks_.digest()});
    }
  }
  return actions;
}

}  // namespace gcw
