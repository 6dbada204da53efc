#include "coordination/groups/domain_writer.h"

#include <algorithm>
#include <utility>

namespace gcw {

DomainWriter::DomainWriter(FabricDomainId domain,
                           WriterSettings settings,
                           DomainRecordCodec codec,
                           EventSink events)
    : domain_(std::move(domain)),
      settings_(settings),
      codec_(std::move(codec)),
      events_(std::move(events)) {
  record_.domain = domain_;
}

std::string DomainWriter::key() const {
  return "domain/" + domain_.value();
}

void DomainWriter::Start(Time now, FencingToken fence) {
  fence_ = fence;
  pending_call_.reset();
  ScheduleRead(now);
}

bool DomainWriter::IsClaimed() const {
  return revision_ != Revision() && record_.writer_token == fence_ &&
         !unsettled_;
}

bool DomainWriter::Propose(Time now, DomainRecord record, ChangeId change) {
  if (state_ != WriterState::kReady) {
    return false;
  }
  record.domain = domain_;
  record.writer_token = fence_;
  record.change = std::move(change);
  if (Validate(record)) {
    return false;
  }
  proposed_ = std::move(record);
  state_ = WriterState::kWriting;
  call_due_ = true;
  call_due_at_ = now;
  return true;
}

std::optional<StoreCall> DomainWriter::Tick(Time now) {
  if (pending_call_ && now - call_sent_ >= settings_.call_timeout) {
    pending_call_.reset();
    OnNoReply(now);
  }
  if (pending_call_ || !call_due_ || now < call_due_at_) {
    return std::nullopt;
  }
  if (state_ == WriterState::kWriting) {
    return StorePut{key(), codec_.encode(proposed_), revision_, LeaseId()};
  }
  return StoreRange{key()};
}

void DomainWriter::OnCallSent(Time now, StoreCallId id) {
  pending_call_ = id;
  call_sent_ = now;
  call_due_ = false;
}

void DomainWriter::OnReply(Time now, StoreCallId id, const StoreReply& reply) {
  if (pending_call_ != id) {
    return;
  }
  pending_call_.reset();
  if (const auto* range = std::get_if<StoreRangeReply>(&reply)) {
    OnRange(now, *range);
  } else if (const auto* written = std::get_if<StoreWritten>(&reply)) {
    OnWritten(now, written->revision);
  } else if (const auto* conflict = std::get_if<StoreConflict>(&reply)) {
    Adopt(now, conflict->current);
  } else if (const auto* refused = std::get_if<StoreRefused>(&reply)) {
    // The service did nothing, so the same call may be repeated.
    call_due_ = true;
    call_due_at_ = now + refused->retry_after;
  } else {
    OnNoReply(now + settings_.retry_interval);
  }
}

void DomainWriter::OnNoReply(Time read_at) {
  if (state_ == WriterState::kWriting) {
    unsettled_ = revision_;
  }
  ScheduleRead(read_at);
}

void DomainWriter::OnRange(Time now, const StoreRangeReply& reply) {
  if (reply.revision < max_seen_revision_) {
    // The service was restored to an earlier state, or the read is stale.
    // Acting on it would assign VMs that other groups have since been given.
    events_({EventKind::kStoreRolledBack,
             key(),
             EventId(),
             {{"revision", reply.revision.value()},
              {"seen", max_seen_revision_.value()}}});
    ScheduleRead(now + settings_.retry_interval);
    return;
  }
  max_seen_revision_ = reply.revision;
  std::optional<StoreEntry> entry;
  for (const StoreEntry& candidate : reply.entries) {
    if (candidate.key == key()) {
      entry = candidate;
    }
  }
  Adopt(now, entry);
}

void DomainWriter::OnWritten(Time now, Revision revision) {
  if (revision <= max_seen_revision_ && max_seen_revision_ != Revision()) {
    ScheduleRead(now + settings_.retry_interval);
    return;
  }
  max_seen_revision_ = revision;
  revision_ = revision;
  unsettled_.reset();
  record_ = proposed_;
  state_ = WriterState::kReady;
}

void DomainWriter::Adopt(Time now, const std::optional<StoreEntry>& entry) {
  if (IsBehind(entry)) {
    ScheduleRead(now + settings_.retry_interval);
    return;
  }
  if (!entry) {
    state_ = WriterState::kReady;
    return;
  }
  const std::optional<DomainRecord> record = codec_.decode(entry->value);
  if (!record) {
    ScheduleRead(now + settings_.retry_interval);
    return;
  }
  max_seen_revision_ = std::max(max_seen_revision_, entry->revision);
  revision_ = entry->revision;
  if (unsettled_ && revision_ > *unsettled_) {
    unsettled_.reset();
  }
  record_ = *record;
  state_ = record_.writer_token > fence_ ? WriterState::kSuperseded
                                         : WriterState::kReady;
}

bool DomainWriter::IsBehind(const std::optional<StoreEntry>& entry) const {
  return entry ? entry->revision < revision_ : revision_ != Revision();
}

void DomainWriter::ScheduleRead(Time when) {
  state_ = WriterState::kReading;
  call_due_ = true;
  call_due_at_ = when;
}

}  // namespace gcw
