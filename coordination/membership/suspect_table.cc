#include "coordination/membership/suspect_table.h"

#include <algorithm>
#include <utility>

namespace gcw {

SuspectTable::SuspectTable(SuspectSettings settings) : settings_(settings) {}

void SuspectTable::AddSharedLoss(Time now, Fingerprint fingerprint) {
  const std::int64_t losses =
      std::max<std::int64_t>(1, Losses(now, fingerprint));
  Set(fingerprint, losses, now + settings_.expiry);
}

void SuspectTable::AddSoleSuspectLoss(Time now, Fingerprint fingerprint) {
  Set(fingerprint, Losses(now, fingerprint) + 1, now + settings_.expiry);
}

void SuspectTable::Clear(Time now, Fingerprint fingerprint) {
  if (Level(now, fingerprint) != SuspectLevel::kBlocked) {
    suspects_.erase(fingerprint);
  }
}

// Deltas of different nodes arrive in any order. A late "cleared" must not undo
// a block, so that only expiry and the operators lift one. A late "suspected"
// makes a cleared request run under watch once more, which costs it a wait.
void SuspectTable::Merge(Time now, const FingerprintDelta& delta) {
  if (!delta.blocked && delta.losses == 0) {
    Clear(now, delta.fingerprint);
    return;
  }
  const std::int64_t min_losses = delta.blocked ? settings_.block_threshold : 1;
  const std::int64_t losses =
      std::max({min_losses, delta.losses, Losses(now, delta.fingerprint)});
  Set(delta.fingerprint, losses, now + delta.time_to_live);
}

SuspectLevel SuspectTable::Level(Time now, Fingerprint fingerprint) const {
  if (allowed_.contains(fingerprint)) {
    return SuspectLevel::kNone;
  }
  const std::int64_t losses = Losses(now, fingerprint);
  if (losses >= settings_.block_threshold) {
    return SuspectLevel::kBlocked;
  }
  return losses > 0 ? SuspectLevel::kSuspect : SuspectLevel::kNone;
}

FingerprintDelta SuspectTable::Delta(Time now, Fingerprint fingerprint) const {
  FingerprintDelta delta;
  delta.fingerprint = fingerprint;
  delta.losses = Losses(now, fingerprint);
  delta.blocked = delta.losses >= settings_.block_threshold;
  const auto found = suspects_.find(fingerprint);
  if (found != suspects_.end()) {
    delta.time_to_live = found->second.expires - now;
  }
  return delta;
}

void SuspectTable::SetAllowed(std::set<Fingerprint> allowed) {
  allowed_ = std::move(allowed);
}

void SuspectTable::Tick(Time now) {
  std::erase_if(suspects_, [now](const auto& suspect) {
    return suspect.second.expires <= now;
  });
}

std::int64_t SuspectTable::Losses(Time now, Fingerprint fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found == suspects_.end() || found->second.expires <= now
             ? 0
             : found->second.losses;
}

void SuspectTable::Set(Fingerprint fingerprint,
                       std::int64_t losses,
                       Time expires) {
  if (suspects_.size() >= settings_.max_suspects &&
      !suspects_.contains(fingerprint)) {
    return;
  }
  Suspect& suspect = suspects_[fingerprint];
  suspect.losses = losses;
  suspect.expires = std::max(suspect.expires, expires);
}

}  // namespace gcw
