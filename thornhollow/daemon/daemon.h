// One entry instance: listeners, the router, the control plane, load polling,
// and graceful shutdown.
//
//   daemon instance(io, settings, log);
//   BOOST_LEAF_CHECK(instance.Start());
//   io.run();
//
#ifndef THORNHOLLOW_DAEMON_DAEMON_H_
#define THORNHOLLOW_DAEMON_DAEMON_H_

#include <memory>
#include <string>

#include "thornhollow/base/result.h"
#include "thornhollow/config/settings.h"
#include "thornhollow/daemon/json_log.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

// Addresses on which an instance listens. Where port 0 was configured, the port
// is the one that the system assigned.
struct listening_addresses
{
  std::string mCaller;
  std::string mOperator;
};

class daemon
{
public:
  // `aLog` must outlive the daemon.
  daemon(boost::asio::io_context& aIo,
         const daemon_settings& aSettings,
         json_log& aLog);
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;
  ~daemon();

  // Starts listening and watching the platform. Fails if an address cannot be
  // bound.
  result<listening_addresses> Start();

  // Begins a graceful shutdown: turns readiness off and refuses new requests.
  // Stops the io_context once all requests in progress have been answered, or
  // when the drain grace period expires.
  void BeginStop();

private:
  class core;
  std::unique_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_DAEMON_H_
