#include "coordination/gateway/crash_records.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "coordination/gateway/gateway_keys.h"

namespace gcw {
namespace {

// Nodes that start in the same outage report the loss within this time.
constexpr Duration kSameOutage = Duration::Seconds(60);

}  // namespace

CrashRecords::CrashRecords(CrashRecordsSettings settings,
                           CrashRecordCodec codec,
                           std::int64_t self)
    : settings_(settings), codec_(std::move(codec)), self_(self) {}

std::string CrashRecords::KeyOf(Fingerprint fingerprint) {
  return std::string(kCrashRecordPrefix) + std::to_string(fingerprint.value());
}

std::optional<Fingerprint> CrashRecords::FingerprintOf(std::string_view key) {
  key.remove_prefix(std::min(key.size(), kCrashRecordPrefix.size()));
  std::int64_t value = 0;
  const auto read = std::from_chars(key.data(), key.data() + key.size(), value);
  if (read.ec != std::errc() || read.ptr != key.data() + key.size()) {
    return std::nullopt;
  }
  return Fingerprint(value);
}

// Reading ---------------------------------------------------------------------

std::optional<Fingerprint> CrashRecords::OnPut(Time now,
                                               const StoreEntry& entry) {
  if (entry.key == kLostEvidenceKey) {
    AdoptLostEvidence(now, entry);
    return std::nullopt;
  }
  const std::optional<Fingerprint> fingerprint = FingerprintOf(entry.key);
  if (!fingerprint) {
    return std::nullopt;
  }
  const auto known = records_.find(*fingerprint);
  if (known != records_.end() && entry.revision <= known->second.revision) {
    return std::nullopt;
  }
  Adopt(now, *fingerprint, entry);
  return fingerprint;
}

void CrashRecords::Adopt(Time now,
                         Fingerprint fingerprint,
                         const StoreEntry& entry) {
  std::optional<CrashRecord> decoded = codec_.decode(entry.value);
  // A record that cannot be read restricts nothing, and its key is written anew
  // when the next crash is recorded.
  const CrashRecord record = std::move(decoded).value_or(CrashRecord());
  records_[fingerprint] = {record, entry.revision, now};
  ++changes_;
  if (!record.trial_is_open || record.trial_holder != self_) {
    held_trials_.erase(fingerprint);
  } else if (!HoldsTrial(fingerprint) && !IsWriting(fingerprint)) {
    // The service granted the trial without this node's knowledge.
    ReleaseTrial(fingerprint);
  }
}

void CrashRecords::ReleaseTrial(Fingerprint fingerprint) {
  CrashRecord record = *Find(fingerprint);
  --record.trials;
  record.trial_is_open = false;
  Put(fingerprint, Purpose::kRecord, std::move(record));
}

std::optional<Fingerprint> CrashRecords::OnDeleted(const std::string& key) {
  if (key == kLostEvidenceKey) {
    lost_evidence_.until = Time();
    lost_evidence_.revision = Revision();
    return std::nullopt;
  }
  const std::optional<Fingerprint> fingerprint = FingerprintOf(key);
  if (!fingerprint || records_.erase(*fingerprint) == 0) {
    return std::nullopt;
  }
  ++changes_;
  held_trials_.erase(*fingerprint);
  retries_.erase(*fingerprint);
  return fingerprint;
}

const CrashRecord* CrashRecords::Find(Fingerprint fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? nullptr : &found->second.record;
}

CrashRecords::State CrashRecords::StateOf(Time now,
                                          Fingerprint fingerprint) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) {
    return State::kOpen;
  }
  if (BlockedFor(now, fingerprint) > Duration()) {
    return State::kBlocked;
  }
  const Known& known = found->second;
  if (known.record.trial_is_open && now - known.seen < TrialTtl(fingerprint)) {
    return State::kTrialRuns;
  }
  const bool needs_trial =
      known.record.failed_trials > 0 || known.record.trials > 0;
  return needs_trial ? State::kNeedsTrial : State::kOpen;
}

Duration CrashRecords::BlockedFor(Time now, Fingerprint fingerprint) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) {
    return Duration();
  }
  const Known& known = found->second;
  const CrashRecord& record = known.record;
  // Nodes whose clocks differ must not block for longer than any block lasts.
  Duration left =
      std::min(record.blocked_until - now, settings_.max_block_time);
  const bool is_undecided = record.trial_is_open &&
                            record.trials >= settings_.max_open_trials &&
                            now - known.seen >= TrialTtl(fingerprint);
  if (is_undecided) {
    const Duration block_time =
        IsPartFingerprint(fingerprint)
            ? TrialTtl(fingerprint) + settings_.part_undecided_block_time
            : settings_.block_time;
    left = std::max(left, known.seen + block_time - now);
  }
  return std::max(left, Duration());
}

Duration CrashRecords::TrialTtl(Fingerprint fingerprint) const {
  return IsPartFingerprint(fingerprint) ? settings_.part_trial_ttl
                                        : settings_.trial_ttl;
}

Time CrashRecords::SeenAt(Fingerprint fingerprint) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() ? Time() : found->second.seen;
}

std::vector<Fingerprint> CrashRecords::Blocked(Time now) const {
  std::vector<Fingerprint> blocked;
  for (const auto& [fingerprint, known] : records_) {
    if (BlockedFor(now, fingerprint) > Duration()) {
      blocked.push_back(fingerprint);
    }
  }
  return blocked;
}

std::vector<Fingerprint> CrashRecords::All() const {
  std::vector<Fingerprint> all;
  for (const auto& [fingerprint, known] : records_) {
    all.push_back(fingerprint);
  }
  return all;
}

// Writing ---------------------------------------------------------------------

void CrashRecords::Record(Time /*now*/,
                          const CrashSuspect& suspect,
                          const std::set<CrashId>& crashes) {
  const Fingerprint fingerprint = suspect.fingerprint;
  const CrashRecord* known = Find(fingerprint);
  if (IsWriting(fingerprint) ||
      (known == nullptr && records_.size() >= settings_.max_records)) {
    return;
  }
  CrashRecord record = known == nullptr ? CrashRecord() : *known;
  record.part = suspect.part;
  const std::size_t known_crashes = record.crashes.size();
  record.crashes.insert(crashes.begin(), crashes.end());
  if (record.crashes.size() == known_crashes) {
    return;
  }
  Put(fingerprint, Purpose::kRecord, std::move(record));
}

bool CrashRecords::RequestTrial(Time now,
                                const CrashSuspect& suspect,
                                const std::set<CrashId>& crashes) {
  const Fingerprint fingerprint = suspect.fingerprint;
  const State state = StateOf(now, fingerprint);
  if (IsWriting(fingerprint) || state == State::kBlocked ||
      state == State::kTrialRuns || trial_retries_.contains(fingerprint)) {
    return false;
  }
  CrashRecord record;
  if (const CrashRecord* known = Find(fingerprint)) {
    record = *known;
  }
  record.part = suspect.part;
  record.crashes.insert(crashes.begin(), crashes.end());
  // A block without a result of its trials is over.
  if (record.trials >= settings_.max_open_trials) {
    record.trials = 0;
  }
  ++record.trials;
  record.trial_is_open = true;
  record.trial_holder = self_;
  Put(fingerprint, Purpose::kTrial, std::move(record));
  return true;
}

void CrashRecords::ReturnTrial(Fingerprint fingerprint) {
  if (held_trials_.erase(fingerprint) > 0) {
    ReleaseTrial(fingerprint);
  }
}

void CrashRecords::OnTrialFailed(Time now,
                                 Fingerprint fingerprint,
                                 const std::set<CrashId>& crashes,
                                 std::int64_t needed_failures) {
  const CrashRecord* known = Find(fingerprint);
  if (known == nullptr || !HoldsTrial(fingerprint)) {
    return;
  }
  CrashRecord record = *known;
  record.crashes.insert(crashes.begin(), crashes.end());
  record.trials = 0;
  record.trial_is_open = false;
  ++record.failed_trials;
  if (record.failed_trials >= needed_failures) {
    record.blocked_until =
        now + BlockTime(record.failed_trials - needed_failures + 1);
  }
  Put(fingerprint, Purpose::kFailedTrial, std::move(record), needed_failures);
}

Duration CrashRecords::BlockTime(std::int64_t failed_trials) const {
  Duration time = settings_.block_time;
  for (std::int64_t i = 1; i < failed_trials && time < settings_.max_block_time;
       ++i) {
    time = time * 2;
  }
  return std::min(time, settings_.max_block_time);
}

void CrashRecords::Remove(Time /*now*/, Fingerprint fingerprint) {
  retries_.erase(fingerprint);
  const auto found = records_.find(fingerprint);
  if (found == records_.end()) {
    return;
  }
  const auto write = writes_.find(fingerprint);
  if (write != writes_.end() && write->second.purpose == Purpose::kRemove) {
    return;
  }
  held_trials_.erase(fingerprint);
  ++last_call_;
  writes_[fingerprint] = {last_call_, Purpose::kRemove, {}, 0};
  requests_.push_back(
      {last_call_, StoreDelete{KeyOf(fingerprint), found->second.revision}});
}

void CrashRecords::RemoveExpired(Time now) {
  for (const auto& [fingerprint, known] : records_) {
    const bool was_tried =
        known.record.trials > 0 || known.record.failed_trials > 0;
    const Duration ttl =
        was_tried ? settings_.record_ttl : settings_.untried_record_ttl;
    if (now - known.seen >= ttl && now >= known.record.blocked_until) {
      Remove(now, fingerprint);
    }
  }
}

void CrashRecords::Put(Fingerprint fingerprint,
                       Purpose purpose,
                       CrashRecord proposed,
                       std::int64_t needed_failures) {
  const auto found = records_.find(fingerprint);
  const Revision expected =
      found == records_.end() ? Revision() : found->second.revision;
  ++last_call_;
  requests_.push_back(
      {last_call_, StorePut{KeyOf(fingerprint), codec_.encode(proposed),
                            expected, LeaseId()}});
  retries_.erase(fingerprint);
  writes_[fingerprint] = {last_call_, purpose, std::move(proposed),
                          needed_failures};
}

std::optional<Fingerprint> CrashRecords::OnStoreReply(Time now,
                                                      StoreCallId id,
                                                      const StoreReply& reply) {
  if (id == lost_evidence_.call) {
    lost_evidence_.call.reset();
    OnLostEvidenceReply(now, reply);
    return std::nullopt;
  }
  const auto found =
      std::find_if(writes_.begin(), writes_.end(),
                   [id](const auto& entry) { return entry.second.call == id; });
  if (found == writes_.end()) {
    return std::nullopt;
  }
  const Fingerprint fingerprint = found->first;
  const Write write = std::move(found->second);
  writes_.erase(found);
  if (const auto* written = std::get_if<StoreWritten>(&reply)) {
    OnWritten(now, fingerprint, write, written->revision);
  } else if (const auto* conflict = std::get_if<StoreConflict>(&reply)) {
    OnConflict(now, fingerprint, write, *conflict);
  } else {
    RetryLater(now, fingerprint, write);
  }
  return fingerprint;
}

void CrashRecords::OnWritten(Time now,
                             Fingerprint fingerprint,
                             const Write& write,
                             Revision revision) {
  ++changes_;
  if (write.purpose == Purpose::kRemove) {
    records_.erase(fingerprint);
    return;
  }
  records_[fingerprint] = {write.proposed, revision, now};
  const CrashRecord& record = write.proposed;
  if (write.purpose == Purpose::kTrial) {
    held_trials_.insert(fingerprint);
  } else if (!record.trial_is_open || record.trial_holder != self_) {
    held_trials_.erase(fingerprint);
  }
}

void CrashRecords::OnConflict(Time now,
                              Fingerprint fingerprint,
                              const Write& write,
                              const StoreConflict& conflict) {
  if (!conflict.current) {
    held_trials_.erase(fingerprint);
    records_.erase(fingerprint);
    ++changes_;
    return;
  }
  const auto known = records_.find(fingerprint);
  if (known == records_.end() ||
      conflict.current->revision > known->second.revision) {
    Adopt(now, fingerprint, *conflict.current);
  }
  // The result of a trial, and a proof, hold whatever was written meanwhile.
  if (write.purpose == Purpose::kRemove) {
    Remove(now, fingerprint);
  } else if (write.purpose == Purpose::kFailedTrial) {
    OnTrialFailed(now, fingerprint, write.proposed.crashes,
                  write.needed_failures);
  }
}

// A trial that may have been granted is not used: its request has been answered
// by the time this is known.
void CrashRecords::RetryLater(Time now,
                              Fingerprint fingerprint,
                              const Write& write) {
  if (write.purpose == Purpose::kTrial) {
    trial_retries_[fingerprint] = now + settings_.retry_delay;
  } else {
    retries_[fingerprint] = {write, now + settings_.retry_delay};
  }
}

void CrashRecords::ReportLostEvidence(Time now) {
  lost_evidence_.until = now + settings_.lost_evidence_ttl;
  lost_evidence_.proposed = lost_evidence_.until;
  lost_evidence_.next_call = now;
  WriteLostEvidence(now);
}

void CrashRecords::AdoptLostEvidence(Time now, const StoreEntry& entry) {
  if (entry.revision <= lost_evidence_.revision) {
    return;
  }
  lost_evidence_.revision = entry.revision;
  if (const std::optional<CrashRecord> record = codec_.decode(entry.value)) {
    // Clocks may differ.
    lost_evidence_.recorded =
        std::min(record->blocked_until, now + settings_.lost_evidence_ttl);
    lost_evidence_.until =
        std::max(lost_evidence_.until, lost_evidence_.recorded);
  }
}

void CrashRecords::WriteLostEvidence(Time now) {
  if (!lost_evidence_.proposed || lost_evidence_.call ||
      now < lost_evidence_.next_call) {
    return;
  }
  CrashRecord record;
  record.blocked_until = *lost_evidence_.proposed;
  ++last_call_;
  lost_evidence_.call = last_call_;
  requests_.push_back(
      {last_call_,
       StorePut{std::string(kLostEvidenceKey), codec_.encode(record),
                lost_evidence_.revision, LeaseId()}});
}

void CrashRecords::OnLostEvidenceReply(Time now, const StoreReply& reply) {
  if (const auto* written = std::get_if<StoreWritten>(&reply)) {
    lost_evidence_.revision = written->revision;
    lost_evidence_.proposed.reset();
    return;
  }
  if (const auto* conflict = std::get_if<StoreConflict>(&reply)) {
    if (conflict->current) {
      AdoptLostEvidence(now, *conflict->current);
    } else {
      lost_evidence_.revision = Revision();
    }
    // Another node that started in the same outage has written first.
    if (lost_evidence_.proposed &&
        lost_evidence_.recorded + kSameOutage >= *lost_evidence_.proposed) {
      lost_evidence_.proposed.reset();
    }
    WriteLostEvidence(now);
    return;
  }
  lost_evidence_.next_call = now + settings_.retry_delay;
}

void CrashRecords::Tick(Time now) {
  WriteLostEvidence(now);
  std::erase_if(trial_retries_,
                [now](const auto& retry) { return now >= retry.second; });
  std::vector<std::pair<Fingerprint, Retry>> due;
  for (const auto& [fingerprint, retry] : retries_) {
    if (now >= retry.at && !IsWriting(fingerprint)) {
      due.emplace_back(fingerprint, retry);
    }
  }
  for (const auto& [fingerprint, retry] : due) {
    retries_.erase(fingerprint);
    const CrashRecord& proposed = retry.write.proposed;
    switch (retry.write.purpose) {
      case Purpose::kRecord:
        Record(now, {.fingerprint = fingerprint, .part = proposed.part},
               proposed.crashes);
        break;
      case Purpose::kFailedTrial:
        OnTrialFailed(now, fingerprint, proposed.crashes,
                      retry.write.needed_failures);
        break;
      case Purpose::kRemove:
        Remove(now, fingerprint);
        break;
      case Purpose::kTrial:
        break;
    }
  }
}

std::vector<StoreRequest> CrashRecords::TakeRequests() {
  return std::exchange(requests_, {});
}

}  // namespace gcw
