#include "transport/gateway/forward_exchange.h"

#include <utility>

#include "protocol/protocol.h"
#include "transport/gateway/answer_framing.h"
#include "transport/json_log.h"

namespace gcw {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;

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
    case ForwardOutcome::kTruncated:
      return "cut";
    case ForwardOutcome::kCallerDisconnected:
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
  request.relay = relay_terms_;
  request_id_ = request.id;
  arrived_ = parts_.clock();
  ForwardAdmission started =
      parts_.core->OnArrived(arrived_, std::move(request));
  id_ = started.id;
  responder_->OnCallerGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  PerformStep(started.step);
  return id_;
}

void ForwardExchange::PerformStep(const ForwardStep& step) {
  if (const auto* send = std::get_if<SendForward>(&step)) {
    CancelSecondAttempt();
    StartAttempt(attempt_, *send);
  } else if (const auto* relay = std::get_if<RelayForward>(&step)) {
    StartRelay(*relay);
  } else if (std::holds_alternative<AwaitDecision>(step)) {
    return;
  } else if (std::holds_alternative<KeepSecondAttempt>(step)) {
    PromoteSecondAttempt();
  } else if (std::holds_alternative<PassAnswer>(step)) {
    RespondWithAnswer();
  } else if (const auto* refused = std::get_if<ForwardRefused>(&step)) {
    HttpResponse response = parts_.dialect->make_refused_response(*refused);
    if (relay_terms_) {
      response.headers.push_back({std::string(kRelayRefusalHeader),
                                  std::string(RefusalKindName(refused->kind))});
      if (refused->is_unsent) {
        response.headers.push_back({std::string(kRelayUnsentHeader), "1"});
      }
    }
    Respond(std::move(response), ForwardOutcome::kRefused);
  } else if (const auto* unknown = std::get_if<ForwardOutcomeUnknown>(&step)) {
    Respond(parts_.dialect->make_unknown_outcome_response(*unknown),
            ForwardOutcome::kUnknown);
  } else {
    responder_->Abort();
    Finish(ForwardOutcome::kTruncated, attempt_.head.status);
  }
}

void ForwardExchange::StartAttempt(Attempt& attempt, const SendForward& send) {
  attempt = Attempt();
  attempt.vm = send.vm;
  attempt.streams = send.streams;
  attempt.is_repeatable = send.is_repeatable;
  attempt.resume_after = send.resume_after;
  HttpCallOptions options;
  options.connect_timeout = settings_.connect_timeout;
  options.deadline = send.time_left;
  // Silence does not end an attempt: the core may start a second one beside it.
  options.progress_timeout = send.time_left;
  options.reuse_connection = !send.fresh_connection;
  options.accept_unframed = true;
  options.head_timeout = settings_.head_timeout;
  BeginExchange(attempt, *parts_.endpoints, send.address,
                parts_.dialect->make_attempt_request(request_, send), options);
}

void ForwardExchange::StartRelay(const RelayForward& relay) {
  CancelSecondAttempt();
  attempt_ = Attempt();
  attempt_.is_relayed = true;
  attempt_.streams = relay.streams;
  attempt_.is_repeatable = relay.is_repeatable;
  attempt_.resume_after = relay.resume_after;
  HttpCallOptions options;
  options.connect_timeout = settings_.connect_timeout;
  options.deadline = relay.time_left;
  // The other node watches its endpoint, and the core watches the other node.
  options.progress_timeout = relay.time_left;
  options.reuse_connection = !relay.fresh_connection;
  HttpRequest request = parts_.dialect->make_relay_request(request_, relay);
  RemoveRelayHeaders(request.headers);
  request.headers.push_back(
      {std::string(kRelayHeader), EncodeRelayTerms(relay.terms)});
  BeginExchange(attempt_, *parts_.peers, relay.node, std::move(request),
                options);
}

void ForwardExchange::BeginExchange(Attempt& attempt,
                                    HttpClient& client,
                                    const Address& address,
                                    HttpRequest request,
                                    const HttpCallOptions& options) {
  const int number = ++last_attempt_number_;
  attempt.number = number;
  attempt.deadline = parts_.clock() + options.deadline;
  ++attempts_;
  HttpCallHandlers handlers;
  const auto if_running = [weak = weak_from_this(), number](auto run) {
    const auto self = weak.lock();
    Attempt* running =
        self && !self->finished_ ? self->FindAttempt(number) : nullptr;
    if (running != nullptr) {
      run(*self, *running);
    }
  };
  attempt.memory = AnswerMemory::Reservation(
      parts_.answer_memory, [if_running, post = parts_.post] {
        post([if_running] {
          if_running([](ForwardExchange& self, Attempt& running) {
            self.DropAnswer(running);
          });
        });
      });
  handlers.on_head = [if_running](const HttpResponse& head) {
    if_running([&](ForwardExchange& self, Attempt& running) {
      self.OnHead(running, head);
    });
  };
  handlers.on_body = [if_running](std::string_view chunk) {
    if_running([&](ForwardExchange& self, Attempt& running) {
      self.OnBody(running, chunk);
    });
  };
  handlers.on_end = [if_running] {
    if_running(
        [](ForwardExchange& self, Attempt& running) { self.OnEnd(running); });
  };
  handlers.on_failure = [if_running](const HttpFailure& failure) {
    if_running([&](ForwardExchange& self, Attempt& running) {
      self.OnFailure(running, failure);
    });
  };
  attempt.call =
      client.Send(address, std::move(request), options, std::move(handlers));
}

ForwardExchange::Attempt* ForwardExchange::FindAttempt(int number) {
  if (attempt_.number == number) {
    return &attempt_;
  }
  return second_ && second_->number == number ? &*second_ : nullptr;
}

bool ForwardExchange::IsSecond(const Attempt& attempt) const {
  return second_ && &attempt == &*second_;
}

void ForwardExchange::OnHead(Attempt& attempt, const HttpResponse& head) {
  attempt.head = head;
  attempt.has_head = true;
  attempt.answer = parts_.dialect->read_answer(head, request_id_);
  // Any other answer may come from another VM, or from this one at an earlier
  // time.
  if (attempt.is_relayed) {
    attempt.relay_answer = ReadRelayAnswer(head);
    RemoveRelayHeaders(attempt.head.headers);
    attempt.vm = attempt.relay_answer.endpoint;
  }
  const bool is_from_endpoint =
      !attempt.answer.is_misdirected &&
      (attempt.answer.matches_request || attempt.answer.is_not_executed);
  if (is_from_endpoint && IsSecond(attempt)) {
    parts_.core->OnSecondAttemptReport(parts_.clock(), id_,
                                       attempt.answer.report);
  } else if (is_from_endpoint && !attempt.is_relayed) {
    parts_.core->OnReport(parts_.clock(), id_, attempt.answer.report);
  } else if (is_from_endpoint && !attempt.vm.empty()) {
    parts_.core->OnRelayedReport(parts_.clock(), id_, attempt.vm,
                                 attempt.answer.report);
  }
  const bool is_good =
      attempt.answer.matches_request && attempt.answer.has_proof &&
      !attempt.answer.has_content_coding && IsSuccess(head.status);
  // A stream that has begun can be continued only with the events of another
  // run of the request. Any other answer that may come from a run breaks it.
  if (stream_started_ && !is_good && !attempt.answer.is_not_executed &&
      !attempt.answer.is_misdirected && !attempt.relay_answer.refusal) {
    EndAttempt(attempt, ForwardEndKind::kConnectionBroken);
    return;
  }
  if (is_good && attempt.streams) {
    attempt.streams_events = true;
    attempt.splitter.emplace(attempt.resume_after);
    return;
  }
  if (attempt.is_repeatable) {
    LimitBodyTime(attempt);
  }
}

void ForwardExchange::LimitBodyTime(const Attempt& attempt) const {
  const Duration left = attempt.deadline - parts_.clock();
  attempt.call->SetBodyTimeout(Duration::Millis(static_cast<std::int64_t>(
      static_cast<double>(left.millis()) * settings_.body_time_share)));
}

void ForwardExchange::OnBody(Attempt& attempt, std::string_view chunk) {
  if (!attempt.streams_events) {
    attempt.buffered_body += chunk;
    if (attempt.buffered_body.size() > settings_.max_buffered_bytes ||
        !attempt.memory.Resize(attempt.buffered_body.size())) {
      DropAnswer(attempt);
    }
    return;
  }
  const std::optional<std::string_view> events = attempt.splitter->Feed(chunk);
  if (!events) {
    EndAttempt(attempt, ForwardEndKind::kConnectionBroken);
    return;
  }
  if (!attempt.memory.Resize(attempt.splitter->partial_event_bytes())) {
    DropAnswer(attempt);
    return;
  }
  if (!events->empty()) {
    attempt.has_events = true;
    // The view may point into the splitter, which moves with its attempt.
    std::string new_events(*events);
    if (IsSecond(attempt)) {
      parts_.core->OnSecondAttemptWon(parts_.clock(), id_);
      PromoteSecondAttempt();
    }
    CancelSecondAttempt();
    parts_.core->OnProgress(parts_.clock(), id_);
    ForwardEvents(std::move(new_events));
  }
}

void ForwardExchange::DropAnswer(Attempt& attempt) {
  const std::size_t buffered = attempt.splitter
                                   ? attempt.splitter->partial_event_bytes()
                                   : attempt.buffered_body.size();
  LogEvent(LogSeverity::kWarning, "answer_too_long",
           {{"vm", attempt.vm.value()},
            {"buffered_bytes", static_cast<std::int64_t>(buffered)}},
           request_id_);
  EndAttempt(attempt, ForwardEndKind::kConnectionBroken);
}

void ForwardExchange::ForwardEvents(std::string events) {
  if (!stream_started_) {
    stream_started_ = true;
    first_byte_ = parts_.clock();
    responder_->StartStream(attempt_.head.status, TakeAnswerHeaders());
  }
  responder_->Write(std::move(events));
  last_event_ = attempt_.splitter->last_id();
  if (responder_->unsent_bytes() > settings_.max_unsent_bytes) {
    LogEvent(LogSeverity::kWarning, "caller_reads_too_slowly",
             {{"request", request_id_.value()},
              {"unsent_bytes",
               static_cast<std::int64_t>(responder_->unsent_bytes())}});
    responder_->Abort();
    OnCallerGone();
  }
}

void ForwardExchange::OnEnd(Attempt& attempt) {
  const AnswerHead& answer = attempt.answer;
  // A node that refuses without a reason did not read the request: it has too
  // many connections.
  if (attempt.is_relayed &&
      (attempt.relay_answer.refusal ||
       (attempt.head.status == kUnavailable && !answer.has_proof))) {
    EndAttempt(attempt, ForwardEndKind::kNotRun);
    return;
  }
  if (answer.is_misdirected) {
    EndAttempt(attempt, ForwardEndKind::kOtherVm);
    return;
  }
  if (answer.is_not_executed) {
    EndAttempt(attempt, ForwardEndKind::kNotRun);
    return;
  }
  // A complete answer that has no proof or belongs to another attempt says
  // nothing about this request, which may have run.
  if (!answer.matches_request || !answer.has_proof ||
      answer.has_content_coding) {
    EndAttempt(attempt, ForwardEndKind::kConnectionBroken);
    return;
  }
  const StreamEnd stream_end =
      attempt.streams_events
          ? FindStreamEnd(attempt.head.ends_with_connection, attempt.has_events,
                          attempt.splitter->has_partial_event())
          : StreamEnd::kComplete;
  if (stream_end != StreamEnd::kComplete) {
    EndAttempt(attempt, ForwardEndKind::kConnectionBroken,
               stream_end == StreamEnd::kClosedEarly);
    return;
  }
  EndAttempt(attempt, IsSuccess(attempt.head.status)
                          ? ForwardEndKind::kSucceeded
                          : ForwardEndKind::kEndpointFailed);
}

void ForwardExchange::OnFailure(Attempt& attempt, const HttpFailure& failure) {
  if (failure.kind == HttpFailureKind::kDeadlineExceeded) {
    EndAttempt(attempt, ForwardEndKind::kDeadlineExceeded);
    return;
  }
  if (failure.progress == HttpProgress::kNothingSent) {
    EndAttempt(attempt, ForwardEndKind::kNothingSent);
    return;
  }
  if (failure.kind == HttpFailureKind::kProgressTimeout) {
    EndAttempt(attempt, ForwardEndKind::kSilent);
    return;
  }
  EndAttempt(attempt, ForwardEndKind::kConnectionBroken,
             failure.kind == HttpFailureKind::kConnectionReset ||
                 failure.kind == HttpFailureKind::kTruncated);
}

void ForwardExchange::FailOver() {
  if (finished_) {
    return;
  }
  const std::optional<ForwardStep> step = parts_.core->FailOver(
      parts_.clock(), id_, MakeEnd(attempt_, ForwardEndKind::kSilent));
  if (step) {
    Cancel(attempt_);
    PerformStep(*step);
  }
}

void ForwardExchange::StartSecondAttempt() {
  if (finished_ || second_) {
    return;
  }
  const std::optional<SendForward> send = parts_.core->StartSecondAttempt(
      parts_.clock(), id_, MakeEnd(attempt_, ForwardEndKind::kSilent));
  if (send) {
    second_ = Attempt();
    StartAttempt(*second_, *send);
  }
}

void ForwardExchange::PromoteSecondAttempt() {
  Cancel(attempt_);
  attempt_ = std::move(*second_);
  second_.reset();
}

void ForwardExchange::Cancel(Attempt& attempt) {
  // Invalidates pending callbacks of the attempt.
  attempt.number = 0;
  if (attempt.call) {
    attempt.call->Cancel();
    attempt.call.reset();
  }
}

void ForwardExchange::CancelSecondAttempt() {
  if (second_) {
    Cancel(*second_);
    second_.reset();
  }
}

void ForwardExchange::Continue(const ForwardStep& step) {
  if (!finished_) {
    PerformStep(step);
  }
}

void ForwardExchange::End(const ForwardStep& step) {
  if (!finished_) {
    Cancel(attempt_);
    PerformStep(step);
  }
}

ForwardEnd ForwardExchange::MakeEnd(const Attempt& attempt,
                                    ForwardEndKind kind) const {
  ForwardEnd end;
  end.kind = kind;
  end.at_fault = attempt.answer.at_fault;
  end.delivered = stream_started_;
  end.last_event = last_event_;
  end.is_client_error = attempt.has_head && IsClientError(attempt.head.status);
  end.refusal = attempt.relay_answer.refusal;
  // A node that refuses without a reason did not read the request.
  end.is_unsent = attempt.relay_answer.is_unsent ||
                  (attempt.is_relayed && kind == ForwardEndKind::kNotRun &&
                   !attempt.relay_answer.refusal);
  return end;
}

void ForwardExchange::EndAttempt(Attempt& attempt,
                                 ForwardEndKind kind,
                                 bool closed_by_endpoint) {
  Cancel(attempt);
  ForwardEnd end = MakeEnd(attempt, kind);
  end.closed_by_endpoint = closed_by_endpoint;
  const bool is_answer =
      kind == ForwardEndKind::kSucceeded ||
      (kind == ForwardEndKind::kEndpointFailed && end.is_client_error);
  if (IsSecond(attempt) && is_answer) {
    parts_.core->OnSecondAttemptWon(parts_.clock(), id_);
    PromoteSecondAttempt();
  } else if (IsSecond(attempt)) {
    second_.reset();
    parts_.core->OnSecondAttemptEnded(parts_.clock(), id_, end);
    parts_.run_actions();
    return;
  }
  PerformStep(parts_.core->OnEnded(parts_.clock(), id_, end));
  parts_.run_actions();
}

std::vector<HttpHeader> ForwardExchange::TakeAnswerHeaders() {
  std::vector<HttpHeader> headers = std::move(attempt_.head.headers);
  if (relay_terms_) {
    headers.push_back({std::string(kRelayEndpointHeader), attempt_.vm.value()});
  }
  return headers;
}

void ForwardExchange::RespondWithAnswer() {
  if (stream_started_) {
    responder_->Finish();
    Finish(ForwardOutcome::kAnswered, attempt_.head.status);
    return;
  }
  HttpResponse response;
  response.status = attempt_.head.status;
  response.headers = TakeAnswerHeaders();
  response.body = std::move(attempt_.buffered_body);
  Respond(std::move(response), ForwardOutcome::kAnswered);
}

void ForwardExchange::Respond(HttpResponse response, ForwardOutcome outcome) {
  const int status = response.status;
  responder_->Respond(std::move(response));
  Finish(outcome, status);
}

void ForwardExchange::OnCallerGone() {
  if (finished_) {
    return;
  }
  Cancel(attempt_);
  CancelSecondAttempt();
  parts_.core->OnCallerGone(parts_.clock(), id_);
  Finish(ForwardOutcome::kCallerDisconnected, 0);
}

void ForwardExchange::Finish(ForwardOutcome outcome, int status) {
  finished_ = true;
  CancelSecondAttempt();
  responder_.reset();
  const Time now = parts_.clock();
  ForwardSummary summary;
  summary.id = id_;
  summary.request = request_id_;
  summary.outcome = outcome;
  summary.status = status;
  summary.vm = attempt_.vm;
  summary.attempts = attempts_;
  summary.time_to_first_byte = first_byte_.value_or(now) - arrived_;
  summary.total_time = now - arrived_;
  parts_.on_finished(summary);
}

}  // namespace gcw
