#include "programs/gcw_load/reservation_exchange.h"

#include <utility>

#include "programs/gcw_load/answer_verdict.h"

namespace gcw {
namespace {

constexpr std::string_view kReplayedHeader = "X-Gcw-Replayed";

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Converts a connection failure. The call is known not to have run only if
// nothing was sent.
FailedAnswer ConvertFailure(HttpFailure failure) {
  FailedAnswer failed;
  failed.kind = failure.progress == HttpProgress::kNothingSent
                    ? FailedAnswerKind::kNotRun
                    : FailedAnswerKind::kUnknown;
  failed.type = HttpFailureKindName(failure.kind);
  return failed;
}

}  // namespace

ReservationExchange::ReservationExchange(LoadContext& context,
                                         PlannedRequest planned)
    : context_(context),
      planned_(std::move(planned)),
      policy_({.max_resends = context.settings.max_resends,
               .max_retry_delay = context.settings.timeout}),
      timer_(context.io) {}

void ReservationExchange::Start() {
  Send();
}

HttpRequest ReservationExchange::MakeRequest() const {
  HttpRequest request;
  request.method = "POST";
  request.target = "/services/" + context_.settings.service + "/reservations";
  request.headers = CallerHeaders(context_.settings, planned_.kind);
  request.headers.push_back(
      {std::string(kIdempotencyKeyHeader), planned_.name});
  request.body = boost::json::serialize(
      boost::json::object{{"reservation", planned_.name}});
  return request;
}

HttpCallHandlers ReservationExchange::MakeHandlers() {
  const auto self = shared_from_this();
  HttpCallHandlers handlers;
  handlers.on_head = [self](const HttpResponse& head) {
    self->response_ = head;
  };
  handlers.on_body = [self](std::string_view chunk) {
    self->response_.body += chunk;
  };
  handlers.on_end = [self] { self->OnEnd(); };
  handlers.on_failure = [self](HttpFailure failure) {
    self->OnFailure(failure);
  };
  return handlers;
}

void ReservationExchange::Send() {
  response_ = {};
  std::make_shared<RequestSender>(context_, planned_.kind)
      ->Send(MakeRequest(), MakeHandlers());
}

void ReservationExchange::OnEnd() {
  if (IsSuccess(response_.status)) {
    OnAnswer();
    return;
  }
  OnFailedSend(ReadFailedAnswer(response_));
}

void ReservationExchange::OnFailure(HttpFailure failure) {
  OnFailedSend(ConvertFailure(failure));
}

void ReservationExchange::OnAnswer() {
  const AnswerVerdict verdict = CheckServiceAnswer(
      response_.body, planned_.name, context_.settings.reference);
  if (const auto* violation = std::get_if<ViolationVerdict>(&verdict)) {
    Record(KeyOutcome::kViolation, [&](KindTally& counts) {
      ++counts.violations[std::string(AnswerFaultName(violation->fault))];
    });
    return;
  }
  const bool replayed = !response_.Header(kReplayedHeader).empty();
  Record(replayed ? KeyOutcome::kReplayed : KeyOutcome::kAnswered,
         [this](KindTally& counts) {
           ++counts.answered;
           counts.total.Add(ElapsedSince(planned_.planned_at));
         });
}

void ReservationExchange::OnFailedSend(const FailedAnswer& failed) {
  const auto wait = policy_.OnFailedSend(failed);
  if (!wait) {
    const KeyOutcome outcome = policy_.outcome();
    Record(outcome, [&](KindTally& counts) {
      ++(outcome == KeyOutcome::kRefused ? counts.refused
                                         : counts.unknown)[failed.type];
    });
    return;
  }
  context_.recorder.Record([this](LoadTally& tally, KeyLedger&) {
    ++tally.of(planned_.kind).resent;
  });
  timer_.expires_after(std::chrono::milliseconds(wait->millis()));
  timer_.async_wait([self = shared_from_this()](
                        const boost::system::error_code&) { self->Send(); });
}

template <typename Change>
void ReservationExchange::Record(KeyOutcome outcome, Change change) {
  context_.recorder.Record([&](LoadTally& tally, KeyLedger& keys) {
    change(tally.of(planned_.kind));
    keys.Add(planned_.name, outcome);
  });
  planned_.on_done();
}

}  // namespace gcw
