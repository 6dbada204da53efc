#include "transport/http_outbox.h"

#include <algorithm>
#include <utility>

#include "transport/http_error.h"

namespace gcw {

HttpOutbox::HttpOutbox(std::function<void()> wake) : wake_(std::move(wake)) {}

std::uint64_t HttpOutbox::Begin(const AnswerFraming& framing) {
  const std::lock_guard lock(mutex_);
  framing_ = framing;
  stage_ = Stage::kWaiting;
  end_ = HttpAnswerEnd::kOpen;
  return ++answer_;
}

HttpAnswerEnd HttpOutbox::Take(std::string& bytes) {
  const std::lock_guard lock(mutex_);
  woken_ = false;
  bytes.swap(pending_);
  return end_;
}

void HttpOutbox::OnSent(std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  unsent_ -= std::min(bytes, unsent_);
}

bool HttpOutbox::answer_ended() const {
  const std::lock_guard lock(mutex_);
  return stage_ == Stage::kEnded;
}

void HttpOutbox::AppendRaw(std::string_view bytes) {
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    wake = Append(bytes);
  }
  WakeIf(wake);
}

std::function<void()> HttpOutbox::CallerGone() {
  const std::lock_guard lock(mutex_);
  const bool answer_open =
      stage_ == Stage::kWaiting || stage_ == Stage::kStreaming;
  stage_ = Stage::kGone;
  pending_.clear();
  unsent_ = 0;
  auto hook = std::exchange(hook_, nullptr);
  return answer_open ? std::move(hook) : nullptr;
}

void HttpOutbox::Respond(std::uint64_t answer, const HttpResponse& response) {
  std::function<void()> unused_hook;
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAt(answer, Stage::kWaiting)) {
      return;
    }
    wake = Append(EncodeWhole(response, framing_));
    unused_hook = End(HttpAnswerEnd::kWhole);
  }
  WakeIf(wake);
}

void HttpOutbox::StartStream(std::uint64_t answer,
                             int status,
                             const std::vector<HttpHeader>& headers) {
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAt(answer, Stage::kWaiting)) {
      return;
    }
    wake = Append(EncodeStreamHead(status, headers, framing_));
    stage_ = Stage::kStreaming;
  }
  WakeIf(wake);
}

void HttpOutbox::Write(std::uint64_t answer, std::string_view chunk) {
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAt(answer, Stage::kStreaming)) {
      return;
    }
    wake = Append(EncodeChunk(chunk, framing_));
  }
  WakeIf(wake);
}

void HttpOutbox::Finish(std::uint64_t answer) {
  std::function<void()> unused_hook;
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAt(answer, Stage::kStreaming)) {
      return;
    }
    wake = Append(EncodeLastChunk(framing_));
    unused_hook = End(HttpAnswerEnd::kWhole);
  }
  WakeIf(wake);
}

void HttpOutbox::Abort(std::uint64_t answer) {
  std::function<void()> unused_hook;
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAt(answer, Stage::kStreaming) && !IsAt(answer, Stage::kWaiting)) {
      return;
    }
    wake = Append({});
    unused_hook = End(HttpAnswerEnd::kAborted);
  }
  WakeIf(wake);
}

void HttpOutbox::LetGo(std::uint64_t answer) {
  Respond(answer, MakeErrorResponse(HttpErrorKind::kNoAnswer));
  // The response is still open only if it is a stream.
  Abort(answer);
}

std::size_t HttpOutbox::unsent_bytes(std::uint64_t answer) const {
  const std::lock_guard lock(mutex_);
  return answer == answer_ ? unsent_ : 0;
}

std::function<void()> HttpOutbox::SetHook(std::uint64_t answer,
                                          std::function<void()> hook) {
  const std::lock_guard lock(mutex_);
  if (IsAt(answer, Stage::kGone)) {
    return hook;
  }
  if (IsAt(answer, Stage::kWaiting) || IsAt(answer, Stage::kStreaming)) {
    hook_.swap(hook);
  }
  return nullptr;
}

bool HttpOutbox::IsAt(std::uint64_t answer, Stage stage) const {
  return answer == answer_ && stage == stage_;
}

bool HttpOutbox::Append(std::string_view bytes) {
  pending_ += bytes;
  unsent_ += bytes.size();
  return !std::exchange(woken_, true);
}

std::function<void()> HttpOutbox::End(HttpAnswerEnd end) {
  stage_ = Stage::kEnded;
  end_ = end;
  return std::exchange(hook_, nullptr);
}

void HttpOutbox::WakeIf(bool needed) {
  if (needed) {
    wake_();
  }
}

}  // namespace gcw
