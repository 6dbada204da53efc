#ifndef PROGRAMS_GCW_LOAD_RESERVATION_EXCHANGE_H_
#define PROGRAMS_GCW_LOAD_RESERVATION_EXCHANGE_H_

#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "programs/gcw_load/request_sender.h"
#include "programs/gcw_load/resend_policy.h"

namespace gcw {

// One call that may run at most once, with all its sends under one idempotency
// key. Its callbacks keep it alive until its outcome is recorded.
class ReservationExchange
    : public std::enable_shared_from_this<ReservationExchange> {
 public:
  ReservationExchange(LoadContext& context, PlannedRequest planned);

  void Start();

 private:
  HttpRequest MakeRequest() const;
  HttpCallHandlers MakeHandlers();
  void Send();
  void OnEnd();
  void OnFailure(HttpFailure failure);
  void OnAnswer();
  void OnFailedSend(const FailedAnswer& failed);
  // Records the key's outcome; `change(KindTally&)` counts it.
  template <typename Change>
  void Record(KeyOutcome outcome, Change change);

  LoadContext& context_;
  PlannedRequest planned_;
  ResendPolicy policy_;
  boost::asio::steady_timer timer_;
  // The response to the current send.
  HttpResponse response_;
};

}  // namespace gcw

#endif  // PROGRAMS_GCW_LOAD_RESERVATION_EXCHANGE_H_
