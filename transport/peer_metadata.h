#ifndef TRANSPORT_PEER_METADATA_H_
#define TRANSPORT_PEER_METADATA_H_

namespace gcw {

// Key of the call metadata in which nodes send their shared secret. The secret
// is sent in plain text, because peer traffic is meant for a closed network.
inline constexpr char kPeerSecretMetadata[] = "gcw-peer-secret";

}  // namespace gcw

#endif  // TRANSPORT_PEER_METADATA_H_
