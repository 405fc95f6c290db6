#include "thornhollow/config/internal/ip_address.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

// For inet_pton, which only converts text; nothing here opens a socket.
#include <arpa/inet.h>

namespace thornhollow::internal {
namespace {

bool
IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), port);
  return error == std::errc() && end == aText.data() + aText.size() &&
         port != 0 && aText.front() != '0';
}

bool
IsNumber(std::string_view aHost, int aFamily)
{
  std::array<unsigned char, sizeof(in6_addr)> number{};
  return inet_pton(aFamily, std::string(aHost).c_str(), number.data()) == 1;
}

} // namespace

bool
IsAddressWithPort(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsPort(aText.substr(colon + 1))) {
    return false;
  }
  const std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    return IsNumber(host.substr(1, host.size() - 2), AF_INET6);
  }
  return IsNumber(host, AF_INET);
}

bool
IsAnyAddress(std::string_view aText)
{
  return aText.starts_with("0.0.0.0:") || aText.starts_with("[::]:");
}

} // namespace thornhollow::internal
