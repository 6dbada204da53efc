#include "coordination/gateway/store_mirror.h"

#include <algorithm>
#include <utility>

namespace gcw {

StoreMirror::StoreMirror(StoreMirrorSettings settings,
                         Random random,
                         Hooks hooks)
    : settings_(std::move(settings)),
      random_(std::move(random)),
      hooks_(std::move(hooks)),
      backoff_(settings_.backoff),
      feed_(settings_.max_kept_changes),
      first_read_pending_(!settings_.first_prefix.empty()) {}

std::vector<StoreMirrorAction> StoreMirror::Tick(Time now) {
  ApplyDeferredRemovals(now);
  std::vector<StoreMirrorAction> actions;
  const bool is_overdue = IsAnswerOverdue(now);
  if (is_overdue && reachable_) {
    reachable_ = false;
    hooks_.on_reachable(false);
  }
  if (is_overdue && now >= next_peer_request_) {
    actions.push_back(NextPeerRequest(now));
  }
  ReplyToFollowers(now, actions);
  if (CanFollow() && !call_ && now >= next_call_) {
    call_ = ++last_id_;
    is_follow_call_ = true;
    actions.emplace_back(RequestPeerChanges{last_id_, PeerTarget::kFollowed,
                                            revision_,
                                            settings_.follow_poll_wait});
    return actions;
  }
  if (std::optional<StoreCall> call = NextCall(now)) {
    call_ = ++last_id_;
    if (!answer_due_since_) {
      const auto* watch = std::get_if<StoreWatch>(&*call);
      answer_due_since_ = watch != nullptr ? now + watch->wait : now;
    }
    actions.emplace_back(StoreRequest{last_id_, *std::move(call)});
  }
  return actions;
}

// All keys are requested only if changes are not enough, because in a large
// fleet they saturate the link of a small node.
StoreMirrorAction StoreMirror::NextPeerRequest(Time now) {
  next_peer_request_ = now + settings_.peer_request_interval;
  if (phase_ != Phase::kWatching ||
      failed_peer_requests_ >= settings_.max_failed_peer_requests) {
    failed_peer_requests_ = 0;
    return RequestPeerSnapshot{loaded_ ? revision_ : Revision()};
  }
  peer_request_ = ++last_id_;
  return RequestPeerChanges{last_id_, PeerTarget::kAny, revision_, Duration()};
}

void StoreMirror::OnAnyPeerChanges(
    Time now,
    const std::optional<MirrorChanges>& changes) {
  peer_request_.reset();
  if (reachable_) {
    return;
  }
  if (!IsUsable(changes)) {
    ++failed_peer_requests_;
    return;
  }
  failed_peer_requests_ = 0;
  ApplyPeerChanges(now, *changes);
}

void StoreMirror::ApplyPeerChanges(Time now, const MirrorChanges& changes) {
  if (changes.expiry_grace_left > Duration()) {
    expiry_grace_until_ =
        std::max(expiry_grace_until_, now + changes.expiry_grace_left);
  }
  const Time as_of = now - changes.age;
  complete_at_ = complete_at_ ? std::max(*complete_at_, as_of) : as_of;
  ApplyChanges(now, changes.changed, changes.deleted, changes.revision);
}

std::optional<StoreCall> StoreMirror::NextCall(Time now) {
  if (call_ || now < next_call_) {
    return std::nullopt;
  }
  if (phase_ == Phase::kReading) {
    return first_read_pending_
               ? StoreRange{settings_.first_prefix}
               : StoreRange{settings_.prefixes[prefix_index_], page_after_};
  }
  const Duration interval = WatchInterval();
  next_call_ = now + interval;
  // The service holds the watch until the next one is due: a watch that came
  // back earlier without a change would be a wasted call.
  return StoreWatch{settings_.watch_prefix, revision_,
                    std::max(settings_.min_watch_timeout, interval)};
}

void StoreMirror::SetRelaxed(bool relaxed) {
  backoff_.SetMaximum(relaxed ? settings_.relaxed_backoff
                              : settings_.backoff.maximum);
}

void StoreMirror::SetFollowing(bool following) {
  following_ = following;
  if (!following && is_follow_call_) {
    // A node that has become the controller does not wait for another node.
    is_follow_call_ = false;
    call_.reset();
  }
}

// If an answer of the service is due, following would hide whether the service
// is unreachable, and keys that expire meanwhile have to be kept for the grace
// period.
bool StoreMirror::CanFollow() const {
  return following_ && phase_ == Phase::kWatching && !watch_once_ &&
         reachable_ && !answer_due_since_;
}

Duration StoreMirror::MaxAge() const {
  return settings_.max_propagation_delay - settings_.retry_margin;
}

Duration StoreMirror::WatchInterval() const {
  if (eager_) {
    return settings_.eager_watch_interval;
  }
  const auto shared = Duration::Millis(
      static_cast<std::int64_t>(1000 * static_cast<double>(watchers_) /
                                settings_.max_fleet_watches_per_second));
  return std::max(settings_.min_watch_interval, std::min(shared, MaxAge()));
}

bool StoreMirror::IsAnswerOverdue(Time now) const {
  return answer_due_since_ &&
         now - *answer_due_since_ >= settings_.unreachable_timeout;
}

std::vector<StoreMirrorAction>
StoreMirror::OnStoreReply(Time now, StoreCallId id, const StoreReply& reply) {
  if (call_ != id) {
    return {};
  }
  call_.reset();
  if (const auto* range = std::get_if<StoreRangeReply>(&reply)) {
    OnStoreAnswered(now);
    OnRange(now, *range);
  } else if (const auto* watch = std::get_if<StoreWatchReply>(&reply)) {
    OnStoreAnswered(now);
    OnWatch(now, *watch);
  } else if (const auto* refused = std::get_if<StoreRefused>(&reply)) {
    OnStoreFailed(now, refused->retry_after);
  } else {
    OnStoreFailed(now, Duration());
  }
  return Tick(now);
}

void StoreMirror::OnStoreAnswered(Time now) {
  backoff_.Reset();
  // After an outage that was noticed, or any gap as long, the service may have
  // dropped keys whose owners are alive.
  if (!reachable_ || IsAnswerOverdue(now)) {
    expiry_grace_until_ = now + settings_.expiry_grace_period;
  }
  answer_due_since_.reset();
  if (!reachable_) {
    reachable_ = true;
    hooks_.on_reachable(true);
  }
}

void StoreMirror::OnStoreFailed(Time now, Duration min_wait) {
  answer_due_since_ =
      answer_due_since_ ? std::min(*answer_due_since_, now) : now;
  next_call_ = now + std::max(min_wait, backoff_.Next(random_));
}

void StoreMirror::StartReading(Time now) {
  next_call_ = now;
  phase_ = Phase::kReading;
  prefix_index_ = 0;
  page_after_.clear();
  seen_keys_.clear();
  round_revision_.reset();
}

void StoreMirror::OnRange(Time now, const StoreRangeReply& reply) {
  // The service was set back to an earlier state or answered from a stale copy,
  // so the reply is ignored.
  if (loaded_ && reply.revision < revision_) {
    OnStoreFailed(now, Duration());
    return;
  }
  for (const StoreEntry& entry : reply.entries) {
    seen_keys_.insert(entry.key);
    Put(now, entry);
  }
  if (std::exchange(first_read_pending_, false)) {
    OnFirstRead(now);
    return;
  }
  round_revision_ = round_revision_ ? std::min(*round_revision_, reply.revision)
                                    : reply.revision;
  if (reply.more && !reply.entries.empty()) {
    page_after_ = reply.entries.back().key;
    return;
  }
  DeleteMissing(now, settings_.prefixes[prefix_index_], seen_keys_,
                *round_revision_);
  page_after_.clear();
  seen_keys_.clear();
  if (++prefix_index_ < settings_.prefixes.size()) {
    return;
  }
  // The watch starts at the lowest revision, so changes between the reads of
  // two prefixes are seen again.
  revision_ = *round_revision_;
  feed_.ResetTo(revision_);
  phase_ = Phase::kWatching;
  loaded_ = true;
}

void StoreMirror::OnFirstRead(Time now) {
  seen_keys_.clear();
  const Duration spread =
      hooks_.read_spread ? hooks_.read_spread() : Duration();
  if (spread > Duration()) {
    next_call_ =
        now + Duration::Millis(static_cast<std::int64_t>(DrawBelow(
                  random_, static_cast<std::uint64_t>(spread.millis()))));
  }
}

void StoreMirror::OnWatch(Time now, const StoreWatchReply& reply) {
  if (reply.compacted) {
    StartReading(now);
    return;
  }
  watch_once_ = false;
  complete_at_ = now;
  ApplyChanges(now, reply.changed, reply.deleted, reply.revision);
}

void StoreMirror::ApplyChanges(Time now,
                               const std::vector<StoreEntry>& changed,
                               const std::vector<StoreDeletion>& deleted,
                               Revision revision) {
  for (const StoreEntry& entry : changed) {
    Put(now, entry);
  }
  for (const StoreDeletion& deletion : deleted) {
    Delete(now, deletion.key, deletion.revision);
  }
  if (settings_.local_only_key.empty()) {
    feed_.Add(changed, deleted);
  } else {
    std::vector<StoreEntry> shared = changed;
    std::erase_if(shared, [this](const StoreEntry& entry) {
      return entry.key == settings_.local_only_key;
    });
    feed_.Add(shared, deleted);
  }
  revision_ = std::max(revision_, revision);
}

std::vector<StoreMirrorAction> StoreMirror::OnPeerChanges(
    Time now,
    StoreCallId id,
    const std::optional<MirrorChanges>& changes) {
  if (peer_request_ == id) {
    OnAnyPeerChanges(now, changes);
    return {};
  }
  if (call_ != id) {
    return {};
  }
  call_.reset();
  is_follow_call_ = false;
  if (!IsUsable(changes)) {
    // The service itself is watched at once, because this node's copy may
    // already be as old as is allowed.
    watch_once_ = true;
    next_call_ = now;
    return Tick(now);
  }
  ApplyPeerChanges(now, *changes);
  return Tick(now);
}

bool StoreMirror::IsUsable(const std::optional<MirrorChanges>& changes) const {
  return changes && changes->age <= MaxAge();
}

std::vector<StoreMirrorAction> StoreMirror::OnChangesRequest(
    Time now,
    const ChangesRequest& request) {
  feed_.AddRequest(now, request);
  std::vector<StoreMirrorAction> actions;
  ReplyToFollowers(now, actions);
  return actions;
}

// A copy that may be outdated is not passed on: a follower that took it for
// complete would send requests to endpoints that have left.
void StoreMirror::ReplyToFollowers(Time now,
                                   std::vector<StoreMirrorAction>& actions) {
  if (!feed_.has_pending_requests()) {
    return;
  }
  std::optional<Duration> age;
  if (complete_at_ && phase_ == Phase::kWatching &&
      now - *complete_at_ <= MaxAge()) {
    age = now - *complete_at_;
  }
  const Duration expiry_grace_left =
      expiry_grace_until_ > now ? expiry_grace_until_ - now : Duration();
  for (ChangesReply& answer :
       feed_.TakeReplies(now, revision_, age, expiry_grace_left)) {
    actions.emplace_back(std::move(answer));
  }
}

void StoreMirror::OnPeerSnapshot(Time now, const MirrorSnapshot& snapshot) {
  if (reachable_ || (loaded_ && snapshot.revision <= revision_)) {
    return;
  }
  std::set<std::string> seen;
  for (const StoreEntry& entry : snapshot.entries) {
    seen.insert(entry.key);
    Put(now, entry);
  }
  // Removals are deferred as after an outage: the other node may have seen keys
  // expire whose owners are alive.
  expiry_grace_until_ =
      std::max(expiry_grace_until_, now + settings_.expiry_grace_period);
  for (const std::string& prefix : settings_.prefixes) {
    DeleteMissing(now, prefix, seen, snapshot.revision);
  }
  revision_ = std::max(revision_, snapshot.revision);
  feed_.ResetTo(revision_);
  loaded_ = true;
  // Everything up to the snapshot's revision is known, so no read is needed.
  if (phase_ == Phase::kReading && !call_) {
    phase_ = Phase::kWatching;
  }
}

std::optional<MirrorSnapshot> StoreMirror::Snapshot(Revision newer_than) const {
  if (!loaded_ || revision_ <= newer_than) {
    return std::nullopt;
  }
  MirrorSnapshot snapshot;
  snapshot.revision = revision_;
  snapshot.entries.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    // A key whose removal is deferred does not exist at this revision. A node
    // that continues from this revision would never learn of the removal, and
    // it defers removals by itself.
    if (!deferred_removals_.contains(key)) {
      snapshot.entries.push_back(entry);
    }
  }
  return snapshot;
}

void StoreMirror::Put(Time now, const StoreEntry& entry) {
  StoreEntry& known = entries_[entry.key];
  if (entry.revision <= known.revision) {
    return;
  }
  known = entry;
  deferred_removals_.erase(entry.key);
  hooks_.on_put(now, entry);
}

void StoreMirror::Delete(Time now, const std::string& key, Revision revision) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.revision > revision) {
    return;
  }
  if (now < expiry_grace_until_ && IsExpiringKey(key)) {
    deferred_removals_.emplace(key, expiry_grace_until_);
    return;
  }
  deferred_removals_.erase(key);
  entries_.erase(found);
  hooks_.on_deleted(now, key);
}

void StoreMirror::DeleteMissing(Time now,
                                std::string_view prefix,
                                const std::set<std::string>& seen,
                                Revision revision) {
  std::vector<std::string> missing;
  for (auto it = entries_.lower_bound(std::string(prefix));
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    if (!seen.contains(it->first)) {
      missing.push_back(it->first);
    }
  }
  for (const std::string& key : missing) {
    Delete(now, key, revision);
  }
}

void StoreMirror::ApplyDeferredRemovals(Time now) {
  for (auto it = deferred_removals_.begin(); it != deferred_removals_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    const std::string key = it->first;
    it = deferred_removals_.erase(it);
    entries_.erase(key);
    hooks_.on_deleted(now, key);
  }
}

bool StoreMirror::IsExpiringKey(std::string_view key) const {
  return std::any_of(
      settings_.expiring_prefixes.begin(), settings_.expiring_prefixes.end(),
      [&](const std::string& prefix) { return key.starts_with(prefix); });
}

}  // namespace gcw
