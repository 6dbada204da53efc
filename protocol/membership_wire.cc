#include "protocol/membership_wire.h"

#include <utility>

#include "protocol/fingerprint_wire.h"

namespace gcw {

namespace {

void Put(const MemberVersion& version, wire::MemberVersion* out) {
  out->set_incarnation(version.incarnation.value());
  out->set_refutation(version.refutation);
}

MemberVersion Get(const wire::MemberVersion& in, WireFieldChecker& checker) {
  return {checker.CountOf<Incarnation>(in.incarnation(), "version.incarnation"),
          checker.Count(in.refutation(), "version.refutation")};
}

void Put(const NodeRecord& record, wire::NodeRecord* out) {
  out->set_id(record.id.value());
  out->set_zone(record.zone.value());
  out->set_region(record.region.value());
  out->set_peer_address(record.peer_address.value());
  out->set_caller_address(record.caller_address.value());
  out->set_operator_address(record.operator_address.value());
  out->set_weight(record.weight);
  out->set_leaving(record.leaving);
  out->set_incarnation(record.incarnation.value());
}

NodeRecord Get(const wire::NodeRecord& in, WireFieldChecker& checker) {
  NodeRecord record;
  record.id = checker.RequiredId<NodeId>(in.id(), "record.id");
  record.zone = ZoneId(in.zone());
  record.region = RegionId(in.region());
  record.peer_address = Address(in.peer_address());
  record.caller_address = Address(in.caller_address());
  record.operator_address = Address(in.operator_address());
  record.weight = checker.Count(in.weight(), "record.weight");
  record.leaving = in.leaving();
  record.incarnation =
      checker.CountOf<Incarnation>(in.incarnation(), "record.incarnation");
  return record;
}

wire::MemberState ToWireState(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
    case MemberState::kLeaving:
      return wire::MEMBER_STATE_ALIVE;
    case MemberState::kSuspect:
      return wire::MEMBER_STATE_SUSPECT;
    case MemberState::kDead:
      return wire::MEMBER_STATE_DEAD;
  }
  return wire::MEMBER_STATE_UNSPECIFIED;
}

MemberState FromWireState(wire::MemberState state, WireFieldChecker& checker) {
  switch (state) {
    case wire::MEMBER_STATE_ALIVE:
      return MemberState::kAlive;
    case wire::MEMBER_STATE_SUSPECT:
      return MemberState::kSuspect;
    case wire::MEMBER_STATE_DEAD:
      return MemberState::kDead;
    default:
      checker.Fail(PeerCodecErrorKind::kUnknownName, "rumor.state");
      return MemberState::kAlive;
  }
}

void Put(const MemberRumor& rumor, wire::MemberRumor* out) {
  out->set_node(rumor.node.value());
  Put(rumor.version, out->mutable_version());
  out->set_state(ToWireState(rumor.state));
  if (rumor.record) {
    Put(*rumor.record, out->mutable_record());
  }
}

MemberRumor Get(const wire::MemberRumor& in, WireFieldChecker& checker) {
  MemberRumor rumor;
  rumor.node = checker.RequiredId<NodeId>(in.node(), "rumor.node");
  rumor.version = Get(in.version(), checker);
  rumor.state = FromWireState(in.state(), checker);
  if (in.has_record()) {
    rumor.record = Get(in.record(), checker);
  }
  if (rumor.state == MemberState::kAlive && !rumor.record) {
    checker.Fail(PeerCodecErrorKind::kMissing, "rumor.record");
  }
  return rumor;
}

void Put(const FingerprintDelta& delta, wire::DeltaRumor* out) {
  *out->mutable_fingerprint() = ToWire(delta);
}

void Put(const RoleHolderDelta& delta, wire::DeltaRumor* out) {
  wire::RoleHolderDelta* const holder = out->mutable_role_holder();
  holder->set_role(delta.role.value());
  holder->set_fence(delta.fence.value());
}

Delta GetDelta(const wire::DeltaRumor& in, WireFieldChecker& checker) {
  if (in.has_fingerprint()) {
    return FingerprintFromWire(in.fingerprint(), checker);
  }
  if (in.has_role_holder()) {
    const wire::RoleHolderDelta& holder = in.role_holder();
    return RoleHolderDelta{
        checker.RequiredId<RoleName>(holder.role(), "role_holder.role"),
        checker.CountOf<FencingToken>(holder.fence(), "role_holder.fence")};
  }
  checker.Fail(PeerCodecErrorKind::kMissing, "delta");
  return RoleHolderDelta{};
}

void Put(const DeltaRumor& rumor, wire::DeltaRumor* out) {
  out->set_origin(rumor.origin.value());
  Put(rumor.origin_version, out->mutable_origin_version());
  out->set_sequence(rumor.sequence);
  std::visit([out](const auto& delta) { Put(delta, out); }, rumor.delta);
}

DeltaRumor Get(const wire::DeltaRumor& in, WireFieldChecker& checker) {
  return {checker.RequiredId<NodeId>(in.origin(), "delta.origin"),
          Get(in.origin_version(), checker),
          checker.Count(in.sequence(), "delta.sequence"),
          GetDelta(in, checker)};
}

using WireRumors = google::protobuf::RepeatedPtrField<wire::Rumor>;

void Put(const std::vector<Rumor>& rumors, WireRumors* out) {
  for (const Rumor& rumor : rumors) {
    wire::Rumor* const added = out->Add();
    if (const auto* member = std::get_if<MemberRumor>(&rumor)) {
      Put(*member, added->mutable_member());
    } else {
      Put(std::get<DeltaRumor>(rumor), added->mutable_delta());
    }
  }
}

std::vector<Rumor> Get(const WireRumors& in, WireFieldChecker& checker) {
  std::vector<Rumor> rumors;
  rumors.reserve(static_cast<std::size_t>(in.size()));
  for (const wire::Rumor& rumor : in) {
    if (rumor.has_member()) {
      rumors.emplace_back(Get(rumor.member(), checker));
    } else if (rumor.has_delta()) {
      rumors.emplace_back(Get(rumor.delta(), checker));
    }
  }
  return rumors;
}

void PutBody(const Ping& message, wire::PeerBody& body) {
  wire::Ping* const out = body.mutable_ping();
  out->set_probe(message.probe.value());
  Put(message.version, out->mutable_version());
  Put(message.rumors, out->mutable_rumors());
}

void PutBody(const PingRequest& message, wire::PeerBody& body) {
  wire::PingRequest* const out = body.mutable_ping_request();
  out->set_probe(message.probe.value());
  out->set_target(message.target.value());
  Put(message.version, out->mutable_version());
  Put(message.rumors, out->mutable_rumors());
}

void PutBody(const PingAck& message, wire::PeerBody& body) {
  wire::PingAck* const out = body.mutable_ping_ack();
  out->set_probe(message.probe.value());
  out->set_target(message.target.value());
  Put(message.version, out->mutable_version());
  Put(message.rumors, out->mutable_rumors());
}

void PutBody(const UrgentRumors& message, wire::PeerBody& body) {
  wire::UrgentRumors* const out = body.mutable_urgent_rumors();
  Put(message.version, out->mutable_version());
  Put(message.rumors, out->mutable_rumors());
}

void PutBody(const MemberListRequest& message, wire::PeerBody& body) {
  Put(message.version, body.mutable_member_list_request()->mutable_version());
}

void PutBody(const MemberList& message, wire::PeerBody& body) {
  wire::MemberList* const out = body.mutable_member_list();
  Put(message.version, out->mutable_version());
  for (const MemberRumor& member : message.members) {
    Put(member, out->add_members());
  }
}

MemberList Get(const wire::MemberList& in, WireFieldChecker& checker) {
  MemberList list{Get(in.version(), checker), {}};
  for (const wire::MemberRumor& member : in.members()) {
    list.members.push_back(Get(member, checker));
  }
  return list;
}

}  // namespace

wire::PeerBody ToWire(const MembershipMessage& message) {
  wire::PeerBody body;
  std::visit([&body](const auto& kind) { PutBody(kind, body); }, message);
  return body;
}

std::optional<MembershipMessage> MembershipFromWire(const wire::PeerBody& body,
                                                    WireFieldChecker& checker) {
  switch (body.body_case()) {
    case wire::PeerBody::kPing: {
      const wire::Ping& in = body.ping();
      return Ping{ProbeId(in.probe()), Get(in.version(), checker),
                  Get(in.rumors(), checker)};
    }
    case wire::PeerBody::kPingRequest: {
      const wire::PingRequest& in = body.ping_request();
      return PingRequest{ProbeId(in.probe()),
                         checker.RequiredId<NodeId>(in.target(), "target"),
                         Get(in.version(), checker), Get(in.rumors(), checker)};
    }
    case wire::PeerBody::kPingAck: {
      const wire::PingAck& in = body.ping_ack();
      return PingAck{ProbeId(in.probe()),
                     checker.RequiredId<NodeId>(in.target(), "target"),
                     Get(in.version(), checker), Get(in.rumors(), checker)};
    }
    case wire::PeerBody::kUrgentRumors:
      return UrgentRumors{Get(body.urgent_rumors().version(), checker),
                          Get(body.urgent_rumors().rumors(), checker)};
    case wire::PeerBody::kMemberListRequest:
      return MemberListRequest{
          Get(body.member_list_request().version(), checker)};
    case wire::PeerBody::kMemberList:
      return Get(body.member_list(), checker);
    default:
      return std::nullopt;
  }
}

}  // namespace gcw
