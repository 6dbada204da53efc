#ifndef TRANSPORT_ANSWER_RECEIVER_H_
#define TRANSPORT_ANSWER_RECEIVER_H_

#include <functional>
#include <string_view>

#include "coordination/coordination.h"
#include "transport/http_types.h"

namespace gcw {

// Turns the answers of a request's attempts into the caller's answer. It checks
// every piece against the attempt it must belong to, so that nothing of another
// request, of an earlier attempt or out of order reaches the caller. All calls
// come in order; one attempt runs at a time.
class AnswerReceiver {
 public:
  virtual ~AnswerReceiver() = default;

  // A new attempt starts; the request to send.
  virtual HttpRequest Start(const DispatchAttempt& dispatch) = 0;
  virtual void OnHead(const HttpResponse& head) = 0;
  // False where the answer broke the protocol: the attempt is to be stopped.
  virtual bool OnBody(std::string_view chunk) = 0;
  // The answer ended properly as HTTP; what it was.
  virtual AttemptEnd OnEnd() = 0;
  // Tokens that the caller has, or that are kept for it.
  virtual TokenCount delivered() const = 0;
  // Whether a part of the answer was given to the caller's connection.
  virtual bool begun() const = 0;
};

}  // namespace gcw

#endif  // TRANSPORT_ANSWER_RECEIVER_H_
