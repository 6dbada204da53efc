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
  std::erase_if(status_,
                [&](const auto& peer) { return !kept.contains(peer.first); });
  std::erase_if(inquiries_,
                [&](const auto& peer) { return !kept.contains(peer.first); });
}

std::vector<ConfigGossipAction> ConfigGossip::Tick(Time now) {
  std::vector<ConfigGossipAction> actions;
  if (surveying_) {
    Survey(now, actions);
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

void ConfigGossip::Survey(Time now, std::vector<ConfigGossipAction>& actions) {
  std::size_t asked = 0;
  for (const NodeId& peer : peers_) {
    if (asked >= settings_.questions_per_tick) {
      return;
    }
    Inquiry& inquiry = inquiries_[peer];
    const bool waits =
        inquiry.attempts > 0 && now - inquiry.asked < settings_.answer_timeout;
    if (inquiry.settled || waits || inquiry.attempts > settings_.attempts) {
      continue;
    }
    ++inquiry.attempts;
    inquiry.asked = now;
    // The last request was sent one timeout ago. The count now exceeds the
    // limit,
    // which marks the peer as unreachable.
    if (inquiry.attempts > settings_.attempts) {
      continue;
    }
    ++asked;
    actions.emplace_back(PeerSend<ConfigMessage>{peer, hooks_.digest()});
  }
}

bool ConfigGossip::SurveyDone() const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const NodeId& peer) {
    const auto it = inquiries_.find(peer);
    return it != inquiries_.end() &&
           (it->second.settled || it->second.attempts > settings_.attempts);
  });
}

bool ConfigGossip::SettledWithReadyPeer() const {
  return std::any_of(inquiries_.begin(), inquiries_.end(),
                     [&](const auto& inquiry) {
                       const auto it = status_.find(inquiry.first);
                       return inquiry.second.settled && it != status_.end() &&
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
  Learn(now, from, digest);
  ConfigDigest own = hooks_.digest();
  const bool equal = own.digest == digest.digest;
  if (equal) {
    Settle(from);
  }
  if (digest.reply) {
    return {};
  }
  own.reply = true;
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
  Learn(now, from, buckets.digest);
  const ConfigStore::Buckets& own = hooks_.store().bucket_digests();
  ConfigPull pull;
  for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
    if (own[bucket] != buckets.buckets[bucket]) {
      pull.buckets.push_back(static_cast<std::uint8_t>(bucket));
    }
  }
  if (pull.buckets.empty()) {
    Settle(from);
    return {};
  }
  pull.held = hooks_.store().KeysIn(pull.buckets);
  return {PeerSend<ConfigMessage>{from, std::move(pull)}};
}

std::vector<ConfigGossipAction> ConfigGossip::OnPull(const NodeId& from,
                                                     const ConfigPull& pull) {
  const ConfigStore& store = hooks_.store();
  std::map<std::string, Revision> theirs;
  std::vector<std::string> wanted;
  for (const ConfigKeyRevision& held : pull.held) {
    theirs[held.key] = held.revision;
    const ConfigEntry* own = store.Find(held.key);
    if (own == nullptr || own->revision < held.revision) {
      wanted.push_back(held.key);
    }
  }
  std::vector<std::string> newer;
  for (const ConfigKeyRevision& own : store.KeysIn(pull.buckets)) {
    const auto it = theirs.find(own.key);
    if (it == theirs.end() || it->second < own.revision) {
      newer.push_back(own.key);
    }
  }
  ConfigEntries answer = Collect(newer);
  answer.wanted = std::move(wanted);
  answer.answers_pull = true;
  return {PeerSend<ConfigMessage>{from, std::move(answer)}};
}

std::vector<ConfigGossipAction> ConfigGossip::OnEntries(
    Time now,
    const NodeId& from,
    const ConfigEntries& entries) {
  bool learnt = false;
  for (const ConfigEntry& entry : entries.entries) {
    learnt |= hooks_.merge(now, entry);
  }
  Learn(now, from, entries.digest);
  std::vector<ConfigGossipAction> actions;
  if (!entries.wanted.empty()) {
    actions.emplace_back(
        PeerSend<ConfigMessage>{from, Collect(entries.wanted)});
  }
  if (!entries.answers_pull) {
    return actions;
  }
  if (!learnt && !entries.more) {
    Settle(from);
    return actions;
  }
  // The peer may hold more entries than one message can carry, and may have
  // received others since.
  const auto inquiry = inquiries_.find(from);
  const bool asks =
      surveying_ && inquiry != inquiries_.end() && !inquiry->second.settled;
  if (asks || entries.more) {
    if (asks) {
      inquiry->second.attempts = 1;
      inquiry->second.asked = now;
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

void ConfigGossip::Learn(Time now,
                         const NodeId& from,
                         const ConfigDigest& digest) {
  ConfigPeerStatus& status = status_[from];
  status.floor = std::max(status.floor, digest.floor);
  status.ready = digest.ready;
  status.heard = now;
  // The peer is reachable, so it is asked until it has settled.
  const auto inquiry = inquiries_.find(from);
  if (inquiry != inquiries_.end()) {
    inquiry->second.attempts = std::min(inquiry->second.attempts, 1);
  }
  // The copies are equal, so the peer's floor holds for this copy too.
  if (digest.digest == hooks_.digest().digest) {
    hooks_.raise_floor(digest.floor);
  }
}

void ConfigGossip::Settle(const NodeId& from) {
  if (surveying_) {
    inquiries_[from].settled = true;
  }
}

void ConfigGossip::SetSurveying(bool surveying) {
  surveying_ = surveying;
  if (!surveying) {
    inquiries_.clear();
  }
}

ConfigEntries ConfigGossip::Collect(
    const std::vector<std::string>& keys) const {
  ConfigEntries message;
  message.digest = hooks_.digest();
  message.digest.reply = true;
  std::size_t bytes = 0;
  for (const std::string& key : keys) {
    const ConfigEntry* entry = hooks_.store().Find(key);
    if (entry == nullptr) {
      continue;
    }
    bytes += EstimatedSize(*entry);
    // At least one entry is sent, regardless of its size.
    if (bytes > settings_.message_bytes && !message.entries.empty()) {
      message.more = true;
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

std::vector<ConfigGossipAction> ConfigGossip::AskFloors(
    Revision revision) const {
  std::vector<ConfigGossipAction> actions;
  for (const NodeId& peer : peers_) {
    const auto it = status_.find(peer);
    if (it == status_.end() || it->second.floor < revision) {
      actions.emplace_back(PeerSend<ConfigMessage>{peer, hooks_.digest()});
    }
  }
  return actions;
}

}  // namespace gcw
