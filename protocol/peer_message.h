#ifndef PROTOCOL_PEER_MESSAGE_H_
#define PROTOCOL_PEER_MESSAGE_H_

#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/coordination.h"

namespace gcw {

// A batch of messages with its sender and receiver.
struct PeerEnvelope {
  NodeId sender;
  Incarnation incarnation;
  NodeId receiver;
  // The time on the sender's clock when it sent the batch.
  HybridTime time;
  std::vector<PeerMessage> messages;
  // Number of messages that were skipped because this version does not know
  // their kind.
  std::size_t unknown_messages = 0;
};

enum class PeerCodecErrorKind {
  // The bytes are not a frame.
  kSyntax,
  kMissing,
  kOutOfRange,
  // An enum has no such value.
  kUnknownName,
  // The frame exceeds `kMaxPeerFrameBytes`.
  kTooLarge,
};

std::string_view PeerCodecErrorKindName(PeerCodecErrorKind kind);

// Why a frame cannot be read.
struct PeerCodecError {
  PeerCodecErrorKind kind = PeerCodecErrorKind::kSyntax;
  // The invalid field. It is empty if the frame as a whole is invalid.
  std::string_view field;
};

inline constexpr std::size_t kMaxPeerFrameBytes = 1024UL * 1024;

}  // namespace gcw

#endif  // PROTOCOL_PEER_MESSAGE_H_
