#include "coordination/at_most_once/once_shard.h"

#include <algorithm>
#include <utility>

#include "coordination/at_most_once/once_journal.h"

namespace gcw {

namespace {

// Time for which a loaded claim counts as running before its outcome counts as
// unknown. If its sender reports to the new owner at all, it does so within
// this time.
constexpr Duration kLoadedClaimRunDuration = Duration::Seconds(10);

// Number of given back claims that are kept. Their late messages arrive within
// seconds.
constexpr std::size_t kMaxReturned = 256;

std::size_t AnswerBytes(const OnceAnswer& answer) {
  std::size_t bytes = sizeof(OnceAnswer) + answer.body.size();
  for (const OnceHeader& header : answer.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace

OnceShard::OnceShard(OnceShardSettings settings) : settings_(settings) {}

OnceShardDecision OnceShard::Claim(Time now, const OnceClaimRequest& request) {
  // The report of this claim overtook the claim message. Its node would not use
  // a grant, so holding the key would only block the caller's next send.
  if (std::find(returned_.begin(), returned_.end(), request.claim) !=
      returned_.end()) {
    return OnceVerdict(OnceUndecided{});
  }
  const auto found = claims_.find(request.key);
  if (found == claims_.end()) {
    return ClaimNew(now, request);
  }
  return ClaimKnown(now, request, found->second);
}

OnceShardDecision OnceShard::ClaimNew(Time now,
                                      const OnceClaimRequest& request) {
  if (refuses_unknown_keys(now)) {
    return OnceVerdict(OnceEarlierUnknown{});
  }
  const std::size_t bytes = OnceEntryBytes(request.key, request.claim);
  if (journal_bytes_ + bytes > settings_.max_journal_bytes) {
    return OnceVerdict(OnceUndecided{});
  }
  journal_bytes_ += bytes;
  ClaimRecord& claimed = claims_[request.key];
  claimed.fingerprint = request.fingerprint;
  claimed.holder = request.claim;
  return RecordHolder(now, request, claimed);
}

OnceShardDecision OnceShard::ClaimKnown(Time now,
                                        const OnceClaimRequest& request,
                                        ClaimRecord& claimed) {
  if (claimed.fingerprint != request.fingerprint) {
    return OnceVerdict(OnceMismatch{});
  }
  const bool holder = claimed.holder == request.claim;
  switch (claimed.state) {
    case OnceClaimState::kClaimed:
      if (holder) {
        return OnceRecorded{claimed.version};
      }
      if (now < claimed.claimed_at + claimed.max_run_duration) {
        return OnceVerdict(OnceStillRunning{});
      }
      return OnceVerdict(OnceEarlierUnknown{});
    case OnceClaimState::kNotRun:
      if (holder) {
        return OnceVerdict(OnceUndecided{});
      }
      return RecordHolder(now, request, claimed);
    case OnceClaimState::kAnswered:
      if (claimed.answer) {
        return OnceVerdict(OnceReplayed{*claimed.answer});
      }
      return OnceVerdict(OnceAnswerEvicted{});
    case OnceClaimState::kMayHaveRun:
      return OnceVerdict(OnceEarlierUnknown{});
  }
  return OnceVerdict(OnceUndecided{});
}

OnceRecorded OnceShard::RecordHolder(Time now,
                                     const OnceClaimRequest& request,
                                     ClaimRecord& claimed) {
  journal_bytes_ -= claimed.holder.value().size();
  journal_bytes_ += request.claim.value().size();
  claimed.holder = request.claim;
  claimed.state = OnceClaimState::kClaimed;
  claimed.claimed_at = now;
  claimed.max_run_duration = request.max_run_duration;
  claimed.version = ++version_;
  expiries_.push_back(Expiry{now + settings_.window, request.key});
  return OnceRecorded{claimed.version};
}

void OnceShard::Finish(Time now, const OnceFinish& finish) {
  if (std::holds_alternative<OnceNotRun>(finish.outcome)) {
    RememberReturned(finish.claim);
  }
  const auto found = claims_.find(finish.key);
  if (found == claims_.end() || found->second.holder != finish.claim) {
    return;
  }
  ClaimRecord& claimed = found->second;
  // A late report never changes the state from run to not run.
  const bool open = claimed.state == OnceClaimState::kClaimed;
  const bool unknown = claimed.state == OnceClaimState::kMayHaveRun;
  const OnceClaimState before = claimed.state;
  std::visit(Overloaded{
                 [&](const OnceNotRun&) {
                   if (open) {
                     claimed.state = claimed.may_be_granted_elsewhere
                                         ? OnceClaimState::kMayHaveRun
                                         : OnceClaimState::kNotRun;
                   }
                 },
                 [&](const OnceAnswered& answered) {
                   if (open || unknown) {
                     claimed.state = OnceClaimState::kAnswered;
                     CacheAnswer(finish.key, claimed, answered.answer);
                   }
                 },
                 [&](const OnceAnsweredTooLarge&) {
                   if (open || unknown) {
                     claimed.state = OnceClaimState::kAnswered;
                   }
                 },
                 [&](const OnceMayHaveRun&) {
                   if (open) {
                     claimed.state = OnceClaimState::kMayHaveRun;
                   }
                 },
             },
             finish.outcome);
  if (claimed.state != before) {
    ++version_;
  }
  Tick(now);
}

void OnceShard::RememberReturned(const OnceClaimId& claim) {
  returned_.push_back(claim);
  if (returned_.size() > kMaxReturned) {
    returned_.pop_front();
  }
}

void OnceShard::CacheAnswer(const IdempotencyKey& key,
                            ClaimRecord& claimed,
                            const OnceAnswer& answer) {
  const std::size_t bytes = AnswerBytes(answer);
  if (bytes > settings_.max_answer_bytes) {
    return;
  }
  claimed.answer = answer;
  answer_bytes_ += bytes;
  answered_.push_back(key);
  while (answer_bytes_ > settings_.answer_cache_bytes) {
    DropOldestAnswer();
  }
}

void OnceShard::DropOldestAnswer() {
  const auto oldest = claims_.find(answered_.front());
  answered_.pop_front();
  if (oldest != claims_.end() && oldest->second.answer) {
    answer_bytes_ -= AnswerBytes(*oldest->second.answer);
    oldest->second.answer.reset();
  }
}

void OnceShard::Tick(Time now) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const IdempotencyKey key = std::move(expiries_.front().key);
    expiries_.pop_front();
    const auto found = claims_.find(key);
    if (found == claims_.end() ||
        now < found->second.claimed_at + settings_.window) {
      continue;
    }
    if (found->second.answer) {
      answer_bytes_ -= AnswerBytes(*found->second.answer);
    }
    journal_bytes_ -= OnceEntryBytes(key, found->second.holder);
    claims_.erase(found);
  }
  DropEvictedAnswers();
}

void OnceShard::DropEvictedAnswers() {
  while (!answered_.empty()) {
    const auto oldest = claims_.find(answered_.front());
    if (oldest != claims_.end() && oldest->second.answer) {
      return;
    }
    answered_.pop_front();
  }
}

void OnceShard::Load(Time now, const std::vector<OnceEntry>& entries) {
  ++version_;
  for (const OnceEntry& entry : entries) {
    ClaimRecord claimed;
    claimed.fingerprint = entry.fingerprint;
    claimed.holder = entry.holder;
    claimed.state = entry.state;
    claimed.claimed_at = now;
    claimed.max_run_duration = kLoadedClaimRunDuration;
    claimed.version = version_;
    claims_[entry.key] = std::move(claimed);
    journal_bytes_ += OnceEntryBytes(entry.key, entry.holder);
    expiries_.push_back(Expiry{now + settings_.window, entry.key});
  }
}

void OnceShard::RefuseUnknownKeys(Time last_grant) {
  refuse_unknown_until_ = last_grant + settings_.window;
  for (auto& [key, claimed] : claims_) {
    if (claimed.state == OnceClaimState::kNotRun) {
      claimed.state = OnceClaimState::kMayHaveRun;
    }
    claimed.may_be_granted_elsewhere = true;
  }
}

bool OnceShard::refuses_unknown_keys(Time now) const {
  return refuse_unknown_until_ && now < *refuse_unknown_until_;
}

std::vector<OnceEntry> OnceShard::Entries() const {
  std::vector<OnceEntry> entries;
  entries.reserve(claims_.size());
  for (const auto& [key, claimed] : claims_) {
    entries.push_back(
        OnceEntry{key, claimed.fingerprint, claimed.holder, claimed.state});
  }
  return entries;
}

}  // namespace gcw
