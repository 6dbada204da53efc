#include "protocol/presence_wire.h"

#include <utility>

namespace gcw {

namespace {

wire::Presence ToWirePresence(Presence presence) {
  switch (presence) {
    case Presence::kComplete:
      return wire::PRESENCE_COMPLETE;
    case Presence::kIncomplete:
      return wire::PRESENCE_INCOMPLETE;
    case Presence::kLeaving:
      return wire::PRESENCE_LEAVING;
  }
  return wire::PRESENCE_UNSPECIFIED;
}

Presence FromWirePresence(wire::Presence presence, WireFieldChecker& checker) {
  switch (presence) {
    case wire::PRESENCE_COMPLETE:
      return Presence::kComplete;
    case wire::PRESENCE_INCOMPLETE:
      return Presence::kIncomplete;
    case wire::PRESENCE_LEAVING:
      return Presence::kLeaving;
    default:
      checker.Fail(PeerCodecErrorKind::kUnknownName, "entry.presence");
      return Presence::kIncomplete;
  }
}

PresenceEntry Get(const wire::PresenceEntry& in, WireFieldChecker& checker) {
  return {checker.RequiredId<EndpointId>(in.endpoint(), "entry.endpoint"),
          checker.CountOf<Generation>(in.generation(), "entry.generation"),
          FromWirePresence(in.presence(), checker), in.withdrawn()};
}

}  // namespace

wire::PeerBody ToWire(const PresenceReport& message) {
  wire::PeerBody body;
  wire::PresenceReport* const out = body.mutable_presence_report();
  out->set_sender(message.sender.value());
  out->set_receiver(message.receiver.value());
  out->set_stamp(message.stamp.millis());
  out->set_echo(message.echo.millis());
  out->set_oldest_age_ms(message.oldest_age.millis());
  out->set_version(message.version);
  out->set_base(message.base);
  out->set_acknowledged(message.acknowledged);
  for (const PresenceEntry& entry : message.entries) {
    wire::PresenceEntry* const added = out->add_entries();
    added->set_endpoint(entry.endpoint.value());
    added->set_generation(entry.generation.value());
    added->set_presence(ToWirePresence(entry.presence));
    added->set_withdrawn(entry.withdrawn);
  }
  return body;
}

std::optional<PresenceReport> PresenceFromWire(const wire::PeerBody& body,
                                               WireFieldChecker& checker) {
  if (!body.has_presence_report()) {
    return std::nullopt;
  }
  const wire::PresenceReport& in = body.presence_report();
  PresenceReport report;
  report.sender = checker.CountOf<Incarnation>(in.sender(), "report.sender");
  report.receiver =
      checker.CountOf<Incarnation>(in.receiver(), "report.receiver");
  report.stamp = checker.TimeMillis(in.stamp(), "report.stamp");
  report.echo = checker.TimeMillis(in.echo(), "report.echo");
  report.oldest_age =
      checker.DurationMillis(in.oldest_age_ms(), "report.oldest_age_ms");
  report.version = checker.Count(in.version(), "report.version");
  report.base = checker.Count(in.base(), "report.base");
  report.acknowledged = checker.Count(in.acknowledged(), "report.acknowledged");
  for (const wire::PresenceEntry& entry : in.entries()) {
    report.entries.push_back(Get(entry, checker));
  }
  return report;
}

}  // namespace gcw
