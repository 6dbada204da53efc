#include "coordination/gateway/crash_evidence.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gcw {
namespace {

constexpr Duration kExpiryInterval = Duration::Seconds(1);

}  // namespace

CrashEvidence::CrashEvidence(CrashEvidenceSettings settings)
    : settings_(settings) {}

bool CrashEvidence::AddCrash(Time now,
                             const CrashSuspect& suspect,
                             const CrashId& crash) {
  const bool is_news = Advance(now, suspect.fingerprint, crash,
                               {.state = CrashState::kConfirmed,
                                .at = now,
                                .is_own = true,
                                .is_apart = suspect.is_apart});
  SetPart(suspect);
  return is_news;
}

void CrashEvidence::AddUnconfirmedCrash(Time now,
                                        const CrashSuspect& suspect,
                                        const CrashId& crash) {
  const bool is_suspected = CountCrashes(now, suspect.fingerprint) > 0;
  if (!is_suspected && !IsPartFingerprint(suspect.fingerprint)) {
    return;
  }
  Advance(now, suspect.fingerprint, crash,
          {.state = CrashState::kUnconfirmed,
           .at = now,
           .is_own = true,
           .is_apart = suspect.is_apart,
           .is_quiet = !is_suspected});
  SetPart(suspect);
}

bool CrashEvidence::AddLikelyCrash(Time now,
                                   const CrashSuspect& suspect,
                                   const CrashId& crash) {
  const bool is_news = Advance(now, suspect.fingerprint, crash,
                               {.state = CrashState::kUnconfirmed,
                                .at = now,
                                .is_own = true,
                                .is_apart = suspect.is_apart});
  SetPart(suspect);
  return is_news;
}

void CrashEvidence::SetPart(const CrashSuspect& suspect) {
  const auto found = requests_.find(suspect.fingerprint);
  if (found != requests_.end()) {
    found->second.part = suspect.part;
  }
}

bool CrashEvidence::MarkHarmless(Time now,
                                 Fingerprint fingerprint,
                                 Time began,
                                 const std::set<CrashId>& recorded) {
  std::set<CrashId> cleared = recorded;
  if (const auto found = requests_.find(fingerprint);
      found != requests_.end()) {
    for (const auto& [id, crash] : found->second.crashes) {
      if (Counts(now, crash) && crash.at <= began) {
        cleared.insert(id);
      } else if (crash.at > began) {
        cleared.erase(id);
      }
    }
  }
  bool is_news = false;
  for (const CrashId& crash : cleared) {
    is_news |= Advance(now, fingerprint, crash,
                       {.state = CrashState::kCleared, .at = now});
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
    Crash& current = known->second;
    const bool is_open = current.state != CrashState::kCleared;
    const bool is_news = crash.state > current.state ||
                         (is_open && ((crash.is_apart && !current.is_apart) ||
                                      (current.is_quiet && !crash.is_quiet)));
    if (!is_news) {
      return false;
    }
    current.state = std::max(current.state, crash.state);
    current.is_own |= crash.is_own;
    current.is_apart |= crash.is_apart;
    current.is_quiet &= crash.is_quiet;
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
  ++changes_;
  if (!crash.is_quiet) {
    OnNews(now, fingerprint);
  }
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
                         {.state = report.state,
                          .at = now - report.age,
                          .is_apart = report.is_apart});
    }
    if (is_news) {
      SetPart({notice.fingerprint, notice.part});
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
    DropLeastSuspect(now);
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

void CrashEvidence::DropLeastSuspect(Time now) {
  const auto dropped = std::min_element(
      requests_.begin(), requests_.end(), [&](const auto& a, const auto& b) {
        return std::pair(CountCrashes(now, a.second), a.second.last_news) <
               std::pair(CountCrashes(now, b.second), b.second.last_news);
      });
  news_.erase(dropped->first);
  repeats_.erase(dropped->first);
  requests_.erase(dropped);
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
                                        const Request& request) const {
  return static_cast<std::size_t>(std::count_if(
      request.crashes.begin(), request.crashes.end(),
      [&](const auto& crash) { return Counts(now, crash.second); }));
}

std::size_t CrashEvidence::CountCrashes(Time now,
                                        Fingerprint fingerprint) const {
  const auto found = requests_.find(fingerprint);
  return found == requests_.end() ? 0 : CountCrashes(now, found->second);
}

std::vector<SuspectPart> CrashEvidence::SuspectParts(Time now) const {
  std::vector<SuspectPart> parts;
  for (const auto& [fingerprint, request] : requests_) {
    if (!IsPartFingerprint(fingerprint)) {
      continue;
    }
    SuspectPart part;
    part.fingerprint = fingerprint;
    for (const auto& [id, crash] : request.crashes) {
      if (Counts(now, crash)) {
        (crash.is_apart ? part.apart_crashes : part.other_crashes).insert(id);
      }
    }
    // A single round shows nothing.
    if (!part.apart_crashes.empty()) {
      parts.push_back(std::move(part));
    }
  }
  return parts;
}

std::int64_t CrashEvidence::CountCrashesBeside(
    Time now,
    Fingerprint part,
    Duration time,
    std::set<CrashId> explained) const {
  const PromptPartId name = PartOf(part);
  for (const auto& [fingerprint, request] : requests_) {
    if (fingerprint == part || (!name.empty() && request.part == name)) {
      for (const auto& [id, crash] : request.crashes) {
        explained.insert(id);
      }
    }
  }
  std::set<CrashId> beside;
  for (const auto& [fingerprint, request] : requests_) {
    for (const auto& [id, crash] : request.crashes) {
      if (crash.state != CrashState::kUnconfirmed && now - crash.at <= time &&
          !explained.contains(id)) {
        beside.insert(id);
      }
    }
  }
  return std::ssize(beside);
}

std::size_t CrashEvidence::CountPartsApart(Time now,
                                           const CrashId& crash) const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(), [&](const auto& request) {
        const auto found = request.second.crashes.find(crash);
        return found != request.second.crashes.end() &&
               found->second.is_apart && Counts(now, found->second);
      }));
}

PromptPartId CrashEvidence::PartOf(Fingerprint fingerprint) const {
  const auto found = requests_.find(fingerprint);
  return found == requests_.end() ? PromptPartId() : found->second.part;
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
  const auto is_counted = [&](const auto& crash) {
    return Counts(now, crash.second) && !crash.second.is_quiet;
  };
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(), [&](const auto& entry) {
        const auto& crashes = entry.second.crashes;
        return std::any_of(crashes.begin(), crashes.end(), is_counted);
      }));
}

CrashNotice CrashEvidence::MakeNotice(Time now, Fingerprint fingerprint) const {
  const Request& request = requests_.at(fingerprint);
  CrashNotice notice;
  notice.fingerprint = fingerprint;
  notice.part = request.part;
  for (const auto& [id, crash] : request.crashes) {
    if (!crash.is_quiet) {
      notice.crashes.emplace(
          id, CrashReport{crash.state, now - crash.at, crash.is_apart});
    }
  }
  return notice;
}

std::vector<CrashNotice> CrashEvidence::NoticesOf(
    Time now,
    Fingerprint fingerprint) const {
  if (CountCrashes(now, fingerprint) == 0) {
    return {};
  }
  return {MakeNotice(now, fingerprint)};
}

std::vector<CrashNotice> CrashEvidence::TakeNotices(Time now) {
  std::vector<CrashNotice> notices;
  if (news_.empty() || (!has_urgent_news_ && now < next_notice_)) {
    return notices;
  }
  has_urgent_news_ = false;
  next_notice_ = now + settings_.notice_interval;
  // The suspects with the most crashes come first.
  std::vector<std::pair<std::size_t, Fingerprint>> news;
  for (const Fingerprint fingerprint : news_) {
    news.emplace_back(CountCrashes(now, fingerprint), fingerprint);
  }
  std::sort(news.begin(), news.end(), std::greater<>());
  news.resize(std::min(news.size(), settings_.max_notices));
  for (const auto& [crashes, fingerprint] : news) {
    news_.erase(fingerprint);
    notices.push_back(MakeNotice(now, fingerprint));
  }
  return notices;
}

}  // namespace gcw
