// Runs one instance that relays requests unchanged: opens the listeners,
// mirrors configuration and endpoints from the source, and shuts down
// gracefully.
//
//   relay_gateway gateway(io, settings, std::move(adapter), log, onTick);
//   BOOST_LEAF_CHECK(gateway.Start());
//   io.run();
//
#ifndef THORNHOLLOW_DAEMON_RELAY_GATEWAY_H_
#define THORNHOLLOW_DAEMON_RELAY_GATEWAY_H_

#include <functional>
#include <memory>

#include "thornhollow/base/result.h"
#include "thornhollow/config/relay_settings.h"
#include "thornhollow/daemon/daemon.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/discovery/relay_adapter.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

class relay_gateway
{
public:
  // `aLog` must outlive the gateway. `aOnTick` is called every 100 ms.
  relay_gateway(boost::asio::io_context& aIo,
                const relay_settings& aSettings,
                relay_adapter aAdapter,
                json_log& aLog,
                std::function<void()> aOnTick);
  relay_gateway(const relay_gateway&) = delete;
  relay_gateway& operator=(const relay_gateway&) = delete;
  ~relay_gateway();

  // Opens the listeners and starts following the source. Fails if an address
  // cannot be bound.
  result<listening_addresses> Start();

  // Reports not ready, and stops the io_context once every request in progress
  // has been answered or the drain's grace period has passed.
  void BeginStop();

private:
  class core;
  std::unique_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RELAY_GATEWAY_H_
