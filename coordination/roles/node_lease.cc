#include "coordination/roles/node_lease.h"

#include <algorithm>
#include <utility>

namespace gcw {
namespace {

// Number of unanswered calls whose late replies are still recognized.
constexpr std::size_t kMaxPending = 16;

}  // namespace

NodeLease::NodeLease(NodeLeaseSettings settings,
                     NodeRecord record,
                     std::function<std::string(const NodeRecord&)> encode,
                     Random random,
                     EventSink sink)
    : settings_(settings),
      record_(std::move(record)),
      encode_(std::move(encode)),
      random_(std::move(random)),
      sink_(std::move(sink)),
      backoff_(settings.backoff) {}

std::vector<NodeLeaseAction> NodeLease::Tick(Time now) {
  ExpireCalls(now);
  ReportValidity(now);
  return NextCall(now);
}

std::vector<NodeLeaseAction> NodeLease::SetRecord(Time now, NodeRecord record) {
  if (record == record_) {
    return {};
  }
  record_ = std::move(record);
  ++record_version_;
  record_written_ = false;
  return NextCall(now);
}

std::vector<NodeLeaseAction> NodeLease::Release(Time now) {
  const bool had_lease = phase_ == Phase::kGranted || phase_ == Phase::kHeld;
  phase_ = Phase::kReleased;
  ReportValidity(now);
  if (!had_lease) {
    return {};
  }
  return {MakeCall(now, CallKind::kRevoke, StoreLeaseRevoke{lease_})};
}

// The earlier lease is left to lapse. If it were revoked, the service would
// delete the record before it is attached to the new lease.
void NodeLease::SetRelaxed(bool relaxed) {
  if (relaxed == relaxed_) {
    return;
  }
  relaxed_ = relaxed;
  backoff_.SetMaximum(relaxed ? settings_.relaxed_backoff
                              : settings_.backoff.maximum);
  if (phase_ == Phase::kGranted || phase_ == Phase::kHeld) {
    phase_ = Phase::kNone;
    record_written_ = false;
  }
}

Duration NodeLease::time_to_live() const {
  return relaxed_ ? settings_.relaxed_time_to_live : settings_.time_to_live;
}

Duration NodeLease::renew_interval() const {
  return relaxed_ ? settings_.relaxed_renew_interval : settings_.renew_interval;
}

std::optional<HeldLease> NodeLease::Held(Time now) const {
  if (phase_ != Phase::kHeld || now >= valid_until_) {
    return std::nullopt;
  }
  return HeldLease{lease_, incarnation_, valid_until_};
}

std::vector<NodeLeaseAction> NodeLease::NextCall(Time now) {
  if (awaited_call_ || now < next_call_ || phase_ == Phase::kReleased) {
    return {};
  }
  if (phase_ == Phase::kNone) {
    return {MakeCall(now, CallKind::kGrant, StoreLeaseGrant{time_to_live()})};
  }
  if (now >= renewal_due_) {
    return {MakeCall(now, CallKind::kKeepAlive, StoreLeaseKeepAlive{lease_})};
  }
  if (record_written_) {
    return {};
  }
  return {MakeCall(now, CallKind::kPut,
                   StorePut{.key = "node/" + record_.id.value(),
                            .value = encode_(record_),
                            .expected = key_revision_,
                            .lease = lease_})};
}

NodeLeaseAction NodeLease::MakeCall(Time now, CallKind kind, StoreCall call) {
  ++last_id_;
  pending_[last_id_] = {kind, now,
                        kind == CallKind::kGrant ? LeaseId() : lease_,
                        time_to_live(), record_version_};
  if (pending_.size() > kMaxPending) {
    pending_.erase(pending_.begin());
  }
  awaited_call_ = last_id_;
  return StoreRequest{last_id_, std::move(call)};
}

std::vector<NodeLeaseAction> NodeLease::OnStoreReply(Time now,
                                                     StoreCallId id,
                                                     const StoreReply& reply) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return {};
  }
  const PendingCall pending = it->second;
  pending_.erase(it);
  if (awaited_call_ == id) {
    awaited_call_.reset();
  }
  HandleReply(now, pending, reply);
  ReportValidity(now);
  return NextCall(now);
}

void NodeLease::HandleReply(Time now,
                            const PendingCall& pending,
                            const StoreReply& reply) {
  if (std::holds_alternative<StoreNoAnswer>(reply)) {
    OnUnanswered(now);
    return;
  }
  ReportReachable(true);
  if (const auto* refused = std::get_if<StoreRefused>(&reply)) {
    next_call_ = now + std::max(refused->retry_after, backoff_.Next(random_));
    return;
  }
  // A grant names no lease that could have lapsed, so any other reply is
  // unexpected. An immediate retry would repeat for as long as the service
  // replies so.
  if (pending.kind == CallKind::kGrant &&
      !std::holds_alternative<StoreLeaseReply>(reply)) {
    next_call_ = now + backoff_.Next(random_);
    return;
  }
  backoff_.Reset();
  if (const auto* granted = std::get_if<StoreLeaseReply>(&reply)) {
    OnLeaseReply(pending, *granted);
    return;
  }
  // Each of the other replies concerns one lease; a reply for an earlier lease
  // is obsolete.
  if (pending.lease != lease_ || phase_ == Phase::kNone) {
    return;
  }
  if (const auto* written = std::get_if<StoreWritten>(&reply)) {
    OnRecordWritten(pending, written->revision);
  } else if (const auto* conflict = std::get_if<StoreConflict>(&reply)) {
    OnConflict(pending, *conflict);
  } else if (std::holds_alternative<StoreLeaseUnknown>(reply) &&
             phase_ != Phase::kReleased) {
    phase_ = Phase::kNone;
    record_written_ = false;
  }
}

void NodeLease::OnLeaseReply(const PendingCall& pending,
                             const StoreLeaseReply& reply) {
  // The service counts the time to live from when it handled the call, which
  // was not before the call was sent. If it were counted from the reply, a slow
  // reply would make a lapsed lease look valid.
  const Time valid_until = pending.sent +
                           std::min(reply.time_to_live, pending.time_to_live) -
                           settings_.margin;
  if (pending.kind == CallKind::kGrant && phase_ == Phase::kNone) {
    phase_ = Phase::kGranted;
    lease_ = reply.lease;
    valid_until_ = valid_until;
    renewal_due_ = pending.sent + renew_interval();
    record_written_ = false;
  }
  if (pending.kind == CallKind::kKeepAlive && pending.lease == lease_) {
    valid_until_ = std::max(valid_until_, valid_until);
    renewal_due_ = std::max(renewal_due_, pending.sent + renew_interval());
  }
}

void NodeLease::OnRecordWritten(const PendingCall& pending, Revision revision) {
  if (pending.kind != CallKind::kPut || phase_ == Phase::kReleased) {
    return;
  }
  key_revision_ = revision;
  incarnation_ = std::max(incarnation_, Incarnation(revision.value()));
  phase_ = Phase::kHeld;
  record_written_ = pending.record_version == record_version_;
}

void NodeLease::OnConflict(const PendingCall& pending,
                           const StoreConflict& conflict) {
  key_revision_ = conflict.current ? conflict.current->revision : Revision();
  // A put whose reply was lost has taken effect, because only this process
  // writes under its lease.
  if (conflict.current && conflict.current->lease == lease_ &&
      conflict.current->value == encode_(record_)) {
    OnRecordWritten(pending, conflict.current->revision);
    record_written_ = true;
  }
}

void NodeLease::OnUnanswered(Time now) {
  ReportReachable(false);
  next_call_ = now + backoff_.Next(random_);
}

void NodeLease::ExpireCalls(Time now) {
  if (!awaited_call_) {
    return;
  }
  const auto it = pending_.find(*awaited_call_);
  if (it == pending_.end()) {
    awaited_call_.reset();
    return;
  }
  if (now - it->second.sent < settings_.call_timeout) {
    return;
  }
  // The entry is kept, because a late reply to a renewal still extends the
  // lease.
  awaited_call_.reset();
  OnUnanswered(now);
}

void NodeLease::ReportValidity(Time now) {
  const bool valid = Held(now).has_value();
  if (valid == reported_valid_) {
    return;
  }
  reported_valid_ = valid;
  sink_({.kind = valid ? EventKind::kLeaseAcquired : EventKind::kLeaseLost,
         .subject = record_.id.value(),
         .cause = {},
         .fields = {{"lease", lease_.value()},
                    {"incarnation", incarnation_.value()}}});
}

void NodeLease::ReportReachable(bool reachable) {
  if (reachable == store_reachable_) {
    return;
  }
  store_reachable_ = reachable;
  sink_({.kind = reachable ? EventKind::kStoreReachable
                           : EventKind::kStoreUnreachable,
         .subject = record_.id.value(),
         .cause = {},
         .fields = {}});
}

NodeLease::Builder& NodeLease::Builder::SetSettings(
    NodeLeaseSettings settings) {
  settings_ = settings;
  return *this;
}

NodeLease::Builder& NodeLease::Builder::SetRecord(NodeRecord record) {
  record_ = std::move(record);
  return *this;
}

NodeLease::Builder& NodeLease::Builder::SetEncode(
    std::function<std::string(const NodeRecord&)> encode) {
  encode_ = std::move(encode);
  return *this;
}

NodeLease::Builder& NodeLease::Builder::SetRandom(Random random) {
  random_ = std::move(random);
  return *this;
}

NodeLease::Builder& NodeLease::Builder::SetEventSink(EventSink sink) {
  sink_ = std::move(sink);
  return *this;
}

NodeLease NodeLease::Builder::Build() const {
  return NodeLease(settings_, record_, encode_, random_, sink_);
}

}  // namespace gcw
