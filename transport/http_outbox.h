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

// How the answer in an outbox ends.
enum class HttpAnswerEnd { kOpen, kWhole, kAborted };

// Carries one connection's answers from any thread to its strand. Bytes written
// between two flushes go out together.
class HttpOutbox {
 public:
  // `wake` makes the strand call `Take` soon; called from any thread.
  explicit HttpOutbox(std::function<void()> wake);

  // The strand's side. `Begin` starts the answer to the next request and
  // returns its number, without which later calls have no effect.
  std::uint64_t Begin(const AnswerFraming& framing);
  // Moves what is to be written into `bytes`, which must be empty.
  HttpAnswerEnd Take(std::string& bytes);
  void OnSent(std::size_t bytes);
  // Whether the current answer has been given whole, sent or not.
  bool answer_ended() const;
  // Bytes that belong to no answer, such as an interim one.
  void AppendRaw(std::string_view bytes);
  // No more of this answer can be sent. Returns the hook to call, if any.
  std::function<void()> CallerGone();

  // The responder's side. Calls out of order are ignored.
  void Respond(std::uint64_t answer, const HttpResponse& response);
  void StartStream(std::uint64_t answer,
                   int status,
                   const std::vector<HttpHeader>& headers);
  void Write(std::uint64_t answer, std::string_view chunk);
  void Finish(std::uint64_t answer);
  void Abort(std::uint64_t answer);
  // Whoever should have answered let go: ends the answer as an error.
  void LetGo(std::uint64_t answer);
  std::size_t unsent_bytes(std::uint64_t answer) const;
  // Returns the hook for the caller to call now if the caller is gone already.
  std::function<void()> SetHook(std::uint64_t answer,
                                std::function<void()> hook);

 private:
  enum class Stage { kNone, kWaiting, kStreaming, kEnded, kGone };

  bool IsAt(std::uint64_t answer, Stage stage) const;
  // Returns whether the strand has to be woken.
  bool Append(std::string_view bytes);
  // Returns the hook that is no longer needed. It is destroyed after the lock
  // is released, since it may hold the last reference to the responder, whose
  // destructor comes back here.
  [[nodiscard]] std::function<void()> End(HttpAnswerEnd end);
  void WakeIf(bool needed);

  const std::function<void()> wake_;
  mutable std::mutex mutex_;
  std::uint64_t answer_ = 0;
  Stage stage_ = Stage::kNone;
  HttpAnswerEnd end_ = HttpAnswerEnd::kOpen;
  AnswerFraming framing_;
  std::string pending_;
  std::size_t unsent_ = 0;
  bool woken_ = false;
  std::function<void()> hook_;
};

}  // namespace gcw

#endif  // TRANSPORT_HTTP_OUTBOX_H_
