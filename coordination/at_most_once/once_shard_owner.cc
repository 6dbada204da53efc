#include "coordination/at_most_once/once_shard_owner.h"

#include <algorithm>
#include <utility>

namespace gcw {

OnceShardOwner::OnceShardOwner(OnceShardId id,
                               OnceMember self,
                               const OnceOwnerSettings& settings,
                               OnceOwnerHooks hooks)
    : key_(OnceShardKey(id)),
      self_(std::move(self)),
      settings_(settings),
      hooks_(std::move(hooks)),
      shard_(settings.shard),
      timeout_(settings.store_timeout) {}

// Claims ---------------------------------------------------------------------

void OnceShardOwner::Claim(Time now, const OncePendingClaim& claim) {
  if (state_ == State::kOwned) {
    Decide(now, claim);
    WriteIfDue(now);
    return;
  }
  if (state_ == State::kNone && KnowsOwner(now)) {
    hooks_.reply(claim, OnceRedirect{known_owner_.node});
    return;
  }
  // The sender repeats its claim while it waits. Only the latest copy is kept.
  std::erase_if(pending_claims_, [&](const OncePendingClaim& other) {
    return other.request.claim == claim.request.claim;
  });
  pending_claims_.push_back(claim);
  StartTakeoverIfNeeded(now);
}

void OnceShardOwner::Decide(Time now, const OncePendingClaim& claim) {
  const OnceShardDecision decision = shard_.Claim(now, claim.request);
  if (const auto* verdict = std::get_if<OnceVerdict>(&decision)) {
    hooks_.reply(claim, *verdict);
    return;
  }
  const std::int64_t version = std::get<OnceRecorded>(decision).version;
  // A grant before the claim is in the journal would be lost if this node
  // fails, and the next owner would grant the caller's second send as well.
  if (version <= durable_version_ || MayGrantUnjournaled(now)) {
    hooks_.reply(claim, OnceGranted{});
    return;
  }
  std::erase_if(waiting_, [&](const Waiting& other) {
    return other.claim.request.claim == claim.request.claim;
  });
  waiting_.push_back(Waiting{claim, version});
}

void OnceShardOwner::DecidePending(Time now) {
  const std::vector<OncePendingClaim> pending =
      std::exchange(pending_claims_, {});
  for (const OncePendingClaim& claim : pending) {
    Decide(now, claim);
  }
}

void OnceShardOwner::GrantUpTo(Time now, std::int64_t version) {
  std::vector<Waiting> granted;
  std::erase_if(waiting_, [&](const Waiting& waiting) {
    if (waiting.version > version) {
      return false;
    }
    granted.push_back(waiting);
    return true;
  });
  for (const Waiting& waiting : granted) {
    // The claim may have been given back while it waited.
    const OnceShardDecision decision = shard_.Claim(now, waiting.claim.request);
    const auto* verdict = std::get_if<OnceVerdict>(&decision);
    hooks_.reply(waiting.claim, verdict ? *verdict : OnceGranted{});
  }
}

void OnceShardOwner::ReplyToPending(const OnceVerdict& verdict) {
  const std::vector<OncePendingClaim> pending =
      std::exchange(pending_claims_, {});
  for (const OncePendingClaim& claim : pending) {
    hooks_.reply(claim, verdict);
  }
}

bool OnceShardOwner::Finish(Time now,
                            const NodeId& from,
                            const OnceFinish& finish) {
  if (state_ == State::kNone && KnowsOwner(now)) {
    OncePendingClaim sender;
    sender.from = from;
    sender.request.claim = finish.claim;
    hooks_.reply(sender, OnceRedirect{known_owner_.node});
    return false;
  }
  if (state_ != State::kOwned) {
    StartTakeoverIfNeeded(now);
    return false;
  }
  shard_.Finish(now, finish);
  if (shard_.version() > durable_version_ && !dirty_since_) {
    dirty_since_ = now;
  }
  return true;
}

bool OnceShardOwner::MayGrantUnjournaled(Time now) const {
  if (settings_.outage_lease == Duration() || !unanswered_since_) {
    return false;
  }
  return now - *unanswered_since_ >= settings_.outage_threshold &&
         now < last_confirmed_write_ + settings_.outage_lease -
                   settings_.max_clock_drift;
}

// Takeover --------------------------------------------------------------------

bool OnceShardOwner::KnowsOwner(Time now) const {
  return now < known_until_ && known_owner_ != self_ &&
         hooks_.alive(known_owner_);
}

void OnceShardOwner::StartTakeoverIfNeeded(Time now) {
  if (state_ == State::kNone && !call_ && now >= next_call_ &&
      !release_wanted_ && !KnowsOwner(now)) {
    StartRead(now);
  }
}

void OnceShardOwner::StartRead(Time now) {
  state_ = State::kReading;
  const StoreCallId id = hooks_.call_store(StoreRange{key_});
  call_ = Call{id, now, false, 0, hooks_.seen()};
}

void OnceShardOwner::OnRecord(Time now,
                              const Call& call,
                              const StoreRangeReply& reply) {
  if (reply.revision < call.seen) {
    // The read is stale, or the service was restored to an earlier state. The
    // result is unusable in both cases. A write will reveal a restore.
    OnNoAnswer(now, call, settings_.store_retry);
    return;
  }
  hooks_.on_revision(reply.revision);
  state_ = State::kNone;
  const auto entry =
      std::find_if(reply.entries.begin(), reply.entries.end(),
                   [&](const StoreEntry& each) { return each.key == key_; });
  if (entry == reply.entries.end()) {
    ConsiderTakeover(now, Revision(), OnceJournal());
    return;
  }
  const auto journal = DecodeOnceJournal(entry->value);
  if (!IsOk(journal)) {
    Report(EventKind::kOnceRefused, "journal_unreadable");
    OnNoAnswer(now, call, settings_.store_retry);
    return;
  }
  ConsiderTakeover(now, entry->revision, ValueOf(journal));
}

void OnceShardOwner::ConsiderTakeover(Time now,
                                      Revision revision,
                                      const OnceJournal& journal) {
  if (journal.owner != self_ && hooks_.alive(journal.owner)) {
    known_owner_ = journal.owner;
    known_until_ = now + settings_.owner_cache_ttl;
    ReplyToPending(OnceRedirect{journal.owner.node});
    return;
  }
  const OnceMember preferred = hooks_.preferred();
  if (preferred != self_) {
    ReplyToPending(preferred.node.empty()
                       ? OnceVerdict(OnceUndecided{})
                       : OnceVerdict(OnceRedirect{preferred.node}));
    return;
  }
  TakeOver(now, revision, journal);
}

void OnceShardOwner::TakeOver(Time now,
                              Revision revision,
                              const OnceJournal& journal) {
  base_revision_ = revision;
  shard_ = OnceShard(settings_.shard);
  shard_.Load(now, journal.entries);
  // The last owner may have granted claims that are not in the journal, and may
  // go on doing so until its outage lease ends. That lease began before this
  // node read the record, so waiting for its length by this node's own clock is
  // enough, whatever the offset between the two clocks.
  const bool released = journal.owner.node.empty();
  const bool outage_lease = !released && journal.outage_lease > Duration();
  if (outage_lease || journal.may_miss_claims || record_incomplete_) {
    shard_.RefuseUnknownKeys(now + journal.outage_lease +
                             settings_.max_clock_drift);
  }
  durable_version_ = 0;
  dirty_since_.reset();
  waiting_.clear();
  open_changes_.clear();
  StartWrite(now, State::kTaking);
}

void OnceShardOwner::OnOwnershipLost(Time now, const OnceMember& owner) {
  if (state_ == State::kOwned) {
    Report(EventKind::kShardLost, "taken_over");
  }
  state_ = State::kNone;
  known_owner_ = owner;
  known_until_ = now + settings_.owner_cache_ttl;
  for (const Waiting& waiting : waiting_) {
    pending_claims_.push_back(waiting.claim);
  }
  waiting_.clear();
  open_changes_.clear();
  unanswered_since_.reset();
  shard_ = OnceShard(settings_.shard);
  ReplyToPending(KnowsOwner(now) ? OnceVerdict(OnceRedirect{owner.node})
                                 : OnceVerdict(OnceUndecided{}));
}

void OnceShardOwner::Release(Time now) {
  release_wanted_ = true;
  ReplyToPending(OnceUndecided{});
  WriteIfDue(now);
}

void OnceShardOwner::OnRewound(Time now) {
  record_incomplete_ = true;
  call_.reset();
  OnOwnershipLost(now, OnceMember());
}

void OnceShardOwner::ReportRewind(Time now) {
  hooks_.on_rewound(key_);
  OnRewound(now);
}

void OnceShardOwner::Report(EventKind kind, std::string_view why) {
  hooks_.events(
      EventDraft{kind, key_, EventId(), {EventField{"why", std::string(why)}}});
}

}  // namespace gcw
