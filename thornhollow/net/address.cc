#include "thornhollow/net/address.h"

#include <charconv>
#include <system_error>

#include <boost/asio/ip/address.hpp>

namespace thornhollow {
namespace {

boost::leaf::error_id
NotAnAddress(std::string_view aText)
{
  return Fail(error_kind::kInternal,
              "not an IP number with a port: " + std::string(aText));
}

} // namespace

result<socket_address>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return NotAnAddress(aText);
  }
  std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view port = aText.substr(colon + 1);
  socket_address parsed{ std::string(host), 0 };
  const auto [end, wrong] =
    std::from_chars(port.data(), port.data() + port.size(), parsed.mPort);
  boost::system::error_code notIp;
  boost::asio::ip::make_address(parsed.mHost, notIp);
  if (wrong != std::errc() || end != port.data() + port.size() || notIp) {
    return NotAnAddress(aText);
  }
  return parsed;
}

} // namespace thornhollow
