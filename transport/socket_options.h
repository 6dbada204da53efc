#ifndef TRANSPORT_SOCKET_OPTIONS_H_
#define TRANSPORT_SOCKET_OPTIONS_H_

#include "transport/net_types.h"

namespace gcw {

// Sends small writes at once, and ends a connection whose peer acknowledges
// nothing for `unacknowledged`. Without the latter, a connection that something
// on the way lost track of takes writes for a quarter of an hour before the
// kernel reports it.
void SetConnectionOptions(StrandSocket& socket, Duration unacknowledged);

// Makes the next close reset the connection.
void ResetOnClose(StrandSocket& socket);

// Whether the peer has sent something, or closed, that nobody has read. `true`
// also where the socket is broken.
bool HasUnreadInput(StrandSocket& socket);

}  // namespace gcw

#endif  // TRANSPORT_SOCKET_OPTIONS_H_
