#ifndef COORDINATION_REQUESTS_PERMIT_ISSUER_H_
#define COORDINATION_REQUESTS_PERMIT_ISSUER_H_

#include <map>
#include <optional>
#include <vector>

#include "coordination/membership/suspect_table.h"
#include "coordination/requests/guard_messages.h"

namespace gcw {

struct PermitIssuerSettings {
  // A permit that is not renewed for this time is revoked. A newly opened
  // issuer also waits for this time before its first grant, so that holders of
  // its predecessor's permits can renew them.
  Duration permit_ttl = Duration::Seconds(10);
};

// Grants permits to suspects: each fingerprint runs at one endpoint at a time,
// and no endpoint runs two suspects. The next loss therefore identifies its
// cause.
class PermitIssuer {
 public:
  explicit PermitIssuer(PermitIssuerSettings settings);

  // Called when this node becomes the permit issuer.
  void Open(Time now);
  void Close();
  bool open() const { return opened_at_.has_value(); }

  PermitVerdict Decide(Time now,
                       const PermitRequest& request,
                       SuspectLevel level);
  void Release(const AttemptId& attempt);
  void Tick(Time now);

 private:
  struct Permit {
    Fingerprint fingerprint;
    EndpointId endpoint;
    Time last_renewed;
  };

  bool InUse(Fingerprint fingerprint) const;
  bool InUse(const EndpointId& endpoint) const;

  PermitIssuerSettings settings_;
  std::optional<Time> opened_at_;
  std::map<AttemptId, Permit> permits_;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_PERMIT_ISSUER_H_
