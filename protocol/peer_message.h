#ifndef PROTOCOL_PEER_MESSAGE_H_
#define PROTOCOL_PEER_MESSAGE_H_

#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

// A batch of messages as the receiver gets it.
struct PeerEnvelope {
  NodeId sender;
  Incarnation incarnation;
  NodeId receiver;
  // Of the sender, when it sent the batch.
  HybridTime time;
  std::vector<PeerMessage> messages;
  // Messages passed over since this version does not know them.
  std::size_t unknown_messages = 0;
};

enum class PeerCodecErrorKind {
  // Not a frame at all.
  kSyntax,
  kMissing,
  kOutOfRange,
  // A closed choice has no such value.
  kUnknownName,
  // Over `kMaxPeerFrameBytes`.
  kTooLarge,
};

std::string_view PeerCodecErrorKindName(PeerCodecErrorKind kind);

// Why a frame cannot be read.
struct PeerCodecError {
  PeerCodecErrorKind kind = PeerCodecErrorKind::kSyntax;
  // The field at fault; empty where the frame as a whole is.
  std::string_view field;
};

inline constexpr std::size_t kMaxPeerFrameBytes = 1024UL * 1024;

}  // namespace gcw

#endif  // PROTOCOL_PEER_MESSAGE_H_
