#include "transport/caller_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "protocol/protocol.h"
#include "transport/refusal_http.h"

namespace gcw {
namespace {

constexpr int kStatusBadGateway = 502;

AttemptFailureKind ToBreakKind(HttpFailureKind kind) {
  switch (kind) {
    case HttpFailureKind::kConnectRefused:
      return AttemptFailureKind::kConnectRefused;
    case HttpFailureKind::kConnectTimeout:
      return AttemptFailureKind::kConnectTimeout;
    case HttpFailureKind::kConnectionReset:
      return AttemptFailureKind::kReset;
    case HttpFailureKind::kProgressTimeout:
      return AttemptFailureKind::kStalled;
    case HttpFailureKind::kDeadlineExceeded:
      return AttemptFailureKind::kDeadline;
    case HttpFailureKind::kMalformedAnswer:
    case HttpFailureKind::kAnswerTooLarge:
      return AttemptFailureKind::kMalformed;
    case HttpFailureKind::kAnswerTimeout:
      return AttemptFailureKind::kStalled;
    case HttpFailureKind::kTruncated:
      return AttemptFailureKind::kTruncated;
    case HttpFailureKind::kCancelled:
      return AttemptFailureKind::kWithheld;
  }
  return AttemptFailureKind::kReset;
}

AttemptProgress ToAttemptProgress(HttpProgress progress) {
  switch (progress) {
    case HttpProgress::kNothingSent:
      return AttemptProgress::kNothingSent;
    case HttpProgress::kMaybeSent:
      return AttemptProgress::kMaybeSent;
    case HttpProgress::kAnswerBegun:
      return AttemptProgress::kAnswerBegun;
  }
  return AttemptProgress::kMaybeSent;
}

}  // namespace

CallerExchange::CallerExchange(boost::asio::io_context& context,
                               HttpClient& client,
                               RequestId id,
                               std::shared_ptr<HttpResponder> responder,
                               std::unique_ptr<AnswerReceiver> receiver,
                               HttpCallOptions options,
                               Hooks hooks)
    : strand_(boost::asio::make_strand(context)),
      client_(client),
      id_(std::move(id)),
      responder_(std::move(responder)),
      receiver_(std::move(receiver)),
      options_(options),
      hooks_(std::move(hooks)) {}

void CallerExchange::Dispatch(DispatchAttempt dispatch) {
  boost::asio::post(
      strand_, [self = shared_from_this(), dispatch = std::move(dispatch)] {
        self->StartAttempt(dispatch);
      });
}

void CallerExchange::Cancel(AttemptId attempt) {
  boost::asio::post(strand_,
                    [self = shared_from_this(), attempt = std::move(attempt)] {
                      if (self->attempt_ == attempt && self->call_ != nullptr) {
                        self->call_->Cancel();
                      }
                    });
}

void CallerExchange::SendFinalResponse(FinalResponse answer) {
  boost::asio::post(strand_,
                    [self = shared_from_this(), answer = std::move(answer)] {
                      self->SendFinalResponseOnStrand(answer);
                    });
}

void CallerExchange::OnCallerGone() {
  boost::asio::post(strand_, [self = shared_from_this()] {
    if (self->finished_) {
      return;
    }
    self->hooks_.post(CallerDisconnected{self->id_});
    self->finished_ = true;
  });
}

void CallerExchange::StartAttempt(const DispatchAttempt& dispatch) {
  attempt_ = dispatch.attempt;
  first_byte_reported_ = false;
  malformed_ = false;
  HttpCallOptions options = options_;
  options.deadline =
      std::max(Duration::Millis(1), dispatch.deadline - hooks_.clock());
  options.reuse_connection = !dispatch.fresh_connection;
  call_ = client_.Send(dispatch.endpoint.address, receiver_->Start(dispatch),
                       options, MakeHandlers(dispatch));
}

// The HTTP client calls its handlers on its own executor. Each call is posted
// to the exchange's strand, which keeps their order.
HttpCallHandlers CallerExchange::MakeHandlers(const DispatchAttempt& dispatch) {
  const auto self = shared_from_this();
  const AttemptId attempt = dispatch.attempt;
  HttpCallHandlers handlers;
  handlers.before_send = [clock = hooks_.clock,
                          send_before = dispatch.send_before] {
    return clock() < send_before;
  };
  handlers.on_head = [self, attempt](const HttpResponse& head) {
    boost::asio::post(self->strand_, [self, attempt, head] {
      if (self->attempt_ == attempt) {
        self->receiver_->OnHead(head);
      }
    });
  };
  handlers.on_body = [self, attempt](std::string_view chunk) {
    boost::asio::post(self->strand_,
                      [self, attempt, text = std::string(chunk)] {
                        self->OnBody(attempt, text);
                      });
  };
  handlers.on_end = [self, attempt] {
    boost::asio::post(self->strand_, [self, attempt] { self->OnEnd(attempt); });
  };
  handlers.on_failure = [self, attempt](HttpFailure failure) {
    boost::asio::post(self->strand_, [self, attempt, failure] {
      self->OnFailure(attempt, failure);
    });
  };
  return handlers;
}

void CallerExchange::OnBody(const AttemptId& attempt, std::string_view chunk) {
  if (attempt_ != attempt || malformed_ || finished_) {
    return;
  }
  if (!receiver_->OnBody(chunk)) {
    malformed_ = true;
    call_->Cancel();
    return;
  }
  if (!first_byte_reported_) {
    first_byte_reported_ = true;
    hooks_.post(AttemptFirstByte{id_, attempt});
  }
  if (responder_->unsent_bytes() > kMaxUnsentBytes) {
    responder_->Abort();
    hooks_.post(CallerDisconnected{id_});
    finished_ = true;
  }
}

void CallerExchange::OnEnd(const AttemptId& attempt) {
  if (attempt_ != attempt) {
    return;
  }
  if (finished_) {
    // The caller has left or has its final response. The attempt's result is
    // still reported, because it may be kept for a repeated send.
    EndAttempt(attempt, receiver_->OnEnd());
    return;
  }
  AttemptEnd end =
      malformed_ ? AttemptEnd(AttemptFailed{AttemptFailureKind::kMalformed,
                                            AttemptProgress::kAnswerBegun,
                                            receiver_->delivered()})
                 : receiver_->OnEnd();
  const bool answered = std::holds_alternative<AttemptAnswered>(end);
  EndAttempt(attempt, std::move(end));
  if (answered) {
    finished_ = true;
  }
}

void CallerExchange::OnFailure(const AttemptId& attempt,
                               const HttpFailure& failure) {
  if (attempt_ != attempt) {
    return;
  }
  AttemptFailed failed;
  failed.kind =
      malformed_ ? AttemptFailureKind::kMalformed : ToBreakKind(failure.kind);
  failed.progress = ToAttemptProgress(failure.progress);
  failed.delivered = receiver_->delivered();
  EndAttempt(attempt, failed);
}

void CallerExchange::EndAttempt(const AttemptId& attempt, AttemptEnd end) {
  call_.reset();
  attempt_ = AttemptId();
  hooks_.post(AttemptEnded{id_, attempt, std::move(end)});
}

void CallerExchange::SendFinalResponseOnStrand(const FinalResponse& answer) {
  if (finished_) {
    return;
  }
  std::visit(
      Overloaded{
          [this](const RespondRefused& outcome) {
            if (receiver_->begun()) {
              FailResponse(RefusalKindName(outcome.refusal.kind),
                           RefusalMessage(outcome.refusal.kind),
                           outcome.refusal.retry_after);
              return;
            }
            Respond(RefusalStatus(outcome.refusal.kind),
                    WriteError(RefusalKindName(outcome.refusal.kind),
                               RefusalMessage(outcome.refusal.kind), id_,
                               outcome.refusal.retry_after),
                    outcome.refusal.retry_after);
          },
          [this](const RespondOutcomeUnknown&) {
            FailResponse("outcome_unknown",
                         "The request may have run; its answer was lost.",
                         Duration());
          },
          [this](const RespondStreamBroken&) {
            FailResponse("answer_broken",
                         "The answer broke off and could not be continued.",
                         Duration());
          },
          [this](const RespondPreempted& outcome) {
            FailResponse(
                "trial_preempted",
                "Trial work was stopped to make room; come back later.",
                outcome.retry_after);
          },
          [this](const RespondReplay& outcome) {
            HttpResponse response;
            response.status = outcome.answer.status;
            response.body = outcome.answer.body;
            for (const OnceHeader& header : outcome.answer.headers) {
              response.headers.push_back(HttpHeader{header.name, header.value});
            }
            response.headers.push_back(HttpHeader{"X-Gcw-Replayed", "1"});
            response.headers.push_back(
                HttpHeader{"X-Gcw-Request", id_.value()});
            responder_->Respond(std::move(response));
          },
          [this](const RespondDuplicate& outcome) {
            FailResponse(
                outcome.earlier_ran ? "ran_earlier" : "outcome_unknown",
                outcome.earlier_ran
                    ? "An earlier send with this key ran; its answer is no "
                      "longer held. This send was not run."
                    : "An earlier send with this key may have run. This send "
                      "was not run.",
                Duration());
          }},
      answer);
  finished_ = true;
}

void CallerExchange::Respond(int status,
                             std::string body,
                             Duration retry_after) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  response.headers = {{"Content-Type", "application/json"},
                      {"X-Gcw-Request", id_.value()}};
  AddRetryAfter(retry_after, response);
  responder_->Respond(std::move(response));
}

// Ends a response that cannot be completed. A stream that has begun gets an
// explicit error event and no end marker, and its connection is closed without
// the last chunk, so that no client mistakes it for complete.
void CallerExchange::FailResponse(std::string_view type,
                                  std::string_view message,
                                  Duration retry_after) {
  std::string error = WriteError(type, message, id_, retry_after);
  if (!receiver_->begun()) {
    Respond(kStatusBadGateway, std::move(error), retry_after);
    return;
  }
  responder_->Write("data: " + error + "\n\n");
  responder_->Abort();
}

}  // namespace gcw
