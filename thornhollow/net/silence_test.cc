#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include "thornhollow/net/internal/silence.h"

namespace thornhollow {
namespace {

using net_internal::DetectSilence;
using net_internal::silence_limits;

int
Option(boost::asio::ip::tcp::socket& aSocket, int aName)
{
  int value = 0;
  socklen_t size = sizeof(value);
  ::getsockopt(aSocket.native_handle(), IPPROTO_TCP, aName, &value, &size);
  return value;
}

// Guards against two limits that disagree: TCP_USER_TIMEOUT ends an idle
// connection before the probes that its owner counts on.
TEST_CASE("silence/limits/unacknowledged_bytes_and_probes_end_at_one_time")
{
  for (const silence_limits& each :
       { silence_limits{ 2, 1, 1 }, { 8, 1, 1 }, { 11, 5, 2 }, { 3, 1, 1 } }) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
    DetectSilence(socket, each);
    const int probesEnd =
      Option(socket, TCP_KEEPIDLE) +
      Option(socket, TCP_KEEPCNT) * Option(socket, TCP_KEEPINTVL);
    CHECK(probesEnd * 1'000 == Option(socket, TCP_USER_TIMEOUT));
    CHECK(probesEnd == each.mGiveUpSeconds);
  }
}

TEST_CASE("silence/limit_before_the_first_probe/one_probe")
{
  constexpr silence_limits kShort{ 1, 5, 2 };
  CHECK(kShort.Probes() == 1);
}

} // namespace
} // namespace thornhollow
