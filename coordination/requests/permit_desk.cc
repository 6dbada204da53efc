#include "coordination/requests/permit_desk.h"

#include <algorithm>

namespace gcw {

PermitDesk::PermitDesk(PermitDeskSettings settings) : settings_(settings) {}

void PermitDesk::Open(Time now) {
  if (!opened_) {
    opened_ = now;
  }
}

void PermitDesk::Close() {
  opened_.reset();
  permits_.clear();
}

PermitVerdict PermitDesk::Ask(Time now,
                              const PermitRequest& request,
                              SuspectLevel level) {
  if (!opened_) {
    return PermitWait{};
  }
  if (!request.running_at.empty()) {
    permits_[request.attempt] =
        Permit{request.fingerprint, request.running_at, now};
    return PermitGranted{request.running_at};
  }
  const auto held = permits_.find(request.attempt);
  if (held != permits_.end()) {
    held->second.heard = now;
    return PermitGranted{held->second.endpoint};
  }
  if (level == SuspectLevel::kBlocked) {
    return PermitBlocked{};
  }
  // The predecessor's permits are unknown until their holders have renewed
  // them.
  if (now < *opened_ + settings_.hold || InUse(request.fingerprint)) {
    return PermitWait{};
  }
  const auto free = std::find_if(
      request.candidates.begin(), request.candidates.end(),
      [&](const EndpointId& endpoint) { return !InUse(endpoint); });
  if (free == request.candidates.end()) {
    return PermitWait{};
  }
  permits_[request.attempt] = Permit{request.fingerprint, *free, now};
  return PermitGranted{*free};
}

void PermitDesk::Done(const AttemptId& attempt) {
  permits_.erase(attempt);
}

void PermitDesk::Tick(Time now) {
  std::erase_if(permits_, [&](const auto& permit) {
    return now - permit.second.heard >= settings_.hold;
  });
}

bool PermitDesk::InUse(Fingerprint fingerprint) const {
  return std::any_of(permits_.begin(), permits_.end(), [&](const auto& permit) {
    return permit.second.fingerprint == fingerprint;
  });
}

bool PermitDesk::InUse(const EndpointId& endpoint) const {
  return std::any_of(permits_.begin(), permits_.end(), [&](const auto& permit) {
    return permit.second.endpoint == endpoint;
  });
}

}  // namespace gcw
