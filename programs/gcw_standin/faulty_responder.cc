#include "programs/gcw_standin/faulty_responder.h"

#include <utility>

namespace gcw {

FaultyResponder::FaultyResponder(std::shared_ptr<HttpResponder> inner,
                                 const Faults& faults,
                                 SilencedResponders& silenced,
                                 bool loses_answer)
    : inner_(std::move(inner)),
      faults_(&faults),
      silenced_(&silenced),
      loses_answer_(loses_answer),
      silenced_epoch_at_start_(faults.silenced_epoch) {}

std::shared_ptr<FaultyResponder> FaultyResponder::Wrap(
    std::shared_ptr<HttpResponder> inner,
    const Faults& faults,
    SilencedResponders& silenced,
    bool loses_answer) {
  std::shared_ptr<FaultyResponder> responder(
      new FaultyResponder(std::move(inner), faults, silenced, loses_answer));
  responder->inner_->OnCallerGone([weak = responder->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->HandleCallerGone();
    }
  });
  return responder;
}

void FaultyResponder::Silence() {
  is_silenced_ = true;
  if (!caller_gone_) {
    silenced_->insert(shared_from_this());
  }
}

void FaultyResponder::Respond(HttpResponse response) {
  if (IsSilenced()) {
    return;
  }
  if (loses_answer_) {
    inner_->Abort();
    return;
  }
  inner_->Respond(std::move(response));
}

void FaultyResponder::StartStream(int status, std::vector<HttpHeader> headers) {
  if (IsSilenced()) {
    return;
  }
  if (loses_answer_) {
    inner_->Abort();
    return;
  }
  inner_->StartStream(status, std::move(headers));
}

void FaultyResponder::Write(std::string chunk) {
  if (!IsSilenced() && !loses_answer_) {
    inner_->Write(std::move(chunk));
  }
}

void FaultyResponder::Finish() {
  if (!IsSilenced() && !loses_answer_) {
    inner_->Finish();
  }
}

void FaultyResponder::Abort() {
  if (!IsSilenced()) {
    inner_->Abort();
  }
}

std::size_t FaultyResponder::unsent_bytes() const {
  return inner_->unsent_bytes();
}

void FaultyResponder::OnCallerGone(std::function<void()> hook) {
  if (caller_gone_) {
    hook();
    return;
  }
  caller_gone_hook_ = std::move(hook);
}

bool FaultyResponder::IsSilenced() {
  if (faults_->silent || faults_->silenced_epoch != silenced_epoch_at_start_) {
    Silence();
  }
  return is_silenced_ || caller_gone_;
}

void FaultyResponder::HandleCallerGone() {
  caller_gone_ = true;
  silenced_->erase(shared_from_this());
  if (caller_gone_hook_) {
    std::exchange(caller_gone_hook_, nullptr)();
  }
}

}  // namespace gcw
