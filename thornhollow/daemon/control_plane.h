// Everything of one instance that isn't a caller's request: who the peers are,
// which configuration is in force, which endpoints leave, idempotency keys.
//
//   control_plane control(io, settings, listener, log, counted);
//   BOOST_LEAF_CHECK(control.Open());
//
// Joins peer_link, configuration_keeper, key_gate and the platform's list.
#ifndef THORNHOLLOW_DAEMON_CONTROL_PLANE_H_
#define THORNHOLLOW_DAEMON_CONTROL_PLANE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "thornhollow/base/result.h"
#include "thornhollow/config/catalog.h"
#include "thornhollow/config/config_follower.h"
#include "thornhollow/config/settings.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/key_gate.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/policy/endpoint_states.h"
#include "thornhollow/policy/pool_pressure.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct control_listener
{
  std::function<void(catalog_ptr)> mInForce;
  std::function<void(const endpoint_state_change&)> mEndpointState;
  key_listener mKeys;
  // Entry instances of the own domain, this one included.
  std::function<void(const std::vector<instance_name>&)> mRouters;
  // Called every 100 ms.
  std::function<void()> mTick;
  // Another process runs under this name; this one must stop.
  std::function<void()> mSuperseded;
};

class control_plane
{
public:
  // `aLog` and `aMetrics` outlive it.
  control_plane(boost::asio::io_context& aIo,
                const daemon_settings& aSettings,
                control_listener aListener,
                json_log& aLog,
                metrics& aMetrics);
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;
  ~control_plane();

  result<void> Open();

  key_gate& Keys();

  // An endpoint said itself that it leaves.
  void OnEndpointLeaving(const endpoint_name& aEndpoint);

  // See peer_link.h.
  void TellPressure(const std::vector<pool_pressure>& aPressures);
  std::vector<pool_pressure> PeerPressure() const;

  // This instance takes no new work; it still answers peers.
  void Drain();
  // This process stops now.
  void Leave();

  std::optional<revision> InForce() const;
  const std::optional<refused_state>& Refused() const;
  std::size_t PeersAlive() const;

private:
  class core;
  std::unique_ptr<core> mCore;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_CONTROL_PLANE_H_
