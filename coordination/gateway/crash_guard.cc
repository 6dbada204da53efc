#include "coordination/gateway/crash_guard.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gcw {
namespace {

// Maximum number of fingerprints that one event lists.
constexpr std::size_t kMaxListedRequests = 8;
// The same for parts of prompts.
constexpr std::size_t kMaxListedParts = 32;
constexpr std::string_view kRanWithoutCrash = "ran_without_crash";
constexpr std::string_view kRecordRemoved = "record_removed";
constexpr std::string_view kOperator = "operator";

// Lists the whole requests among the suspects.
std::string ListRequests(const std::map<Fingerprint, CrashSuspect>& suspects) {
  std::string list;
  std::size_t listed = 0;
  for (const auto& [fingerprint, suspect] : suspects) {
    if (IsPartFingerprint(fingerprint)) {
      continue;
    }
    if (++listed > kMaxListedRequests) {
      return list + ",...";
    }
    list += (list.empty() ? "" : ",") + std::to_string(fingerprint.value());
  }
  return list;
}

// Lists the parts of prompts among the suspects.
std::string ListParts(const std::map<Fingerprint, CrashSuspect>& suspects) {
  std::string list;
  std::size_t listed = 0;
  for (const auto& [fingerprint, suspect] : suspects) {
    if (!IsPartFingerprint(fingerprint)) {
      continue;
    }
    if (++listed > kMaxListedParts) {
      return list + ",...";
    }
    list += (list.empty() ? "" : ",") + suspect.part.value();
  }
  return list;
}

std::int64_t CountRequests(
    const std::map<Fingerprint, CrashSuspect>& suspects) {
  return std::count_if(suspects.begin(), suspects.end(), [](const auto& entry) {
    return !IsPartFingerprint(entry.first);
  });
}

std::string ListCrashes(const std::set<CrashId>& crashes) {
  std::string list;
  for (const CrashId& crash : crashes) {
    list += (list.empty() ? "" : ",") + crash.vm.value();
  }
  return list;
}

}  // namespace

CrashGuard::CrashGuard(CrashGuardSettings settings,
                       IsExpectedToRun is_expected_to_run,
                       CountEndpoints count_endpoints,
                       CrashRecordCodec codec,
                       const Random& random,
                       EventSink events)
    : settings_(settings),
      is_expected_to_run_(std::move(is_expected_to_run)),
      count_endpoints_(std::move(count_endpoints)),
      events_(std::move(events)),
      detector_(settings.detector),
      evidence_(settings.evidence),
      records_(settings.records,
               std::move(codec),
               static_cast<std::int64_t>(random() & kFingerprintMask)),
      proofs_(settings.max_remembered_proofs) {}

// Requests --------------------------------------------------------------------

CrashVerdict CrashGuard::Judge(Time now, Fingerprint fingerprint) const {
  if (evidence_.IsHarmless(now, fingerprint)) {
    return CrashVerdict::kAllowed;
  }
  if (IsPartFingerprint(fingerprint)) {
    return JudgePart(now, fingerprint);
  }
  switch (records_.StateOf(now, fingerprint)) {
    case CrashRecords::State::kBlocked:
      return CrashVerdict::kBlocked;
    case CrashRecords::State::kNeedsTrial:
    case CrashRecords::State::kTrialRuns:
      return CrashVerdict::kNeedsTrial;
    case CrashRecords::State::kOpen:
      break;
  }
  return MustBeTried(now, fingerprint) ? CrashVerdict::kNeedsTrial
                                       : CrashVerdict::kAllowed;
}

CrashVerdict CrashGuard::JudgePart(Time now, Fingerprint part) const {
  if (records_.Find(part) == nullptr &&
      evidence_.CountCrashes(now, part) == 0) {
    return CrashVerdict::kAllowed;
  }
  const std::size_t rounds = UnexplainedRounds(now, part);
  const CrashRecords::State state = records_.StateOf(now, part);
  if (rounds > 0 && state == CrashRecords::State::kBlocked) {
    return CrashVerdict::kBlocked;
  }
  const bool was_tried = rounds > 0 && state != CrashRecords::State::kOpen;
  return was_tried || rounds >= settings_.part_trial_rounds
             ? CrashVerdict::kNeedsTrial
             : CrashVerdict::kApart;
}

std::size_t CrashGuard::UnexplainedRounds(Time now, Fingerprint part) const {
  UpdateRounds(now);
  const auto found = part_rounds_.find(part);
  return found == part_rounds_.end() ? 0 : found->second;
}

void CrashGuard::UpdateRounds(Time now) const {
  const std::pair changes(evidence_.changes(), records_.changes());
  if (changes == rounds_changes_ &&
      now - rounds_updated_ < settings_.rounds_ttl) {
    return;
  }
  rounds_changes_ = changes;
  rounds_updated_ = now;
  std::map<Fingerprint, SuspectPart> parts;
  for (SuspectPart& part : evidence_.SuspectParts(now)) {
    const Fingerprint fingerprint = part.fingerprint;
    parts.emplace(fingerprint, std::move(part));
  }
  for (const Fingerprint recorded : records_.All()) {
    if (!IsPartFingerprint(recorded) || evidence_.IsHarmless(now, recorded)) {
      continue;
    }
    SuspectPart& part = parts[recorded];
    part.fingerprint = recorded;
    part.is_blocked = records_.BlockedFor(now, recorded) > Duration();
    // Nodes that start know only the records.
    for (const CrashId& crash : KnownCrashes(now, recorded)) {
      if (!part.other_crashes.contains(crash)) {
        part.apart_crashes.insert(crash);
      }
    }
  }
  std::vector<SuspectPart> candidates;
  candidates.reserve(parts.size());
  for (auto& [fingerprint, part] : parts) {
    candidates.push_back(std::move(part));
  }
  part_rounds_ =
      CountUnexplainedRounds(candidates, settings_.part_trial_rounds);
}

CrashJudgement CrashGuard::Judge(
    Time now,
    const std::vector<CrashSuspect>& suspects) const {
  CrashJudgement judgement;
  for (const CrashSuspect& suspect : suspects) {
    const CrashVerdict verdict = Judge(now, suspect.fingerprint);
    // Later parts are shared by fewer requests.
    const bool is_likelier =
        verdict == judgement.verdict &&
        proofs_.LastProof(suspect.fingerprint) <=
            proofs_.LastProof(judgement.suspect.fingerprint);
    if (verdict > judgement.verdict || is_likelier) {
      judgement = {verdict, suspect};
    }
  }
  return judgement;
}

bool CrashGuard::MustBeTried(Time now, Fingerprint fingerprint) const {
  if (IsPartFingerprint(fingerprint)) {
    return UnexplainedRounds(now, fingerprint) >= settings_.part_trial_rounds;
  }
  const std::int64_t trial_crashes = records_.MayLackEvidence(now)
                                         ? settings_.cautious_trial_crashes
                                         : settings_.trial_crashes;
  return std::ssize(KnownCrashes(now, fingerprint)) >= trial_crashes;
}

CrashSuspect CrashGuard::SuspectOf(Fingerprint fingerprint) const {
  const CrashRecord* record = records_.Find(fingerprint);
  const PromptPartId part = evidence_.PartOf(fingerprint);
  return {.fingerprint = fingerprint,
          .part = part.empty() && record != nullptr ? record->part : part};
}

std::set<CrashId> CrashGuard::KnownCrashes(Time now,
                                           Fingerprint fingerprint) const {
  std::set<CrashId> crashes = evidence_.Crashes(now, fingerprint);
  const CrashRecord* record = records_.Find(fingerprint);
  if (record == nullptr || evidence_.IsHarmless(now, fingerprint)) {
    return crashes;
  }
  for (const CrashId& crash : record->crashes) {
    if (!evidence_.Knows(fingerprint, crash)) {
      crashes.insert(crash);
    }
  }
  return crashes;
}

bool CrashGuard::Wait(Time now, ForwardId id, const CrashSuspect& suspect) {
  if (waiting_.size() >= settings_.max_waiting) {
    return false;
  }
  ReportSuspicion(now, suspect.fingerprint);
  waiting_[id] = {suspect, now, now + settings_.max_wait};
  Review(now, suspect.fingerprint);
  return true;
}

void CrashGuard::ExtendWaits(Time now, Fingerprint fingerprint) {
  if (records_.StateOf(now, fingerprint) != CrashRecords::State::kTrialRuns) {
    return;
  }
  for (auto& [id, waiting] : waiting_) {
    if (waiting.suspect.fingerprint == fingerprint) {
      waiting.deadline = std::min(now + settings_.max_wait,
                                  waiting.started + settings_.max_trial_wait);
    }
  }
}

void CrashGuard::Review(Time now, Fingerprint fingerprint) {
  ReportBlock(now, fingerprint);
  ExtendWaits(now, fingerprint);
  std::vector<ForwardId> copies;
  for (const auto& [id, waiting] : waiting_) {
    if (waiting.suspect.fingerprint == fingerprint) {
      copies.push_back(id);
    }
  }
  for (const ForwardId id : copies) {
    const CrashVerdict verdict = Judge(now, fingerprint);
    if (verdict != CrashVerdict::kNeedsTrial) {
      Decide(id, fingerprint, verdict != CrashVerdict::kBlocked, false);
    } else if (records_.HoldsTrial(fingerprint) &&
               !trials_.contains(fingerprint)) {
      trials_.emplace(fingerprint, CrashId());
      Decide(id, fingerprint, true, true);
    } else if (now >= waiting_.at(id).deadline) {
      const bool is_untried = MayRunUntried(now, fingerprint);
      Decide(id, fingerprint, is_untried, false, is_untried);
    } else if (!IsTrialUndecided(fingerprint) &&
               records_.RequestTrial(now, waiting_.at(id).suspect,
                                     KnownCrashes(now, fingerprint))) {
      trials_.erase(fingerprint);
    }
  }
}

bool CrashGuard::IsTrialUndecided(Fingerprint fingerprint) const {
  const auto trial = trials_.find(fingerprint);
  return trial != trials_.end() && detector_.IsUndecided(trial->second.vm);
}

void CrashGuard::Decide(ForwardId id,
                        Fingerprint fingerprint,
                        bool may_run,
                        bool is_trial,
                        bool is_untried) {
  waiting_.erase(id);
  decisions_.push_back({id, fingerprint, may_run, is_trial, is_untried});
}

// A request that would not be restricted if no evidence were missing is not
// refused because the service granted no trial.
bool CrashGuard::MayRunUntried(Time now, Fingerprint fingerprint) const {
  return MayRetryAsTrial(now, fingerprint) &&
         records_.StateOf(now, fingerprint) == CrashRecords::State::kOpen &&
         std::ssize(KnownCrashes(now, fingerprint)) < settings_.trial_crashes;
}

std::vector<CrashDecision> CrashGuard::TakeDecisions() {
  return std::exchange(decisions_, {});
}

void CrashGuard::OnTrialSent(Fingerprint fingerprint,
                             const EndpointRun& endpoint) {
  trials_[fingerprint] = {endpoint.vm, endpoint.incarnation};
  events_({EventKind::kFingerprintTried,
           std::to_string(fingerprint.value()),
           {},
           {{"vm", endpoint.vm.value()}}});
}

void CrashGuard::OnTrialUnused(Time now, Fingerprint fingerprint) {
  trials_.erase(fingerprint);
  // A copy that waits here takes the trial over.
  Review(now, fingerprint);
  if (!trials_.contains(fingerprint)) {
    records_.ReturnTrial(fingerprint);
  }
}

void CrashGuard::OnTrialRan(Time now, Fingerprint fingerprint) {
  if (Judge(now, fingerprint) == CrashVerdict::kNeedsTrial) {
    OnTrialUnused(now, fingerprint);
  }
}

void CrashGuard::OnBroken(Time now, const BrokenAttempt& attempt) {
  if (!is_expected_to_run_(attempt.endpoint)) {
    return;
  }
  const CrashId crash = {attempt.endpoint.vm, attempt.endpoint.incarnation};
  for (const CrashSuspect& suspect : attempt.suspects) {
    if (MayRetryAsTrial(now, suspect.fingerprint)) {
      // It may have crashed endpoints before.
      evidence_.AddLikelyCrash(now, suspect, crash);
    } else {
      evidence_.AddUnconfirmedCrash(now, suspect, crash);
    }
  }
  detector_.OnBroken(now, attempt);
  HandleCrashes(now);
}

void CrashGuard::OnHarmless(Time now, Fingerprint fingerprint) {
  if (evidence_.IsHarmless(now, fingerprint)) {
    return;
  }
  if (evidence_.CountCrashes(now, fingerprint) > 0 ||
      records_.Find(fingerprint) != nullptr) {
    Clear(now, fingerprint, now, kRanWithoutCrash);
  }
}

void CrashGuard::OnPartsHarmless(Time now,
                                 Time began,
                                 const std::vector<CrashSuspect>& suspects) {
  for (const CrashSuspect& suspect : suspects) {
    const Fingerprint fingerprint = suspect.fingerprint;
    if (!IsPartFingerprint(fingerprint)) {
      continue;
    }
    proofs_.OnProven(now, fingerprint);
    if (evidence_.CountCrashes(now, fingerprint) > 0 ||
        (records_.Find(fingerprint) != nullptr &&
         !evidence_.IsHarmless(now, fingerprint))) {
      Clear(now, fingerprint, began, kRanWithoutCrash);
    }
  }
}

void CrashGuard::Clear(Time now,
                       Fingerprint fingerprint,
                       Time began,
                       std::string_view reason) {
  const bool was_restricted = Judge(now, fingerprint) > CrashVerdict::kApart;
  const CrashRecord* record = records_.Find(fingerprint);
  const bool is_recorded =
      record != nullptr && records_.SeenAt(fingerprint) <= began;
  evidence_.MarkHarmless(now, fingerprint, began,
                         is_recorded ? record->crashes : std::set<CrashId>());
  const bool has_later_crashes =
      evidence_.CountCrashes(now, fingerprint) > 0 ||
      (record != nullptr && !record->crashes.empty() &&
       !evidence_.IsHarmless(now, fingerprint));
  if (has_later_crashes) {
    return;
  }
  records_.Remove(now, fingerprint);
  trials_.erase(fingerprint);
  reported_suspicions_.erase(fingerprint);
  if (was_restricted) {
    events_({EventKind::kFingerprintUnblocked,
             std::to_string(fingerprint.value()),
             {},
             {{"reason", std::string(reason)},
              {"part", SuspectOf(fingerprint).part.value()}}});
  }
  Review(now, fingerprint);
}

Duration CrashGuard::RetryAfter(Time now, Fingerprint fingerprint) const {
  return std::max(records_.BlockedFor(now, fingerprint),
                  settings_.trial_retry_after);
}

EventId CrashGuard::CauseOfRefusal(Fingerprint fingerprint) const {
  for (const auto* reported : {&reported_blocks_, &reported_suspicions_}) {
    const auto found = reported->find(fingerprint);
    if (found != reported->end()) {
      return found->second;
    }
  }
  return EventId();
}

// Crashes ---------------------------------------------------------------------

void CrashGuard::OnCheckReply(Time now, const VmId& vm, ProbeResult result) {
  detector_.OnCheckReply(now, vm, result);
  HandleCrashes(now);
}

void CrashGuard::OnRegistration(Time now,
                                const VmId& vm,
                                std::optional<Incarnation> run) {
  detector_.OnRegistration(now, vm, run);
  HandleCrashes(now);
}

void CrashGuard::HandleCrashes(Time now) {
  HandleRefusals(now);
  for (const EndpointCrash& crash : detector_.TakeCrashes()) {
    events_({EventKind::kEndpointCrashed,
             crash.endpoint.vm.value(),
             {},
             {{"evidence", std::string(crash.evidence)},
              {"incarnation", crash.endpoint.incarnation.value()},
              {"broken_requests", crash.broken_attempts},
              {"suspects", CountRequests(crash.suspects)},
              {"fingerprints", ListRequests(crash.suspects)},
              {"parts", ListParts(crash.suspects)}}});
    for (const auto& [fingerprint, suspect] : crash.suspects) {
      OnSuspectCrash(now, suspect,
                     {crash.endpoint.vm, crash.endpoint.incarnation});
    }
  }
}

void CrashGuard::HandleRefusals(Time now) {
  for (const EndpointCrash& refusal : detector_.TakeRefusals()) {
    const CrashId crash = {refusal.endpoint.vm, refusal.endpoint.incarnation};
    for (const auto& [fingerprint, suspect] : refusal.suspects) {
      const auto trial = trials_.find(fingerprint);
      // The endpoint of a trial crashed under a request that had crashed
      // others. The next copy must not be tried out before the trial counts.
      if (trial != trials_.end() && trial->second == crash &&
          !paths_in_doubt_) {
        detector_.ConfirmRefused(crash.vm);
        continue;
      }
      if (evidence_.AddLikelyCrash(now, suspect, crash)) {
        Review(now, fingerprint);
      }
    }
  }
}

void CrashGuard::OnSuspectCrash(Time now,
                                const CrashSuspect& suspect,
                                const CrashId& crash) {
  const Fingerprint fingerprint = suspect.fingerprint;
  const bool is_news = evidence_.AddCrash(now, suspect, crash);
  const auto trial = trials_.find(fingerprint);
  if (trial != trials_.end() && trial->second == crash) {
    OnTrialCrashed(now, fingerprint, crash);
  }
  if (!is_news) {
    return;
  }
  RecordOwnCrashes(now, fingerprint);
  if (MustBeTried(now, fingerprint)) {
    ReportSuspicion(now, fingerprint);
  }
  Review(now, fingerprint);
}

void CrashGuard::OnTrialCrashed(Time now,
                                Fingerprint fingerprint,
                                const CrashId& crash) {
  const std::int64_t needed = NeededFailures(now, fingerprint, crash);
  const bool is_explained =
      IsPartFingerprint(fingerprint) &&
      UnexplainedRounds(now, fingerprint) < settings_.part_trial_rounds;
  if (needed > settings_.max_needed_failures || is_explained) {
    OnTrialUnused(now, fingerprint);
    return;
  }
  // The trial stays until its failure is written, so that no copy takes it
  // over.
  trials_[fingerprint] = CrashId();
  records_.OnTrialFailed(now, fingerprint, KnownCrashes(now, fingerprint),
                         needed);
}

std::int64_t CrashGuard::NeededFailures(Time now,
                                        Fingerprint fingerprint,
                                        const CrashId& crash) const {
  if (!IsPartFingerprint(fingerprint)) {
    // A request that was tried out after fewer crashes than usual may have been
    // beside another one at both endpoints. A block after its first failed
    // trial refuses healthy requests.
    const bool is_known =
        std::ssize(KnownCrashes(now, fingerprint)) >= settings_.trial_crashes;
    return is_known ? 1 : 2;
  }
  std::set<CrashId> explained;
  for (const Fingerprint blocked : records_.Blocked(now)) {
    explained.merge(KnownCrashes(now, blocked));
  }
  const std::int64_t beside = evidence_.CountCrashesBeside(
      now, fingerprint, settings_.beside_time, std::move(explained));
  const auto endpoints =
      static_cast<double>(std::max<std::size_t>(1, count_endpoints_(crash.vm)));
  const double chance = static_cast<double>(beside) / endpoints *
                        static_cast<double>(settings_.trial_time.millis()) /
                        static_cast<double>(settings_.beside_time.millis());
  // Another suspect may have ended the endpoint.
  std::int64_t needed = evidence_.CountPartsApart(now, crash) > 1 ? 2 : 1;
  for (double all_by_chance = chance; all_by_chance > settings_.max_chance &&
                                      needed <= settings_.max_needed_failures;
       all_by_chance *= chance) {
    ++needed;
  }
  return needed;
}

void CrashGuard::ReportSuspicion(Time now, Fingerprint fingerprint) {
  if (reported_suspicions_.contains(fingerprint)) {
    return;
  }
  const std::set<CrashId> crashes = KnownCrashes(now, fingerprint);
  reported_suspicions_[fingerprint] =
      events_({EventKind::kFingerprintSuspected,
               std::to_string(fingerprint.value()),
               {},
               {{"crashes", static_cast<std::int64_t>(crashes.size())},
                {"vms", ListCrashes(crashes)},
                {"part", SuspectOf(fingerprint).part.value()}}});
}

void CrashGuard::ForgetSuspicions(Time now) {
  std::erase_if(reported_suspicions_, [&](const auto& reported) {
    return Judge(now, reported.first) <= CrashVerdict::kApart;
  });
}

// Only nodes that noticed a crash write it, so that a record has few writers.
void CrashGuard::RecordOwnCrashes(Time now, Fingerprint fingerprint) {
  const std::set<CrashId> crashes = KnownCrashes(now, fingerprint);
  const bool must_record =
      IsPartFingerprint(fingerprint)
          ? MustBeTried(now, fingerprint)
          : std::ssize(crashes) >= settings_.recorded_crashes;
  if (must_record && !evidence_.OwnCrashes(now, fingerprint).empty()) {
    records_.Record(now, SuspectOf(fingerprint), crashes);
  }
}

void CrashGuard::OnNotices(Time now, const std::vector<CrashNotice>& notices) {
  for (const Fingerprint fingerprint : evidence_.OnNotices(now, notices)) {
    Review(now, fingerprint);
  }
}

// Records ---------------------------------------------------------------------

void CrashGuard::OnRecordPut(Time now, const StoreEntry& entry) {
  if (const auto fingerprint = records_.OnPut(now, entry)) {
    RecordOwnCrashes(now, *fingerprint);
    Review(now, *fingerprint);
  }
}

void CrashGuard::OnRecordDeleted(Time now, const std::string& key) {
  const auto fingerprint = records_.OnDeleted(key);
  if (fingerprint && !evidence_.IsHarmless(now, *fingerprint)) {
    Clear(now, *fingerprint, now, kRecordRemoved);
  }
}

void CrashGuard::OnStoreReply(Time now,
                              StoreCallId id,
                              const StoreReply& reply) {
  const auto fingerprint = records_.OnStoreReply(now, id, reply);
  if (!fingerprint) {
    return;
  }
  const CrashRecord* record = records_.Find(*fingerprint);
  if (record != nullptr && evidence_.IsHarmless(now, *fingerprint)) {
    // The request was cleared while its record was written.
    records_.Remove(now, *fingerprint);
  } else if (record != nullptr) {
    RecordOwnCrashes(now, *fingerprint);
  }
  Review(now, *fingerprint);
}

void CrashGuard::ReportBlock(Time now, Fingerprint fingerprint) {
  const Duration remaining = records_.BlockedFor(now, fingerprint);
  if (remaining <= Duration()) {
    reported_blocks_.erase(fingerprint);
    return;
  }
  if (reported_blocks_.contains(fingerprint)) {
    return;
  }
  const CrashRecord& record = *records_.Find(fingerprint);
  reported_blocks_[fingerprint] =
      events_({EventKind::kFingerprintBlocked,
               std::to_string(fingerprint.value()),
               {},
               {{"vms", ListCrashes(record.crashes)},
                {"failed_trials", record.failed_trials},
                {"blocked_ms", remaining.millis()},
                {"part", record.part.value()}}});
}

void CrashGuard::Tick(Time now, bool paths_in_doubt) {
  paths_in_doubt_ = paths_in_doubt;
  detector_.Tick(now, paths_in_doubt);
  HandleCrashes(now);
  evidence_.Tick(now);
  records_.Tick(now);
  ForgetSuspicions(now);
  std::set<Fingerprint> due;
  for (const auto& [id, waiting] : waiting_) {
    due.insert(waiting.suspect.fingerprint);
  }
  for (const auto& [fingerprint, event] : reported_blocks_) {
    due.insert(fingerprint);
  }
  for (const Fingerprint fingerprint : due) {
    Review(now, fingerprint);
  }
}

bool CrashGuard::Lift(Time now, Fingerprint fingerprint) {
  if (evidence_.CountCrashes(now, fingerprint) == 0 &&
      records_.Find(fingerprint) == nullptr) {
    return false;
  }
  Clear(now, fingerprint, now, kOperator);
  return true;
}

std::vector<CrashBlock> CrashGuard::Blocks(Time now) const {
  std::vector<CrashBlock> blocks;
  for (const Fingerprint fingerprint : records_.All()) {
    blocks.push_back({fingerprint, *records_.Find(fingerprint),
                      records_.BlockedFor(now, fingerprint)});
  }
  return blocks;
}

}  // namespace gcw
