// The shard owner's calls to the key-value service and the handling of their
// replies.

#include <algorithm>
#include <utility>

#include "coordination/at_most_once/once_shard_owner.h"

namespace gcw {

bool OnceShardOwner::WriteDue(Time now) const {
  if (state_ != State::kOwned || call_ || now < next_call_) {
    return false;
  }
  if (release_wanted_) {
    return true;
  }
  if (now - last_write_ < settings_.journal_interval) {
    return false;
  }
  if (!waiting_.empty()) {
    return true;
  }
  if (dirty_since_ && now - *dirty_since_ >= settings_.max_finish_delay) {
    return true;
  }
  // Writing the record renews the outage lease.
  return settings_.outage_lease > Duration() &&
         now - last_write_ >= settings_.outage_lease / 3;
}

void OnceShardOwner::WriteIfDue(Time now) {
  if (WriteDue(now)) {
    StartWrite(now, release_wanted_ ? State::kReleasing : State::kOwned);
  }
}

void OnceShardOwner::StartWrite(Time now, State state) {
  state_ = state;
  shard_.Tick(now);
  OnceJournal journal;
  if (state != State::kReleasing) {
    journal.owner = self_;
  }
  journal.change = hooks_.next_change();
  journal.outage_lease = settings_.outage_lease;
  journal.may_miss_claims = shard_.refuses_unknown_keys(now);
  journal.entries = shard_.Entries();
  open_changes_.insert(journal.change);
  const StoreCallId id = hooks_.call_store(
      StorePut{key_, EncodeOnceJournal(journal), base_revision_, LeaseId()});
  call_ = Call{id, now, true, shard_.version(), hooks_.seen()};
  last_write_ = now;
  if (!unanswered_since_) {
    unanswered_since_ = now;
  }
}

bool OnceShardOwner::OnStoreReply(Time now,
                                  StoreCallId id,
                                  const StoreReply& reply) {
  if (!call_ || call_->id != id) {
    return false;
  }
  const Call call = *call_;
  call_.reset();
  if (!std::holds_alternative<StoreNoAnswer>(reply)) {
    timeout_ = std::clamp((now - call.sent) * 3, settings_.store_timeout,
                          settings_.max_store_timeout);
  }
  std::visit(
      Overloaded{
          [&](const StoreRangeReply& range) { OnRecord(now, call, range); },
          [&](const StoreWritten& written) {
            OnWritten(now, call, written.revision);
          },
          [&](const StoreConflict& conflict) { OnConflict(now, conflict); },
          [&](const StoreRefused& refused) {
            OnNoAnswer(now, call, refused.retry_after);
          },
          [&](const auto&) { OnNoAnswer(now, call, settings_.store_retry); },
      },
      reply);
  return true;
}

void OnceShardOwner::OnWritten(Time now, const Call& call, Revision revision) {
  // Revisions only increase. If the write got a revision that this node already
  // knew of, the service has lost all later changes, claims among them.
  if (revision <= call.seen) {
    ReportRewind(now);
    return;
  }
  hooks_.on_revision(revision);
  base_revision_ = revision;
  open_changes_.clear();
  last_confirmed_write_ = call.sent;
  unanswered_since_.reset();
  durable_version_ = call.version;
  dirty_since_.reset();
  if (shard_.version() > durable_version_) {
    dirty_since_ = now;
  }
  if (state_ == State::kReleasing) {
    GrantUpTo(now, durable_version_);
    Report(EventKind::kShardLost, "released");
    OnOwnershipLost(now, OnceMember());
    return;
  }
  if (state_ == State::kTaking) {
    Report(EventKind::kShardAcquired, "taken");
    record_incomplete_ = false;
    state_ = State::kOwned;
    DecidePending(now);
  }
  GrantUpTo(now, durable_version_);
  WriteIfDue(now);
}

void OnceShardOwner::OnConflict(Time now, const StoreConflict& conflict) {
  const Revision current =
      conflict.current ? conflict.current->revision : Revision();
  // A record's revision never decreases, and the record is never deleted.
  if (current < base_revision_) {
    ReportRewind(now);
    return;
  }
  if (!conflict.current) {
    OnOwnershipLost(now, OnceMember());
    return;
  }
  hooks_.on_revision(current);
  const auto journal = DecodeOnceJournal(conflict.current->value);
  if (!IsOk(journal)) {
    Report(EventKind::kOnceRefused, "journal_unreadable");
    OnOwnershipLost(now, OnceMember());
    return;
  }
  // The conflicting write is this node's own: it took effect although its
  // answer was lost. The current state of this node includes everything in that
  // write.
  if (open_changes_.contains(ValueOf(journal).change)) {
    base_revision_ = current;
    StartWrite(now, state_);
    return;
  }
  OnOwnershipLost(now, ValueOf(journal).owner);
}

void OnceShardOwner::OnNoAnswer(Time now,
                                const Call& call,
                                Duration retry_after) {
  next_call_ = now + retry_after;
  if (call.write) {
    return;
  }
  state_ = State::kNone;
  ReplyToPending(OnceUndecided{});
}

void OnceShardOwner::Tick(Time now) {
  if (call_ && now - call_->sent >= timeout_) {
    const Call call = *call_;
    call_.reset();
    timeout_ = std::min(timeout_ * 2, settings_.max_store_timeout);
    OnNoAnswer(now, call, settings_.store_retry);
  }
  shard_.Tick(now);
  const bool unfinished =
      state_ == State::kTaking || state_ == State::kReleasing;
  if (unfinished && !call_ && now >= next_call_) {
    StartWrite(now, state_);
  }
  if (!pending_claims_.empty()) {
    StartTakeoverIfNeeded(now);
  }
  WriteIfDue(now);
  if (MayGrantUnjournaled(now)) {
    GrantUpTo(now, shard_.version());
  }
}

}  // namespace gcw
