// Finds TCP connections that went silent: something between the two ends lost
// track of them, and neither a reset nor a close ever comes.
//
//   DetectSilence(socket, { .mUnacknowledgedMs = 2000, ... });
//
#ifndef THORNHOLLOW_NET_INTERNAL_SILENCE_H_
#define THORNHOLLOW_NET_INTERNAL_SILENCE_H_

#include <boost/asio/ip/tcp.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace thornhollow::net_internal {

struct silence_limits
{
  // Sent bytes that the other end doesn't acknowledge for this long end the
  // connection.
  int mUnacknowledgedMs = 0;
  // An idle connection is probed after this long, so often, this far apart.
  int mProbeAfterSeconds = 0;
  int mProbeIntervalSeconds = 0;
  int mProbes = 0;
};

// Also sends small writes at once. Failures are of no consequence: the
// connection then only goes unprobed.
inline void
DetectSilence(boost::asio::ip::tcp::socket& aSocket,
              const silence_limits& aLimits)
{
  const int handle = aSocket.native_handle();
  const auto set = [handle](int aLevel, int aName, int aValue) {
    ::setsockopt(handle, aLevel, aName, &aValue, sizeof(aValue));
  };
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, aLimits.mProbeAfterSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, aLimits.mProbeIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, aLimits.mProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, aLimits.mUnacknowledgedMs);
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_SILENCE_H_
