#include "transport/gateway/forward_exchange.h"

#include <utility>

namespace gcw {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

bool IsClientError(int status) {
  return status >= kFirstClientError && status < kFirstServerError;
}

}  // namespace

std::string_view ForwardOutcomeName(ForwardOutcome outcome) {
  switch (outcome) {
    case ForwardOutcome::kAnswered:
      return "answered";
    case ForwardOutcome::kRefused:
      return "refused";
    case ForwardOutcome::kUnknown:
      return "unknown";
    case ForwardOutcome::kCut:
      return "cut";
    case ForwardOutcome::kCallerGone:
      return "caller_gone";
  }
  return "none";
}

ForwardExchange::ForwardExchange(ForwardExchangeSettings settings,
                                 Parts parts,
                                 HttpRequest request,
                                 std::shared_ptr<HttpResponder> responder)
    : settings_(settings),
      parts_(std::move(parts)),
      request_(std::move(request)),
      responder_(std::move(responder)) {}

ForwardId ForwardExchange::Start() {
  ForwardRequest request = parts_.dialect->read_request(request_);
  request_id_ = request.id;
  arrived_ = parts_.clock();
  ForwardBegun begun = parts_.core->OnArrived(arrived_, std::move(request));
  id_ = begun.id;
  responder_->OnCallerGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  Carry(begun.step);
  return id_;
}

void ForwardExchange::Carry(const ForwardStep& step) {
  if (const auto* send = std::get_if<SendForward>(&step)) {
    Send(*send);
  } else if (std::holds_alternative<PassAnswer>(step)) {
    PassWhole();
  } else if (const auto* refused = std::get_if<ForwardRefused>(&step)) {
    Respond(parts_.dialect->make_refusal(*refused), ForwardOutcome::kRefused);
  } else if (const auto* unknown = std::get_if<ForwardUnknown>(&step)) {
    Respond(parts_.dialect->make_unknown(*unknown), ForwardOutcome::kUnknown);
  } else {
    responder_->Abort();
    Finish(ForwardOutcome::kCut, attempt_.head.status);
  }
}

void ForwardExchange::Send(const SendForward& send) {
  attempt_ = Attempt();
  attempt_.send = send;
  const int number = ++attempt_number_;
  ++attempts_;
  HttpCallOptions options;
  options.connect_timeout = settings_.connect_timeout;
  options.deadline = send.time_left;
  options.progress_timeout = send.streams || send.fresh_connection
                                 ? send.time_left
                                 : settings_.service_silence;
  options.reuse_connection = !send.fresh_connection;
  options.accept_unframed = true;
  HttpCallHandlers handlers;
  const auto guard = [weak = weak_from_this(), number](auto run) {
    const auto self = weak.lock();
    if (self && !self->over_ && self->attempt_number_ == number) {
      run(*self);
    }
  };
  handlers.on_head = [guard](const HttpResponse& head) {
    guard([&](ForwardExchange& self) { self.OnHead(head); });
  };
  handlers.on_body = [guard](std::string_view chunk) {
    guard([&](ForwardExchange& self) { self.OnBody(chunk); });
  };
  handlers.on_end = [guard] {
    guard([](ForwardExchange& self) { self.OnEnd(); });
  };
  handlers.on_failure = [guard](const HttpFailure& failure) {
    guard([&](ForwardExchange& self) { self.OnFailure(failure); });
  };
  attempt_.call = parts_.endpoints->Send(
      send.address, parts_.dialect->make_attempt(request_, send), options,
      std::move(handlers));
}

void ForwardExchange::OnHead(const HttpResponse& head) {
  attempt_.head = head;
  attempt_.has_head = true;
  attempt_.read = parts_.dialect->read_answer(head, request_id_);
  if (attempt_.read.load) {
    parts_.core->OnLoad(parts_.clock(), id_, *attempt_.read.load);
  }
  const bool is_good = attempt_.read.is_ours && attempt_.read.is_signed &&
                       !attempt_.read.is_altered && IsSuccess(head.status);
  // A stream that has begun can be continued only with the events of another
  // run of the request. Any other answer that may come from a run breaks it.
  if (stream_begun_ && !is_good && !attempt_.read.is_not_run &&
      !attempt_.read.is_other_vm) {
    EndAttempt(ForwardEndKind::kBroke);
    return;
  }
  if (is_good && attempt_.send.streams) {
    attempt_.passes_events = true;
    attempt_.cutter.emplace(attempt_.send.resume_after);
  }
}

void ForwardExchange::OnBody(std::string_view chunk) {
  if (!attempt_.passes_events) {
    attempt_.held += chunk;
    if (attempt_.held.size() > settings_.most_held_bytes) {
      EndAttempt(ForwardEndKind::kBroke);
    }
    return;
  }
  const std::optional<std::string_view> events = attempt_.cutter->Feed(chunk);
  if (!events) {
    EndAttempt(ForwardEndKind::kBroke);
    return;
  }
  if (!events->empty()) {
    parts_.core->OnProgress(parts_.clock(), id_);
    PassEvents(*events);
  }
}

void ForwardExchange::PassEvents(std::string_view events) {
  if (!stream_begun_) {
    stream_begun_ = true;
    first_byte_ = parts_.clock();
    responder_->StartStream(attempt_.head.status, attempt_.head.headers);
  }
  responder_->Write(std::string(events));
  last_event_ = attempt_.cutter->last_id();
}

void ForwardExchange::OnEnd() {
  const AnswerHead& read = attempt_.read;
  if (read.is_other_vm) {
    EndAttempt(ForwardEndKind::kOtherVm);
    return;
  }
  if (read.is_not_run) {
    EndAttempt(ForwardEndKind::kNotRun);
    return;
  }
  // A complete answer that has no proof or belongs to another attempt says
  // nothing about this request, which may have run.
  if (!read.is_ours || !read.is_signed || read.is_altered ||
      (attempt_.passes_events && attempt_.cutter->has_rest())) {
    EndAttempt(ForwardEndKind::kBroke);
    return;
  }
  EndAttempt(IsSuccess(attempt_.head.status) ? ForwardEndKind::kSucceeded
                                             : ForwardEndKind::kFailedThere);
}

void ForwardExchange::OnFailure(const HttpFailure& failure) {
  if (failure.kind == HttpFailureKind::kDeadline) {
    EndAttempt(ForwardEndKind::kOutOfTime);
    return;
  }
  if (failure.progress == HttpProgress::kNothingSent) {
    EndAttempt(ForwardEndKind::kNothingSent);
    return;
  }
  EndAttempt(failure.kind == HttpFailureKind::kSilent ? ForwardEndKind::kSilent
                                                      : ForwardEndKind::kBroke);
}

void ForwardExchange::Move() {
  if (!over_) {
    EndAttempt(ForwardEndKind::kSilent);
  }
}

void ForwardExchange::EndAttempt(ForwardEndKind kind) {
  // Invalidates pending callbacks of this attempt.
  ++attempt_number_;
  if (attempt_.call) {
    attempt_.call->Cancel();
    attempt_.call.reset();
  }
  ForwardEnd end;
  end.kind = kind;
  end.at_fault = attempt_.read.at_fault;
  end.delivered = stream_begun_;
  end.last_event = last_event_;
  end.is_callers_fault =
      attempt_.has_head && IsClientError(attempt_.head.status);
  Carry(parts_.core->OnEnded(parts_.clock(), id_, end));
}

void ForwardExchange::PassWhole() {
  if (stream_begun_) {
    responder_->Finish();
    Finish(ForwardOutcome::kAnswered, attempt_.head.status);
    return;
  }
  HttpResponse response;
  response.status = attempt_.head.status;
  response.headers = std::move(attempt_.head.headers);
  response.body = std::move(attempt_.held);
  Respond(std::move(response), ForwardOutcome::kAnswered);
}

void ForwardExchange::Respond(HttpResponse response, ForwardOutcome outcome) {
  const int status = response.status;
  responder_->Respond(std::move(response));
  Finish(outcome, status);
}

void ForwardExchange::OnCallerGone() {
  if (over_) {
    return;
  }
  ++attempt_number_;
  if (attempt_.call) {
    attempt_.call->Cancel();
    attempt_.call.reset();
  }
  parts_.core->OnCallerGone(parts_.clock(), id_);
  Finish(ForwardOutcome::kCallerGone, 0);
}

void ForwardExchange::Finish(ForwardOutcome outcome, int status) {
  over_ = true;
  responder_.reset();
  const Time now = parts_.clock();
  ForwardSummary summary;
  summary.id = id_;
  summary.request = request_id_;
  summary.outcome = outcome;
  summary.status = status;
  summary.vm = attempt_.send.vm;
  summary.attempts = attempts_;
  summary.first_byte = first_byte_.value_or(now) - arrived_;
  summary.whole = now - arrived_;
  parts_.on_over(summary);
}

}  // namespace gcw
