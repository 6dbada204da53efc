#ifndef COORDINATION_ROUTING_ENDPOINT_LOAD_H_
#define COORDINATION_ROUTING_ENDPOINT_LOAD_H_

#include <cstdint>
#include <vector>

#include "coordination/routing/route.h"
#include "state/state.h"

namespace gcw {

// What other nodes are taken to do, for the time since an endpoint's report.
struct PeerAssumption {
  // Other nodes that route to the same endpoints.
  double others = 0;
  // How far they do what this node did, from 0 to 1.
  double likeness = 0;
  // What this node sends to an endpoint in the mean, per millisecond.
  double mean_requests_per_milli = 0;
  double mean_tokens_per_milli = 0;
  // How fast requests end and prompt tokens are computed.
  double service_millis = 1;
  double tokens_per_milli = 1;
  // Reports older than this count as none.
  Duration report_timeout;
};

// An endpoint's load as expected now.
struct LoadEstimate {
  double requests = 0;
  // Prompt tokens waiting to be computed.
  double tokens = 0;
  // 0 where unknown.
  double batch_limit = 0;
};

// What one endpoint has to do, as far as this node can know: its last report,
// which is old, corrected by what this node sent there since, by what other
// nodes likely sent, and by what the endpoint likely finished.
class EndpointLoad {
 public:
  // False for a report that is not newer than the last.
  bool OnReport(const LoadReport& report);
  void OnSent(Time now,
              DispatchTicket ticket,
              std::int64_t tokens,
              Duration expected_first_byte);
  void OnFirstByte(DispatchTicket ticket);
  // Finished, failed or cancelled.
  void OnEnded(DispatchTicket ticket);

  LoadEstimate Estimate(Time now, const PeerAssumption& peers) const;
  // By how much the request that waits longest for its first byte exceeds what
  // was expected. Reports of a paused endpoint look well until they stop; this
  // grows at once.
  Duration Overdue(Time now) const;

  std::int64_t own_in_flight() const {
    return static_cast<std::int64_t>(own_.size());
  }
  bool has_report() const { return has_report_; }
  Time report_taken_at() const { return taken_at_; }

 private:
  struct OwnAttempt {
    DispatchTicket ticket;
    Time sent;
    std::int64_t tokens = 0;
    Duration expected_first_byte;
    bool has_first_byte = false;
  };

  OwnAttempt* Find(DispatchTicket ticket);
  // The report cannot know of it yet.
  bool IsAfterReport(const OwnAttempt& attempt) const;
  void CountAfterReport();

  bool has_report_ = false;
  Time taken_at_;
  double reported_requests_ = 0;
  double reported_tokens_ = 0;
  double batch_limit_ = 0;
  std::vector<OwnAttempt> own_;
  // Own requests sent after the report was taken, and their prompt tokens that
  // have brought no first byte.
  double sent_requests_ = 0;
  double sent_tokens_ = 0;
  // Own requests that the report counts and that ended since.
  double ended_requests_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ENDPOINT_LOAD_H_
