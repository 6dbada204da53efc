#include "protocol/guard_wire.h"

#include <utility>

#include "protocol/fingerprint_wire.h"

namespace gcw {

namespace {

void PutBody(const PermitRequest& message, wire::PeerBody& body) {
  wire::PermitRequest* const out = body.mutable_permit_request();
  out->set_attempt(message.attempt.value());
  out->set_fingerprint(static_cast<std::uint64_t>(message.fingerprint.value()));
  for (const EndpointId& candidate : message.candidates) {
    out->add_candidates(candidate.value());
  }
  out->set_running_at(message.running_at.value());
}

void PutBody(const PermitReply& message, wire::PeerBody& body) {
  wire::PermitReply* const out = body.mutable_permit_reply();
  out->set_attempt(message.attempt.value());
  std::visit(Overloaded{[out](const PermitGranted& granted) {
                          out->set_granted(granted.endpoint.value());
                        },
                        [out](PermitWait) { out->mutable_wait(); },
                        [out](PermitBlocked) { out->mutable_blocked(); }},
             message.verdict);
}

void PutBody(const PermitDone& message, wire::PeerBody& body) {
  wire::PermitDone* const out = body.mutable_permit_done();
  out->set_attempt(message.attempt.value());
  if (message.loss) {
    *out->mutable_loss() = ToWire(*message.loss);
  }
}

PermitRequest Get(const wire::PermitRequest& in, WireFieldChecker& checker) {
  PermitRequest message;
  message.attempt = checker.RequiredId<AttemptId>(in.attempt(), "attempt");
  message.fingerprint =
      Fingerprint(static_cast<std::int64_t>(in.fingerprint()));
  for (const std::string& candidate : in.candidates()) {
    message.candidates.push_back(
        checker.RequiredId<EndpointId>(candidate, "candidates"));
  }
  message.running_at = EndpointId(in.running_at());
  return message;
}

PermitDone Get(const wire::PermitDone& in, WireFieldChecker& checker) {
  PermitDone message;
  message.attempt = checker.RequiredId<AttemptId>(in.attempt(), "attempt");
  if (in.has_loss()) {
    message.loss = FingerprintFromWire(in.loss(), checker);
  }
  return message;
}

PermitVerdict GetVerdict(const wire::PermitReply& in,
                         WireFieldChecker& checker) {
  switch (in.verdict_case()) {
    case wire::PermitReply::kGranted:
      return PermitGranted{
          checker.RequiredId<EndpointId>(in.granted(), "granted")};
    case wire::PermitReply::kWait:
      return PermitWait{};
    case wire::PermitReply::kBlocked:
      return PermitBlocked{};
    case wire::PermitReply::VERDICT_NOT_SET:
      break;
  }
  checker.Fail(PeerCodecErrorKind::kMissing, "verdict");
  return PermitWait{};
}

}  // namespace

wire::PeerBody ToWire(const GuardMessage& message) {
  wire::PeerBody body;
  std::visit([&body](const auto& kind) { PutBody(kind, body); }, message);
  return body;
}

std::optional<GuardMessage> GuardFromWire(const wire::PeerBody& body,
                                          WireFieldChecker& checker) {
  switch (body.body_case()) {
    case wire::PeerBody::kPermitRequest:
      return Get(body.permit_request(), checker);
    case wire::PeerBody::kPermitReply: {
      const wire::PermitReply& in = body.permit_reply();
      return PermitReply{checker.RequiredId<AttemptId>(in.attempt(), "attempt"),
                         GetVerdict(in, checker)};
    }
    case wire::PeerBody::kPermitDone:
      return Get(body.permit_done(), checker);
    default:
      return std::nullopt;
  }
}

}  // namespace gcw
