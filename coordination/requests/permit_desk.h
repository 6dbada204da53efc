#ifndef COORDINATION_REQUESTS_PERMIT_DESK_H_
#define COORDINATION_REQUESTS_PERMIT_DESK_H_

#include <map>
#include <optional>
#include <vector>

#include "coordination/membership/suspect_table.h"
#include "coordination/requests/guard_messages.h"

namespace gcw {

struct PermitDeskSettings {
  // A permit whose holder was not heard of for so long is taken back. A desk
  // that has just opened waits as long, until the holders of its predecessor's
  // permits have called.
  Duration hold = Duration::Seconds(10);
};

// Hands out permits for suspects: each runs at one endpoint at a time, and no
// endpoint runs two. So the next loss names its cause.
class PermitDesk {
 public:
  explicit PermitDesk(PermitDeskSettings settings);

  // This node became the one that hands out permits.
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
