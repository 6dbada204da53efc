#include "protocol/once_wire.h"

#include <utility>

namespace gcw {

namespace {

void Put(const OnceAnswer& answer, wire::OnceAnswer* out) {
  out->set_status(answer.status);
  for (const OnceHeader& header : answer.headers) {
    wire::OnceHeader* const added = out->add_headers();
    added->set_name(header.name);
    added->set_value(header.value);
  }
  out->set_body(answer.body);
}

OnceAnswer Get(const wire::OnceAnswer& in, WireFieldChecker& checker) {
  OnceAnswer answer;
  answer.status = in.status();
  if (answer.status < 100 || answer.status > 999) {
    checker.Fail(PeerCodecErrorKind::kOutOfRange, "answer.status");
  }
  for (const wire::OnceHeader& header : in.headers()) {
    answer.headers.push_back({header.name(), header.value()});
  }
  answer.body = in.body();
  return answer;
}

void PutBody(const OnceClaimRequest& message, wire::PeerBody& body) {
  wire::OnceClaimRequest* const out = body.mutable_once_claim_request();
  out->set_claim(message.claim.value());
  out->set_key(message.key.value());
  out->set_fingerprint(static_cast<std::uint64_t>(message.fingerprint.value()));
  out->set_runs_at_most_ms(message.max_run_duration.millis());
  out->set_seen(message.seen.value());
}

void PutVerdict(const OnceVerdict& verdict, wire::OnceClaimReply* out) {
  std::visit(
      Overloaded{[out](OnceGranted) { out->mutable_granted(); },
                 [out](const OnceReplayed& replayed) {
                   Put(replayed.answer, out->mutable_replayed());
                 },
                 [out](OnceAnswerEvicted) { out->mutable_answer_gone(); },
                 [out](OnceEarlierUnknown) { out->mutable_earlier_unknown(); },
                 [out](OnceStillRunning) { out->mutable_still_running(); },
                 [out](OnceMismatch) { out->mutable_mismatch(); },
                 [out](OnceUndecided) { out->mutable_undecided(); },
                 [out](const OnceRedirect& elsewhere) {
                   out->set_elsewhere(elsewhere.owner.value());
                 }},
      verdict);
}

void PutBody(const OnceClaimReply& message, wire::PeerBody& body) {
  wire::OnceClaimReply* const out = body.mutable_once_claim_reply();
  out->set_claim(message.claim.value());
  out->set_seen(message.seen.value());
  PutVerdict(message.verdict, out);
}

void PutBody(const OnceFinish& message, wire::PeerBody& body) {
  wire::OnceFinish* const out = body.mutable_once_finish();
  out->set_claim(message.claim.value());
  out->set_key(message.key.value());
  std::visit(Overloaded{[out](OnceNotRun) { out->mutable_not_run(); },
                        [out](const OnceAnswered& answered) {
                          Put(answered.answer, out->mutable_answered());
                        },
                        [out](OnceAnsweredTooLarge) {
                          out->mutable_answered_too_large();
                        },
                        [out](OnceMayHaveRun) { out->mutable_may_have_run(); }},
             message.outcome);
}

void PutBody(const OnceFinishAck& message, wire::PeerBody& body) {
  body.mutable_once_finish_ack()->set_claim(message.claim.value());
}

// A reply without a verdict is a fault and never permits a run.
OnceVerdict GetVerdict(const wire::OnceClaimReply& in,
                       WireFieldChecker& checker) {
  switch (in.verdict_case()) {
    case wire::OnceClaimReply::kGranted:
      return OnceGranted{};
    case wire::OnceClaimReply::kReplayed:
      return OnceReplayed{Get(in.replayed(), checker)};
    case wire::OnceClaimReply::kAnswerGone:
      return OnceAnswerEvicted{};
    case wire::OnceClaimReply::kEarlierUnknown:
      return OnceEarlierUnknown{};
    case wire::OnceClaimReply::kStillRunning:
      return OnceStillRunning{};
    case wire::OnceClaimReply::kMismatch:
      return OnceMismatch{};
    case wire::OnceClaimReply::kUndecided:
      return OnceUndecided{};
    case wire::OnceClaimReply::kElsewhere:
      return OnceRedirect{
          checker.RequiredId<NodeId>(in.elsewhere(), "elsewhere")};
    case wire::OnceClaimReply::VERDICT_NOT_SET:
      break;
  }
  checker.Fail(PeerCodecErrorKind::kMissing, "verdict");
  return OnceUndecided{};
}

OnceOutcome GetOutcome(const wire::OnceFinish& in, WireFieldChecker& checker) {
  switch (in.outcome_case()) {
    case wire::OnceFinish::kNotRun:
      return OnceNotRun{};
    case wire::OnceFinish::kAnswered:
      return OnceAnswered{Get(in.answered(), checker)};
    case wire::OnceFinish::kAnsweredTooLarge:
      return OnceAnsweredTooLarge{};
    case wire::OnceFinish::kMayHaveRun:
      return OnceMayHaveRun{};
    case wire::OnceFinish::OUTCOME_NOT_SET:
      break;
  }
  checker.Fail(PeerCodecErrorKind::kMissing, "outcome");
  return OnceMayHaveRun{};
}

OnceClaimId GetClaim(const std::string& text, WireFieldChecker& checker) {
  return checker.RequiredId<OnceClaimId>(text, "claim");
}

IdempotencyKey GetKey(const std::string& text, WireFieldChecker& checker) {
  if (text.size() > kMaxOnceKeyLength) {
    checker.Fail(PeerCodecErrorKind::kOutOfRange, "key");
  }
  return checker.RequiredId<IdempotencyKey>(text, "key");
}

}  // namespace

wire::PeerBody ToWire(const OnceMessage& message) {
  wire::PeerBody body;
  std::visit([&body](const auto& kind) { PutBody(kind, body); }, message);
  return body;
}

std::optional<OnceMessage> OnceFromWire(const wire::PeerBody& body,
                                        WireFieldChecker& checker) {
  switch (body.body_case()) {
    case wire::PeerBody::kOnceClaimRequest: {
      const wire::OnceClaimRequest& in = body.once_claim_request();
      return OnceClaimRequest{
          GetClaim(in.claim(), checker), GetKey(in.key(), checker),
          Fingerprint(static_cast<std::int64_t>(in.fingerprint())),
          checker.DurationMillis(in.runs_at_most_ms(), "runs_at_most_ms"),
          checker.CountOf<Revision>(in.seen(), "seen")};
    }
    case wire::PeerBody::kOnceClaimReply: {
      const wire::OnceClaimReply& in = body.once_claim_reply();
      return OnceClaimReply{GetClaim(in.claim(), checker),
                            GetVerdict(in, checker),
                            checker.CountOf<Revision>(in.seen(), "seen")};
    }
    case wire::PeerBody::kOnceFinish: {
      const wire::OnceFinish& in = body.once_finish();
      return OnceFinish{GetClaim(in.claim(), checker),
                        GetKey(in.key(), checker), GetOutcome(in, checker)};
    }
    case wire::PeerBody::kOnceFinishAck:
      return OnceFinishAck{GetClaim(body.once_finish_ack().claim(), checker)};
    default:
      return std::nullopt;
  }
}

}  // namespace gcw
