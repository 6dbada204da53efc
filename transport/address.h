#ifndef TRANSPORT_ADDRESS_H_
#define TRANSPORT_ADDRESS_H_

#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "state/state.h"

namespace gcw {

// Parses an IP address with a port, such as "127.0.0.1:8080" or "[::1]:8080".
// Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const Address& address);

}  // namespace gcw

#endif  // TRANSPORT_ADDRESS_H_
