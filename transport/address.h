#ifndef TRANSPORT_ADDRESS_H_
#define TRANSPORT_ADDRESS_H_

#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "state/state.h"

namespace gcw {

// Reads "127.0.0.1:8080" or "[::1]:8080"; names are not looked up.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const Address& address);

}  // namespace gcw

#endif  // TRANSPORT_ADDRESS_H_
