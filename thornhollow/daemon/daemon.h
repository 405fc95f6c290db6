// One entry instance: listeners, the router, the platform's watches, and a
// graceful stop.
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

// Addresses in use, with ports that the system chose where 0 was asked for.
struct listening_addresses
{
  std::string mCaller;
  std::string mOperator;
};

class daemon
{
public:
  // `aLog` outlives the daemon.
  daemon(boost::asio::io_context& aIo,
         const daemon_settings& aSettings,
         json_log& aLog);
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;
  ~daemon();

  // Listens and begins to watch the platform.
  result<listening_addresses> Start();

  // Readiness off, no new work; stops the io_context once every request in
  // progress has its answer, or when the drain's grace has passed.
  void BeginStop();

private:
  class core;
  std::unique_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_DAEMON_H_
