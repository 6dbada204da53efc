#include "transport/http_outbox.h"

#include <algorithm>
#include <utility>

#include "transport/http_error.h"
#include "transport/json_log.h"

namespace gcw {

HttpOutbox::HttpOutbox(std::function<void()> wake) : wake_(std::move(wake)) {}

std::uint64_t HttpOutbox::Begin(const ResponseFraming& framing) {
  const std::lock_guard lock(mutex_);
  framing_ = framing;
  stage_ = Stage::kWaiting;
  end_ = HttpResponseEnd::kOpen;
  return ++response_id_;
}

HttpResponseEnd HttpOutbox::Take(std::string& bytes) {
  const std::lock_guard lock(mutex_);
  wake_pending_ = false;
  bytes.swap(pending_);
  return end_;
}

void HttpOutbox::OnSent(std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  unsent_ -= std::min(bytes, unsent_);
}

bool HttpOutbox::response_ended() const {
  const std::lock_guard lock(mutex_);
  return stage_ == Stage::kEnded;
}

bool HttpOutbox::is_successful() const {
  constexpr int kFirstClientError = 400;
  const std::lock_guard lock(mutex_);
  return status_ < kFirstClientError;
}

void HttpOutbox::AppendRaw(std::string_view bytes) {
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    wake = Append(bytes);
  }
  WakeIf(wake);
}

std::function<void()> HttpOutbox::MarkCallerGone() {
  const std::lock_guard lock(mutex_);
  const bool response_open =
      stage_ == Stage::kWaiting || stage_ == Stage::kStreaming;
  stage_ = Stage::kGone;
  pending_.clear();
  unsent_ = 0;
  auto hook = std::exchange(caller_gone_hook_, nullptr);
  return response_open ? std::move(hook) : nullptr;
}

void HttpOutbox::Respond(std::uint64_t response_id,
                         const HttpResponse& response) {
  const auto status = FinalStatus::FromNumber(response.status);
  if (!status) {
    RespondInvalid(response_id, response.status);
    return;
  }
  std::function<void()> released_hook;
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAtStage(response_id, Stage::kWaiting)) {
      return;
    }
    status_ = response.status;
    wake = Append(
        EncodeResponse(*status, response.headers, response.body, framing_));
    released_hook = End(HttpResponseEnd::kComplete);
  }
  WakeIf(wake);
}

void HttpOutbox::StartStream(std::uint64_t response_id,
                             int status,
                             const std::vector<HttpHeader>& headers) {
  const auto final_status = FinalStatus::FromNumber(status);
  if (!final_status || final_status->excludes_body()) {
    RespondInvalid(response_id, status);
    return;
  }
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAtStage(response_id, Stage::kWaiting)) {
      return;
    }
    status_ = status;
    wake = Append(EncodeStreamHead(*final_status, headers, framing_));
    stage_ = Stage::kStreaming;
  }
  WakeIf(wake);
}

void HttpOutbox::RespondInvalid(std::uint64_t response_id, int status) {
  LogEvent(LogSeverity::kError, "invalid_response_status",
           {{"status", static_cast<std::int64_t>(status)}});
  Respond(response_id, MakeErrorResponse(HttpErrorKind::kInvalidResponse));
}

void HttpOutbox::Write(std::uint64_t response_id, std::string_view chunk) {
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAtStage(response_id, Stage::kStreaming)) {
      return;
    }
    wake = Append(EncodeChunk(chunk, framing_));
  }
  WakeIf(wake);
}

void HttpOutbox::Finish(std::uint64_t response_id) {
  std::function<void()> released_hook;
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAtStage(response_id, Stage::kStreaming)) {
      return;
    }
    wake = Append(EncodeLastChunk(framing_));
    released_hook = End(HttpResponseEnd::kComplete);
  }
  WakeIf(wake);
}

void HttpOutbox::Abort(std::uint64_t response_id) {
  std::function<void()> released_hook;
  bool wake = false;
  {
    const std::lock_guard lock(mutex_);
    if (!IsAtStage(response_id, Stage::kStreaming) &&
        !IsAtStage(response_id, Stage::kWaiting)) {
      return;
    }
    wake = Append({});
    released_hook = End(HttpResponseEnd::kAborted);
  }
  WakeIf(wake);
}

void HttpOutbox::OnResponderReleased(std::uint64_t response_id) {
  Respond(response_id, MakeErrorResponse(HttpErrorKind::kNoAnswer));
  // The response is still open only if it is a stream.
  Abort(response_id);
}

std::size_t HttpOutbox::unsent_bytes(std::uint64_t response_id) const {
  const std::lock_guard lock(mutex_);
  return response_id == response_id_ ? unsent_ : 0;
}

std::size_t HttpOutbox::unsent_bytes() const {
  const std::lock_guard lock(mutex_);
  return unsent_;
}

std::function<void()> HttpOutbox::SetCallerGoneHook(
    std::uint64_t response_id,
    std::function<void()> hook) {
  const std::lock_guard lock(mutex_);
  if (IsAtStage(response_id, Stage::kGone)) {
    return hook;
  }
  if (IsAtStage(response_id, Stage::kWaiting) ||
      IsAtStage(response_id, Stage::kStreaming)) {
    caller_gone_hook_.swap(hook);
  }
  return nullptr;
}

bool HttpOutbox::IsAtStage(std::uint64_t response_id, Stage stage) const {
  return response_id == response_id_ && stage == stage_;
}

bool HttpOutbox::Append(std::string_view bytes) {
  pending_ += bytes;
  unsent_ += bytes.size();
  return !std::exchange(wake_pending_, true);
}

std::function<void()> HttpOutbox::End(HttpResponseEnd end) {
  stage_ = Stage::kEnded;
  end_ = end;
  return std::exchange(caller_gone_hook_, nullptr);
}

void HttpOutbox::WakeIf(bool needed) {
  if (needed) {
    wake_();
  }
}

}  // namespace gcw
