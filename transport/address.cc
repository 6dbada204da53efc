#include "transport/address.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace gcw {

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const Address& address) {
  const std::string_view text = address.value();
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const std::string_view port_text = text.substr(colon + 1);
  const char* const end = port_text.data() + port_text.size();
  const auto [parsed, problem] = std::from_chars(port_text.data(), end, port);
  if (problem != std::errc() || parsed != end || port == 0) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  if (ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  boost::system::error_code error;
  const auto parsed_ip = boost::asio::ip::make_address(std::string(ip), error);
  if (error) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(parsed_ip, port);
}

}  // namespace gcw
