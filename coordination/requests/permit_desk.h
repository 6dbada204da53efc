#ifndef COORDINATION_REQUESTS_PERMIT_DESK_H_
#define COORDINATION_REQUESTS_PERMIT_DESK_H_

#include <map>
#include <optional>
#include <vector>

#include "coordination/membership/suspect_table.h"
#include "coordination/requests/guard_messages.h"

namespace gcw {

struct PermitDeskSettings {
  // A permit that is not renewed for this time is revoked. A newly opened
  // issuer also waits for this time before its first grant, so that holders of
  // its predecessor's permits can renew them.
  Duration hold = Duration::Seconds(10);
};

// Grants permits to suspects: each fingerprint runs at one endpoint at a time,
// and no endpoint runs two suspects. The next loss therefore identifies its
// cause.
class PermitDesk {
 public:
  explicit PermitDesk(PermitDeskSettings settings);

  // Called when this node becomes the permit issuer.
  void Open(Time now);
  void Close();
  bool open() const { return opened_.has_value(); }

  PermitVerdict Ask(Time now, const PermitRequest& request, SuspectLevel level);
  void Done(const AttemptId& attempt);
  void Tick(Time now);

 private:
  struct Permit {
    Fingerprint fingerprint;
    EndpointId endpoint;
    Time heard;
  };

  bool InUse(Fingerprint fingerprint) const;
  bool InUse(const EndpointId& endpoint) const;

  PermitDeskSettings settings_;
  std::optional<Time> opened_;
  std::map<AttemptId, Permit> permits_;
};

}  // namespace gcw

#endif  // COORDINATION_REQUESTS_PERMIT_DESK_H_
