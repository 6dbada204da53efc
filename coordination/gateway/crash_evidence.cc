#include "coordination/gateway/crash_evidence.h"

#include <algorithm>

namespace gcw {
namespace {

constexpr Duration kExpiryInterval = Duration::Seconds(1);

}  // namespace

CrashEvidence::CrashEvidence(CrashEvidenceSettings settings)
    : settings_(settings) {}

bool CrashEvidence::AddCrash(Time now,
                             Fingerprint fingerprint,
                             const CrashId& crash) {
  return Advance(now, fingerprint, crash, {CrashState::kConfirmed, now, true});
}

void CrashEvidence::AddUnconfirmedCrash(Time now,
                                        Fingerprint fingerprint,
                                        const CrashId& crash) {
  if (CountCrashes(now, fingerprint) > 0) {
    Advance(now, fingerprint, crash, {CrashState::kUnconfirmed, now, true});
  }
}

bool CrashEvidence::AddLikelyCrash(Time now,
                                   Fingerprint fingerprint,
                                   const CrashId& crash) {
  return Advance(now, fingerprint, crash,
                 {CrashState::kUnconfirmed, now, true});
}

bool CrashEvidence::MarkHarmless(Time now,
                                 Fingerprint fingerprint,
                                 const std::set<CrashId>& recorded) {
  std::set<CrashId> crashes = Crashes(now, fingerprint);
  crashes.insert(recorded.begin(), recorded.end());
  bool is_news = false;
  for (const CrashId& crash : crashes) {
    is_news |=
        Advance(now, fingerprint, crash, {CrashState::kCleared, now, false});
  }
  return is_news;
}

bool CrashEvidence::Counts(Time now, const Crash& crash) const {
  switch (crash.state) {
    case CrashState::kUnconfirmed:
      return now - crash.at < settings_.unconfirmed_ttl;
    case CrashState::kConfirmed:
      return true;
    case CrashState::kCleared:
      return false;
  }
  return false;
}

bool CrashEvidence::Advance(Time now,
                            Fingerprint fingerprint,
                            const CrashId& id,
                            const Crash& crash) {
  Request& request = FindOrAdd(now, fingerprint);
  const auto known = request.crashes.find(id);
  if (known != request.crashes.end()) {
    if (crash.state <= known->second.state) {
      return false;
    }
    known->second.state = crash.state;
    known->second.is_own |= crash.is_own;
  } else {
    if (request.crashes.size() >= settings_.max_crashes) {
      std::erase_if(request.crashes, [&](const auto& each) {
        return !Counts(now, each.second);
      });
    }
    if (request.crashes.size() >= settings_.max_crashes) {
      return false;
    }
    request.crashes.emplace(id, crash);
  }
  OnNews(now, fingerprint);
  return true;
}

std::vector<Fingerprint> CrashEvidence::OnNotices(
    Time now,
    const std::vector<CrashNotice>& notices) {
  std::vector<Fingerprint> changed;
  for (const CrashNotice& notice : notices) {
    bool is_news = false;
    for (const auto& [id, report] : notice.crashes) {
      is_news |= Advance(now, notice.fingerprint, id,
                         {report.state, now - report.age, false});
    }
    if (is_news) {
      changed.push_back(notice.fingerprint);
    }
  }
  return changed;
}

CrashEvidence::Request& CrashEvidence::FindOrAdd(Time now,
                                                 Fingerprint fingerprint) {
  const auto found = requests_.find(fingerprint);
  if (found != requests_.end()) {
    return found->second;
  }
  if (requests_.size() >= settings_.max_requests) {
    DropOldest();
  }
  Request& added = requests_[fingerprint];
  added.last_news = now;
  return added;
}

void CrashEvidence::OnNews(Time now, Fingerprint fingerprint) {
  requests_.at(fingerprint).last_news = now;
  news_.insert(fingerprint);
  if (CountCrashes(now, fingerprint) >= settings_.urgent_crashes) {
    has_urgent_news_ = true;
    repeats_[fingerprint] = now + settings_.repeat_delay;
  }
}

void CrashEvidence::DropOldest() {
  const auto oldest = std::min_element(
      requests_.begin(), requests_.end(), [](const auto& a, const auto& b) {
        return a.second.last_news < b.second.last_news;
      });
  news_.erase(oldest->first);
  repeats_.erase(oldest->first);
  requests_.erase(oldest);
}

void CrashEvidence::Tick(Time now) {
  std::erase_if(repeats_, [&](const auto& repeat) {
    const bool is_due = now >= repeat.second;
    if (is_due) {
      news_.insert(repeat.first);
    }
    return is_due;
  });
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  std::erase_if(requests_, [&](const auto& entry) {
    const bool is_old = now - entry.second.last_news >= settings_.ttl;
    if (is_old) {
      news_.erase(entry.first);
      repeats_.erase(entry.first);
    }
    return is_old;
  });
}

std::set<CrashId> CrashEvidence::Crashes(Time now,
                                         Fingerprint fingerprint) const {
  std::set<CrashId> crashes;
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) {
    return crashes;
  }
  for (const auto& [id, crash] : found->second.crashes) {
    if (Counts(now, crash)) {
      crashes.insert(id);
    }
  }
  return crashes;
}

std::set<CrashId> CrashEvidence::OwnCrashes(Time now,
                                            Fingerprint fingerprint) const {
  std::set<CrashId> crashes = Crashes(now, fingerprint);
  std::erase_if(crashes, [&](const CrashId& id) {
    const Crash& crash = requests_.at(fingerprint).crashes.at(id);
    return !crash.is_own || crash.state != CrashState::kConfirmed;
  });
  return crashes;
}

std::size_t CrashEvidence::CountCrashes(Time now,
                                        Fingerprint fingerprint) const {
  return requests_.contains(fingerprint) ? Crashes(now, fingerprint).size() : 0;
}

bool CrashEvidence::Knows(Fingerprint fingerprint, const CrashId& crash) const {
  const auto found = requests_.find(fingerprint);
  if (found == requests_.end()) {
    return false;
  }
  // The confirmation of a crash may have been missed.
  const auto known = found->second.crashes.find(crash);
  return known != found->second.crashes.end() &&
         known->second.state != CrashState::kUnconfirmed;
}

bool CrashEvidence::IsHarmless(Time now, Fingerprint fingerprint) const {
  const auto found = requests_.find(fingerprint);
  return found != requests_.end() && Crashes(now, fingerprint).empty() &&
         std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                     [](const auto& crash) {
                       return crash.second.state == CrashState::kCleared;
                     });
}

std::size_t CrashEvidence::CountSuspects(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(), [this, now](const auto& entry) {
        return CountCrashes(now, entry.first) > 0;
      }));
}

std::vector<CrashNotice> CrashEvidence::TakeNotices(Time now) {
  std::vector<CrashNotice> notices;
  if (!has_urgent_news_ && now < next_notice_) {
    return notices;
  }
  has_urgent_news_ = false;
  next_notice_ = now + settings_.notice_interval;
  while (!news_.empty() && notices.size() < settings_.max_notices) {
    const Fingerprint fingerprint = *news_.begin();
    news_.erase(news_.begin());
    const Request& request = requests_.at(fingerprint);
    CrashNotice notice;
    notice.fingerprint = fingerprint;
    for (const auto& [id, crash] : request.crashes) {
      notice.crashes.emplace(id, CrashReport{crash.state, now - crash.at});
    }
    notices.push_back(std::move(notice));
  }
  return notices;
}

}  // namespace gcw
