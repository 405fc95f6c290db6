// IP numbers with ports, as settings and declarations state them.
//
//   BOOST_LEAF_AUTO(where, ParseAddress("[::1]:9001"));
//
#ifndef THORNHOLLOW_NET_ADDRESS_H_
#define THORNHOLLOW_NET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "thornhollow/base/result.h"

namespace thornhollow {

struct socket_address
{
  // An IPv4 or IPv6 number, without brackets.
  std::string mHost;
  std::uint16_t mPort = 0;

  friend bool operator==(const socket_address&,
                         const socket_address&) = default;
};

// Reads "127.0.0.1:9001" or "[::1]:9001". Names are refused: a look-up may
// block or change its answer.
result<socket_address>
ParseAddress(std::string_view aText);

} // namespace thornhollow

#endif // THORNHOLLOW_NET_ADDRESS_H_
