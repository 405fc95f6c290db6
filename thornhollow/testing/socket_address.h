// Addresses and listening sockets of the stand-ins. Includes Asio: for source
// files that use sockets only.
#ifndef THORNHOLLOW_TESTING_SOCKET_ADDRESS_H_
#define THORNHOLLOW_TESTING_SOCKET_ADDRESS_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "thornhollow/base/result.h"

namespace thornhollow::testing {

// "127.0.0.1:80" or "[::1]:80". Fails with kInternal on anything else.
result<boost::asio::ip::tcp::endpoint>
ParseSocketAddress(const std::string& aText);

std::string
FormatSocketAddress(const boost::asio::ip::tcp::endpoint& aEndpoint);

// Opens `aAcceptor` and listens on `aEndpoint`; leaves it closed on an error.
boost::system::error_code
OpenAcceptor(boost::asio::ip::tcp::acceptor& aAcceptor,
             const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace thornhollow::testing

#endif // THORNHOLLOW_TESTING_SOCKET_ADDRESS_H_
