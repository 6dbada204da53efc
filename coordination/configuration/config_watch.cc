#include "coordination/configuration/config_watch.h"

#include <algorithm>
#include <utility>

namespace gcw {

ConfigWatch::ConfigWatch(ConfigWatchSettings settings,
                         std::string prefix,
                         Random random)
    : settings_(settings),
      prefix_(std::move(prefix)),
      random_(std::move(random)),
      backoff_(settings.backoff) {}

void ConfigWatch::RequestRead(Time not_before) {
  read_due_ = true;
  read_is_routine_ = false;
  next_read_ = not_before;
}

void ConfigWatch::RequestRoutineRead(Time now) {
  if (read_due_) {
    return;
  }
  RequestRead(now);
  read_is_routine_ = true;
}

void ConfigWatch::RequestRevision() {
  revision_requested_ = watching_;
}

std::optional<StoreRequest> ConfigWatch::Tick(Time now,
                                              StoreCallId& last_id,
                                              Revision known) {
  if (call_ && now >= call_expires_) {
    OnFailure(now, Duration());
  }
  const bool is_read_ready = read_due_ && now >= next_read_;
  // A read or a request for the revision does not wait for the open watch to
  // end. If the reply of that watch still arrives, it is dropped.
  if (call_ && call_is_watch_ && (is_read_ready || revision_requested_)) {
    call_.reset();
  }
  if (call_ || now < next_call_) {
    return std::nullopt;
  }
  if (is_read_ready) {
    call_is_watch_ = false;
    return Call(now, last_id, known, StoreRange{prefix_}, Duration());
  }
  if (!watching_) {
    return std::nullopt;
  }
  call_is_watch_ = !revision_requested_;
  const Duration wait = revision_requested_ ? Duration() : settings_.watch_wait;
  revision_requested_ = false;
  return Call(now, last_id, known, StoreWatch{prefix_, watch_revision_, wait},
              wait);
}

StoreRequest ConfigWatch::Call(Time now,
                               StoreCallId& last_id,
                               Revision known,
                               StoreCall call,
                               Duration wait) {
  call_ = ++last_id;
  call_expires_ = now + wait + settings_.call_timeout;
  known_at_call_ = known;
  return {last_id, std::move(call)};
}

std::optional<ConfigBatch> ConfigWatch::OnStoreReply(Time now,
                                                     const StoreReply& reply) {
  if (const auto* refused = std::get_if<StoreRefused>(&reply)) {
    OnFailure(now, refused->retry_after);
    return std::nullopt;
  }
  // A reply of an unexpected type counts as a failure. A retry without backoff
  // would loop as long as such replies arrive.
  if (!std::holds_alternative<StoreWatchReply>(reply) &&
      !std::holds_alternative<StoreRangeReply>(reply)) {
    OnFailure(now, Duration());
    return std::nullopt;
  }
  call_.reset();
  failing_ = false;
  backoff_.Reset();
  if (const auto* watched = std::get_if<StoreWatchReply>(&reply)) {
    return OnWatchReply(now, *watched);
  }
  const auto& range = std::get<StoreRangeReply>(reply);
  read_due_ = false;
  watch_revision_ = range.revision;
  return ConfigBatch{range.revision, known_at_call_, std::nullopt,
                     range.entries};
}

std::optional<ConfigBatch> ConfigWatch::OnWatchReply(
    Time now,
    const StoreWatchReply& reply) {
  if (reply.compacted || reply.revision < watch_revision_) {
    RequestRead(now);
    return std::nullopt;
  }
  const Revision after = watch_revision_;
  watch_revision_ = reply.revision;
  return ConfigBatch{reply.revision, known_at_call_, after, reply.changed};
}

void ConfigWatch::OnFailure(Time now, Duration at_least) {
  call_.reset();
  failing_ = true;
  if (read_is_routine_) {
    read_due_ = false;
    read_is_routine_ = false;
  }
  next_call_ = now + std::max(at_least, backoff_.Next(random_));
}

}  // namespace gcw
