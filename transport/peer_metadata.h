#ifndef TRANSPORT_PEER_METADATA_H_
#define TRANSPORT_PEER_METADATA_H_

namespace gcw {

// The call metadata in which nodes send the secret that they share. It goes
// over the network as it is: peers' traffic is meant for a closed network.
inline constexpr char kPeerSecretMetadata[] = "gcw-peer-secret";

}  // namespace gcw

#endif  // TRANSPORT_PEER_METADATA_H_
