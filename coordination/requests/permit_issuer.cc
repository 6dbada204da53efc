#include "coordination/requests/permit_issuer.h"

#include <algorithm>

namespace gcw {

PermitIssuer::PermitIssuer(PermitIssuerSettings settings)
    : settings_(settings) {}

void PermitIssuer::Open(Time now) {
  if (!opened_at_) {
    opened_at_ = now;
  }
}

void PermitIssuer::Close() {
  opened_at_.reset();
  permits_.clear();
}

PermitVerdict PermitIssuer::Decide(Time now,
                                   const PermitRequest& request,
                                   SuspectLevel level) {
  if (!opened_at_) {
    return PermitWait{};
  }
  if (!request.running_at.empty()) {
    permits_[request.attempt] =
        Permit{request.fingerprint, request.running_at, now};
    return PermitGranted{request.running_at};
  }
  const auto held = permits_.find(request.attempt);
  if (held != permits_.end()) {
    held->second.last_renewed = now;
    return PermitGranted{held->second.endpoint};
  }
  if (level == SuspectLevel::kBlocked) {
    return PermitBlocked{};
  }
  // The predecessor's permits are unknown until their holders have renewed
  // them.
  if (now < *opened_at_ + settings_.permit_ttl || InUse(request.fingerprint)) {
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

void PermitIssuer::Release(const AttemptId& attempt) {
  permits_.erase(attempt);
}

void PermitIssuer::Tick(Time now) {
  std::erase_if(permits_, [&](const auto& permit) {
    return now - permit.second.last_renewed >= settings_.permit_ttl;
  });
}

bool PermitIssuer::InUse(Fingerprint fingerprint) const {
  return std::any_of(permits_.begin(), permits_.end(), [&](const auto& permit) {
    return permit.second.fingerprint == fingerprint;
  });
}

bool PermitIssuer::InUse(const EndpointId& endpoint) const {
  return std::any_of(permits_.begin(), permits_.end(), [&](const auto& permit) {
    return permit.second.endpoint == endpoint;
  });
}

}  // namespace gcw
