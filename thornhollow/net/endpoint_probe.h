// Finds out whether the process of an endpoint still runs, after a connection
// to it has broken.
//
//   ProbeEndpoint(io, "10.0.0.1:80", Milliseconds(100),
//                 [](endpoint_probe aProbe) { ... });
//
// A connection that breaks says little: links are reset and cut, and endpoints
// break off answers. But the host of a process that has ended refuses new
// connections, while a sound process accepts them and a host that is out of
// reach does not answer.
#ifndef THORNHOLLOW_NET_ENDPOINT_PROBE_H_
#define THORNHOLLOW_NET_ENDPOINT_PROBE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "thornhollow/base/time.h"
#include "thornhollow/net/endpoint_connections.h"

namespace thornhollow {

enum class probe_verdict : std::uint8_t
{
  kAccepts,
  // Nothing listens at the address.
  kRefuses,
  // No answer in time, or another error.
  kUnknown,
};

struct endpoint_probe
{
  probe_verdict mVerdict = probe_verdict::kUnknown;
  // The new connection, unused; null unless the endpoint accepted it.
  endpoint_connection_ptr mConnection;
};

// Calls `aDone` once, never from within this function.
void
ProbeEndpoint(boost::asio::io_context& aIo,
              const std::string& aAddress,
              duration aTimeout,
              std::function<void(endpoint_probe)> aDone);

} // namespace thornhollow

#endif // THORNHOLLOW_NET_ENDPOINT_PROBE_H_
