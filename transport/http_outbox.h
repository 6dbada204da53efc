#ifndef TRANSPORT_HTTP_OUTBOX_H_
#define TRANSPORT_HTTP_OUTBOX_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "transport/http_framing.h"
#include "transport/http_types.h"

namespace gcw {

// How the current response has ended, if it has.
enum class HttpResponseEnd { kOpen, kComplete, kAborted };

// Passes the responses of one connection from any thread to the connection's
// strand. Bytes written between two flushes are sent together.
class HttpOutbox {
 public:
  // `wake` makes the strand call `Take` soon; it may be called from any thread.
  explicit HttpOutbox(std::function<void()> wake);

  // The methods from here to `MarkCallerGone` are called on the strand. `Begin`
  // starts the response to the next request and returns its number. Later calls
  // with another number have no effect.
  std::uint64_t Begin(const ResponseFraming& framing);
  // Moves the bytes to write into `bytes`, which must be empty.
  HttpResponseEnd Take(std::string& bytes);
  void OnSent(std::size_t bytes);
  // True if the current response has ended, sent or not.
  bool response_ended() const;
  // True if the status of the current response is below 400.
  bool is_successful() const;
  // Appends bytes that belong to no final response, such as an interim one.
  void AppendRaw(std::string_view bytes);
  // Discards the rest of the current response, since it can no longer be sent.
  // Returns the hook to call, if any.
  std::function<void()> MarkCallerGone();

  // The methods below are called by the responder. Calls out of order are
  // ignored. A response whose status is not valid is replaced by an error.
  void Respond(std::uint64_t response_id, const HttpResponse& response);
  void StartStream(std::uint64_t response_id,
                   int status,
                   const std::vector<HttpHeader>& headers);
  void Write(std::uint64_t response_id, std::string_view chunk);
  void Finish(std::uint64_t response_id);
  void Abort(std::uint64_t response_id);
  // Called if the responder is released: a response that has not ended then
  // ends as an error.
  void OnResponderReleased(std::uint64_t response_id);
  std::size_t unsent_bytes(std::uint64_t response_id) const;
  // The same for all responses. May be called from any thread.
  std::size_t unsent_bytes() const;
  // Sets the hook to call when the caller goes away. If the caller has already
  // gone, the hook is returned, to be called at once.
  std::function<void()> SetCallerGoneHook(std::uint64_t response_id,
                                          std::function<void()> hook);

 private:
  enum class Stage { kNone, kWaiting, kStreaming, kEnded, kGone };

  void RespondInvalid(std::uint64_t response_id, int status);
  bool IsAtStage(std::uint64_t response_id, Stage stage) const;
  // Returns whether the strand must be woken.
  bool Append(std::string_view bytes);
  // Returns the hook, which is no longer needed. It must be destroyed after the
  // lock is released: it may hold the last reference to the responder, whose
  // destructor calls this object.
  [[nodiscard]] std::function<void()> End(HttpResponseEnd end);
  void WakeIf(bool needed);

  const std::function<void()> wake_;
  mutable std::mutex mutex_;
  std::uint64_t response_id_ = 0;
  Stage stage_ = Stage::kNone;
  HttpResponseEnd end_ = HttpResponseEnd::kOpen;
  ResponseFraming framing_;
  int status_ = 0;
  std::string pending_;
  std::size_t unsent_ = 0;
  bool wake_pending_ = false;
  std::function<void()> caller_gone_hook_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_OUTBOX_H_
