#include "programs/gcw_standin/standin_store.h"

#include <algorithm>
#include <utility>

#include "protocol/protocol.h"

namespace gcw {
namespace {

// Upper limit on the wait that a watch requests.
constexpr Duration kMaxWatchWait = Duration::Seconds(60);

}  // namespace

StandinStore::StandinStore(Settings settings)
    : settings_(settings),
      call_rate_(settings.calls_per_second),
      write_rate_(settings.writes_per_second),
      revision_(settings.first_revision),
      compacted_(settings.first_revision) {}

std::vector<StoreAnswer> StandinStore::OnCall(Time now,
                                              Ticket ticket,
                                              const StoreCall& call) {
  std::vector<StoreAnswer> answers;
  RemoveExpiredLeases(now);
  if (!TakeRateTokens(now, call)) {
    ++counts_.busy;
    answers.emplace_back(ticket, StoreReply(MakeBusyReply()));
  } else if (const auto* watch = std::get_if<StoreWatch>(&call)) {
    watches_[ticket] = {*watch, now + std::min(watch->wait, kMaxWatchWait),
                        watch->after};
  } else {
    StoreReply reply = std::visit(
        [&](const auto& typed) { return Execute(now, typed); }, call);
    answers.emplace_back(ticket, std::move(reply));
  }
  AnswerDueWatches(now, answers);
  return answers;
}

std::vector<StoreAnswer> StandinStore::Tick(Time now) {
  std::vector<StoreAnswer> answers;
  RemoveExpiredLeases(now);
  AnswerDueWatches(now, answers);
  return answers;
}

void StandinStore::DropWatch(Ticket ticket) {
  watches_.erase(ticket);
}

bool StandinStore::TakeRateTokens(Time now, const StoreCall& call) {
  const bool is_write = IsStoreWrite(call);
  if (!call_rate_.HasToken(now) || (is_write && !write_rate_.HasToken(now))) {
    return false;
  }
  call_rate_.TakeToken();
  ++counts_.calls;
  if (is_write) {
    write_rate_.TakeToken();
    ++counts_.writes;
  }
  return true;
}

StoreRefused StandinStore::MakeBusyReply() const {
  const Duration wait =
      std::max(call_rate_.TimeUntilToken(), write_rate_.TimeUntilToken());
  return {.retry_after = std::max(wait, Duration::Millis(1))};
}

StoreReply StandinStore::Execute(Time, const StoreRange& call) {
  StoreRangeReply reply{.revision = revision_, .entries = {}};
  const auto first = call.after.empty() ? entries_.lower_bound(call.prefix)
                                        : entries_.upper_bound(call.after);
  for (auto entry = first;
       entry != entries_.end() && entry->first.starts_with(call.prefix);
       ++entry) {
    reply.entries.push_back(entry->second);
  }
  return reply;
}

StoreReply StandinStore::Execute(Time, const StorePut& call) {
  if (call.lease != LeaseId() && !leases_.contains(call.lease)) {
    return StoreLeaseUnknown{};
  }
  if (auto conflict = FindConflict(call.key, call.expected)) {
    return *std::move(conflict);
  }
  const auto old = entries_.find(call.key);
  if (old != entries_.end() && old->second.lease != LeaseId()) {
    leases_.at(old->second.lease).keys.erase(call.key);
  }
  StoreEntry entry{call.key, call.value, ++revision_, call.lease};
  if (call.lease != LeaseId()) {
    leases_.at(call.lease).keys.insert(call.key);
  }
  entries_[call.key] = entry;
  AppendToHistory({.entry = std::move(entry)});
  return StoreWritten{.revision = revision_};
}

StoreReply StandinStore::Execute(Time, const StoreDelete& call) {
  if (auto conflict = FindConflict(call.key, call.expected)) {
    return *std::move(conflict);
  }
  if (entries_.contains(call.key)) {
    Erase(call.key);
  }
  return StoreWritten{.revision = revision_};
}

StoreReply StandinStore::Execute(Time now, const StoreLeaseGrant& call) {
  const LeaseId lease = ++last_lease_;
  leases_[lease] = {call.time_to_live, now + call.time_to_live, {}};
  return StoreLeaseReply{lease, call.time_to_live};
}

StoreReply StandinStore::Execute(Time now, const StoreLeaseKeepAlive& call) {
  const auto found = leases_.find(call.lease);
  if (found == leases_.end()) {
    return StoreLeaseUnknown{};
  }
  found->second.expires_at = now + found->second.time_to_live;
  return StoreLeaseReply{call.lease, found->second.time_to_live};
}

StoreReply StandinStore::Execute(Time, const StoreLeaseRevoke& call) {
  if (!leases_.contains(call.lease)) {
    return StoreLeaseUnknown{};
  }
  RemoveLease(call.lease);
  return StoreLeaseReply{call.lease, Duration()};
}

StoreReply StandinStore::Execute(Time, const StoreWatch& call) {
  StoreWatchReply reply{.revision = revision_,
                        .changed = {},
                        .deleted = {},
                        .compacted = IsCompacted(call.after)};
  if (reply.compacted) {
    return reply;
  }
  // The reply has only the last change of each key.
  std::map<std::string, const Change*> last;
  for (auto change = ChangesAfter(call.after); change != history_.end();
       ++change) {
    if (change->entry.key.starts_with(call.prefix)) {
      last[change->entry.key] = &*change;
    }
  }
  for (const auto& [key, change] : last) {
    if (change->deleted) {
      reply.deleted.push_back({key, change->entry.revision});
    } else {
      reply.changed.push_back(change->entry);
    }
  }
  return reply;
}

bool StandinStore::IsDue(Time now, Watch& watch) const {
  if (watch.deadline <= now || IsCompacted(watch.call.after)) {
    return true;
  }
  const auto first = ChangesAfter(watch.checked_revision);
  watch.checked_revision = revision_;
  return std::any_of(first, history_.end(), [&](const Change& change) {
    return change.entry.key.starts_with(watch.call.prefix);
  });
}

std::deque<StandinStore::Change>::const_iterator StandinStore::ChangesAfter(
    Revision revision) const {
  return std::upper_bound(history_.begin(), history_.end(), revision,
                          [](Revision after, const Change& change) {
                            return after < change.entry.revision;
                          });
}

// A revision above the counter was read before the store was restored from a
// backup, so the changes after it are not known either.
bool StandinStore::IsCompacted(Revision after) const {
  return after < compacted_ || after > revision_;
}

std::optional<StoreConflict> StandinStore::FindConflict(
    const std::string& key,
    Revision expected) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return expected == Revision()
               ? std::nullopt
               : std::optional(StoreConflict{.current = std::nullopt});
  }
  if (found->second.revision == expected) {
    return std::nullopt;
  }
  return StoreConflict{.current = found->second};
}

void StandinStore::Erase(const std::string& key) {
  StoreEntry entry = entries_.at(key);
  entries_.erase(key);
  if (entry.lease != LeaseId()) {
    leases_.at(entry.lease).keys.erase(key);
  }
  entry.revision = ++revision_;
  AppendToHistory({.entry = std::move(entry), .deleted = true});
}

void StandinStore::RemoveLease(LeaseId lease) {
  const std::set<std::string> keys = leases_.at(lease).keys;
  for (const std::string& key : keys) {
    Erase(key);
  }
  leases_.erase(lease);
}

void StandinStore::RemoveExpiredLeases(Time now) {
  std::vector<LeaseId> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now) {
      expired.push_back(id);
    }
  }
  for (const LeaseId lease : expired) {
    RemoveLease(lease);
  }
}

void StandinStore::AppendToHistory(Change change) {
  history_.push_back(std::move(change));
  while (history_.size() > settings_.history) {
    compacted_ = history_.front().entry.revision;
    history_.pop_front();
  }
}

void StandinStore::AnswerDueWatches(Time now,
                                    std::vector<StoreAnswer>& answers) {
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    if (!IsDue(now, watch->second)) {
      ++watch;
      continue;
    }
    answers.emplace_back(watch->first, Execute(now, watch->second.call));
    watch = watches_.erase(watch);
  }
}

}  // namespace gcw
