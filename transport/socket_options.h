#ifndef TRANSPORT_SOCKET_OPTIONS_H_
#define TRANSPORT_SOCKET_OPTIONS_H_

#include "transport/net_types.h"

namespace gcw {

// Disables Nagle's algorithm and ends a connection whose peer acknowledges
// nothing for `ack_timeout`. Without that timeout, the kernel accepts writes
// for a quarter of an hour before it reports a connection that a device on the
// path has lost.
void SetConnectionOptions(StrandSocket& socket, Duration ack_timeout);

// Limits what the kernel receives for the process while it does not read.
void LimitReceiveBuffer(StrandSocket& socket);

// Makes the next close reset the connection.
void ResetOnClose(StrandSocket& socket);

// Returns whether the peer has sent data or closed the connection without this
// being read. Also true if the socket is broken.
bool HasUnreadInput(StrandSocket& socket);

}  // namespace gcw

#endif  // TRANSPORT_SOCKET_OPTIONS_H_
