#include "thornhollow/testing/socket_address.h"

#include <charconv>
#include <cstdint>
#include <sstream>

namespace thornhollow::testing {

using boost::asio::ip::tcp;

result<tcp::endpoint>
ParseSocketAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return Fail(error_kind::kInternal, "not ip:port: " + aText);
  }
  std::string host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, status] =
    std::from_chars(aText.data() + colon + 1, end, port);
  if (error || status != std::errc() || stop != end) {
    return Fail(error_kind::kInternal, "not ip:port: " + aText);
  }
  return tcp::endpoint(address, port);
}

std::string
FormatSocketAddress(const tcp::endpoint& aEndpoint)
{
  std::ostringstream text;
  text << aEndpoint;
  return text.str();
}

boost::system::error_code
OpenAcceptor(tcp::acceptor& aAcceptor, const tcp::endpoint& aEndpoint)
{
  boost::system::error_code error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(aEndpoint, error);
  }
  if (!error) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    boost::system::error_code ignored;
    aAcceptor.close(ignored);
  }
  return error;
}

} // namespace thornhollow::testing
