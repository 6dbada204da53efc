#ifndef COORDINATION_ROUTING_ENDPOINT_LOAD_H_
#define COORDINATION_ROUTING_ENDPOINT_LOAD_H_

#include <cstdint>
#include <vector>

#include "coordination/routing/route.h"
#include "state/state.h"

namespace gcw {

// A model of what other nodes have sent to an endpoint since its last report.
struct PeerLoadModel {
  // Number of other nodes that route to the same endpoints.
  double other_nodes = 0;
  // How closely the other nodes follow this node's choices: 0 if they spread
  // their requests evenly, 1 if they send what this node sent.
  double similarity = 0;
  // This node's mean rates for one endpoint, per millisecond.
  double mean_requests_per_milli = 0;
  double mean_tokens_per_milli = 0;
  // Mean time a request is served, and the rate at which prompt tokens are
  // computed.
  double service_millis = 1;
  double tokens_per_milli = 1;
  // A report older than this is ignored.
  Duration report_timeout;
};

// An endpoint's estimated current load.
struct LoadEstimate {
  double requests = 0;
  // Prompt tokens that are not computed yet.
  double tokens = 0;
  // 0 if unknown.
  double batch_limit = 0;
};

// Estimates the load of one endpoint. The last report is out of date, so the
// estimate adds what this node has sent since and what other nodes likely sent,
// and subtracts what the endpoint has likely finished.
class EndpointLoad {
 public:
  // Returns false and ignores the report if it is not newer than the last one.
  bool OnReport(const LoadReport& report);
  void OnSent(Time now,
              DispatchTicket ticket,
              std::int64_t tokens,
              Duration expected_first_byte);
  void OnFirstByte(DispatchTicket ticket);
  // The attempt finished, failed or was cancelled.
  void OnEnded(DispatchTicket ticket);

  LoadEstimate Estimate(Time now, const PeerLoadModel& peers) const;
  // The longest time by which a request has exceeded its expected time to first
  // byte. It reveals a paused endpoint at once, while the endpoint's reports
  // look normal until they stop.
  Duration Overdue(Time now) const;

  std::int64_t own_in_flight() const {
    return static_cast<std::int64_t>(own_attempts_.size());
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

  OwnAttempt* FindAttempt(DispatchTicket ticket);
  // True if the attempt was sent after the last report was taken.
  bool IsAfterReport(const OwnAttempt& attempt) const;
  void RecountAfterReport();

  bool has_report_ = false;
  Time taken_at_;
  double reported_requests_ = 0;
  double reported_tokens_ = 0;
  double batch_limit_ = 0;
  std::vector<OwnAttempt> own_attempts_;
  // This node's requests that were sent after the report was taken, and the
  // prompt tokens of those that have no first byte yet.
  double sent_requests_ = 0;
  double sent_tokens_ = 0;
  // This node's requests that the report counts and that have ended since.
  double ended_requests_ = 0;
};

}  // namespace gcw

#endif  // COORDINATION_ROUTING_ENDPOINT_LOAD_H_
