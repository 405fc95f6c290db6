// Finds TCP connections that went silent: something between the two ends lost
// track of them, and neither a reset nor a close ever comes.
//
//   DetectSilence(socket, { .mGiveUpSeconds = 2, .mProbeAfterSeconds = 1,
//                           .mProbeIntervalSeconds = 1 });
//
// One time decides for sent bytes that aren't acknowledged and for probes that
// aren't answered. The system knows two limits, TCP_USER_TIMEOUT and the number
// of probes, and where the first is set it ends an idle connection too,
// whatever the second says. So the number is derived from the time.
#ifndef THORNHOLLOW_NET_INTERNAL_SILENCE_H_
#define THORNHOLLOW_NET_INTERNAL_SILENCE_H_

#include <boost/asio/ip/tcp.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace thornhollow::net_internal {

struct silence_limits
{
  // Sent bytes that the other end doesn't acknowledge for this long, or probes
  // that it doesn't answer, end the connection.
  int mGiveUpSeconds = 0;
  // An idle connection is probed after this long, then so far apart. The last
  // probe is due at `mGiveUpSeconds` at the latest.
  int mProbeAfterSeconds = 0;
  int mProbeIntervalSeconds = 0;

  // Number of unanswered probes that end the connection: those until
  // `mGiveUpSeconds`, at least one.
  constexpr int Probes() const
  {
    const int probes =
      (mGiveUpSeconds - mProbeAfterSeconds) / mProbeIntervalSeconds;
    return probes < 1 ? 1 : probes;
  }
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
  set(IPPROTO_TCP, TCP_KEEPCNT, aLimits.Probes());
  constexpr int kMillisecondsPerSecond = 1'000;
  set(IPPROTO_TCP,
      TCP_USER_TIMEOUT,
      aLimits.mGiveUpSeconds * kMillisecondsPerSecond);
}

} // namespace thornhollow::net_internal

#endif // THORNHOLLOW_NET_INTERNAL_SILENCE_H_
