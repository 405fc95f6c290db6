// One entry instance that relays requests as they are: listeners, the mirrored
// configuration and endpoints, and a graceful stop.
//
//   relay_gateway gateway(io, settings, std::move(adapter), log);
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
  // `aLog` outlives the gateway; `aOnTick` is called every 100 ms.
  relay_gateway(boost::asio::io_context& aIo,
                const relay_settings& aSettings,
                relay_adapter aAdapter,
                json_log& aLog,
                std::function<void()> aOnTick);
  relay_gateway(const relay_gateway&) = delete;
  relay_gateway& operator=(const relay_gateway&) = delete;
  ~relay_gateway();

  // Listens and begins to follow the source.
  result<listening_addresses> Start();

  // Readiness off; stops the io_context once every request in progress has its
  // answer, or when the drain's grace has passed.
  void BeginStop();

private:
  class core;
  std::unique_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_RELAY_GATEWAY_H_
