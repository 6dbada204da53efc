#ifndef TRANSPORT_ANSWER_RECEIVER_H_
#define TRANSPORT_ANSWER_RECEIVER_H_

#include <functional>
#include <string_view>

#include "coordination/coordination.h"
#include "transport/http_types.h"

namespace gcw {

// Turns the responses of a request's attempts into the response to the caller.
// It checks every piece against its attempt, so that nothing from another
// request, from an earlier attempt or out of order reaches the caller. Calls
// arrive in order, and one attempt runs at a time.
class AnswerReceiver {
 public:
  virtual ~AnswerReceiver() = default;

  // Starts a new attempt. Returns the request to send.
  virtual HttpRequest Start(const DispatchAttempt& dispatch) = 0;
  virtual void OnHead(const HttpResponse& head) = 0;
  // Returns false if the response violates the protocol; the attempt must then
  // be stopped.
  virtual bool OnBody(std::string_view chunk) = 0;
  // The response ended properly as HTTP. Returns the outcome of the attempt.
  virtual AttemptEnd OnEnd() = 0;
  // Number of tokens that were delivered to the caller or are kept for it.
  virtual TokenCount delivered() const = 0;
  // True if a part of the response has been passed to the caller's connection.
  virtual bool begun() const = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_ANSWER_RECEIVER_H_
