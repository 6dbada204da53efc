#include "coordination/membership/membership_messages.h"

namespace gcw {
namespace {

// Message type, lengths and numbers around the variable parts.
constexpr std::size_t kFramingSize = 16;
constexpr std::size_t kNumberSize = 8;

std::size_t SizeOf(const NodeRecord& record) {
  // Length of each text, weight and flags.
  constexpr std::size_t kFixedSize = 10;
  return kFixedSize + record.id.value().size() + record.zone.value().size() +
         record.region.value().size() + record.peer_address.value().size() +
         record.caller_address.value().size() +
         record.operator_address.value().size();
}

std::size_t SizeOf(const MemberRumor& rumor) {
  return 2 * kNumberSize + 2 + rumor.node.value().size() +
         (rumor.record ? SizeOf(*rumor.record) : 0);
}

std::size_t SizeOf(const FingerprintDelta&) {
  return 3 * kNumberSize;
}

std::size_t SizeOf(const RoleHolderDelta& delta) {
  return kNumberSize + 1 + delta.role.value().size();
}

std::size_t SizeOf(const DeltaRumor& rumor) {
  return 2 * kNumberSize + 2 + rumor.origin.value().size() +
         std::visit([](const auto& d) { return SizeOf(d); }, rumor.delta);
}

std::size_t SizeOf(const std::vector<Rumor>& rumors) {
  std::size_t size = 0;
  for (const Rumor& rumor : rumors) {
    size += EstimatedSize(rumor);
  }
  return size;
}

std::size_t SizeOf(const Ping& ping) {
  return SizeOf(ping.rumors);
}

std::size_t SizeOf(const PingRequest& request) {
  return request.target.value().size() + SizeOf(request.rumors);
}

std::size_t SizeOf(const PingAck& ack) {
  return ack.target.value().size() + SizeOf(ack.rumors);
}

std::size_t SizeOf(const UrgentRumors& urgent) {
  return SizeOf(urgent.rumors);
}

std::size_t SizeOf(const MemberListRequest&) {
  return 0;
}

std::size_t SizeOf(const MemberList& list) {
  std::size_t size = 0;
  for (const MemberRumor& member : list.members) {
    size += SizeOf(member);
  }
  return size;
}

}  // namespace

bool IsUrgent(const Delta& delta) {
  // The request may crash more endpoints until the block has reached all nodes.
  const auto* fingerprint = std::get_if<FingerprintDelta>(&delta);
  return fingerprint != nullptr && fingerprint->blocked;
}

std::size_t EstimatedSize(const Rumor& rumor) {
  return std::visit([](const auto& r) { return SizeOf(r); }, rumor);
}

std::size_t EstimatedSize(const MembershipMessage& message) {
  // Each message carries a probe id and the sender's version.
  return kFramingSize + 3 * kNumberSize +
         std::visit([](const auto& m) { return SizeOf(m); }, message);
}

}  // namespace gcw
