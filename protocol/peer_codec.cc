#include "protocol/peer_codec.h"

#include <utility>

#include "protocol/config_wire.h"
#include "protocol/guard_wire.h"
#include "protocol/limit_wire.h"
#include "protocol/load_wire.h"
#include "protocol/membership_wire.h"
#include "protocol/once_wire.h"
#include "protocol/peer.pb.h"
#include "protocol/presence_wire.h"
#include "protocol/wire_field_checker.h"

namespace gcw {

namespace {

// Decodes the body as the kind of message that it holds. Returns nullopt for an
// unknown kind.
std::optional<PeerMessage> FromWire(const wire::PeerBody& body,
                                    WireFieldChecker& checker) {
  std::optional<PeerMessage> message;
  const auto try_kind = [&](auto from_wire) {
    if (message) {
      return;
    }
    if (auto found = from_wire(body, checker)) {
      message = PeerMessage(*std::move(found));
    }
  };
  try_kind(MembershipFromWire);
  try_kind(ConfigFromWire);
  try_kind(GuardFromWire);
  try_kind(OnceFromWire);
  try_kind(LimitFromWire);
  try_kind(PresenceFromWire);
  try_kind(LoadFromWire);
  return message;
}

}  // namespace

std::string_view PeerCodecErrorKindName(PeerCodecErrorKind kind) {
  switch (kind) {
    case PeerCodecErrorKind::kSyntax:
      return "syntax";
    case PeerCodecErrorKind::kMissing:
      return "missing";
    case PeerCodecErrorKind::kOutOfRange:
      return "out_of_range";
    case PeerCodecErrorKind::kUnknownName:
      return "unknown_name";
    case PeerCodecErrorKind::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

wire::PeerBody EncodePeerBody(const PeerMessage& message) {
  return std::visit([](const auto& kind) { return ToWire(kind); }, message);
}

wire::PeerFrame EncodePeerFrame(const PeerEnvelope& envelope) {
  wire::PeerFrame frame;
  frame.set_sender(envelope.sender.value());
  frame.set_incarnation(envelope.incarnation.value());
  frame.set_receiver(envelope.receiver.value());
  frame.mutable_time()->set_physical(envelope.time.physical.millis());
  frame.mutable_time()->set_logical(envelope.time.logical);
  for (const PeerMessage& message : envelope.messages) {
    *frame.add_bodies() = EncodePeerBody(message);
  }
  return frame;
}

Result<PeerEnvelope, PeerCodecError> DecodePeerFrame(
    const wire::PeerFrame& frame) {
  if (frame.ByteSizeLong() > kMaxPeerFrameBytes) {
    return PeerCodecError{PeerCodecErrorKind::kTooLarge, {}};
  }
  WireFieldChecker checker;
  PeerEnvelope envelope;
  envelope.sender = checker.RequiredId<NodeId>(frame.sender(), "sender");
  envelope.incarnation =
      checker.CountOf<Incarnation>(frame.incarnation(), "incarnation");
  envelope.receiver = checker.RequiredId<NodeId>(frame.receiver(), "receiver");
  envelope.time = {checker.TimeMillis(frame.time().physical(), "time.physical"),
                   checker.Count(frame.time().logical(), "time.logical")};
  for (const wire::PeerBody& body : frame.bodies()) {
    if (auto message = FromWire(body, checker)) {
      envelope.messages.push_back(*std::move(message));
    } else {
      ++envelope.unknown_messages;
    }
  }
  if (checker.fault()) {
    return *checker.fault();
  }
  return envelope;
}

Result<PeerEnvelope, PeerCodecError> ParsePeerFrame(std::string_view bytes) {
  if (bytes.size() > kMaxPeerFrameBytes) {
    return PeerCodecError{PeerCodecErrorKind::kTooLarge, {}};
  }
  wire::PeerFrame frame;
  if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return PeerCodecError{PeerCodecErrorKind::kSyntax, {}};
  }
  return DecodePeerFrame(frame);
}

}  // namespace gcw
