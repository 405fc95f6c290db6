// Control plane of one instance: peer membership, the configuration in force,
// endpoints that are leaving, and idempotency keys. Callers' requests are
// handled elsewhere (router.h).
//
//   control_plane control(io, settings, listener, log, counted);
//   BOOST_LEAF_CHECK(control.Open());
//
// Connects peer_link, configuration_keeper, key_gate and the platform's
// instance list.
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
#include "thornhollow/fleet/forward_offers.h"
#include "thornhollow/fleet/peer_messages.h"
#include "thornhollow/policy/admission/pool_pressure.h"
#include "thornhollow/policy/endpoints/endpoint_states.h"
#include "thornhollow/policy/suspects/crash_report.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

struct control_listener
{
  std::function<void(catalog_ptr)> mInForce;
  std::function<void(const endpoint_state_change&)> mEndpointState;
  key_listener mKeys;
  // Exchange of reports of suspected requests, as in peer_link.h.
  std::function<std::uint64_t()> mCrashDigest;
  std::function<void(const instance_name&, std::uint64_t)> mOnCrashDigest;
  std::function<void(const crash_report&)> mOnCrashReport;
  // Whether this instance serves requests that others forward.
  std::function<forward_offer(const forward_query&)> mOnForwardQuery;
  // Receives the entry instances of this failure domain, including this one.
  std::function<void(const std::vector<instance_name>&)> mRouters;
  // Called every 100 ms.
  std::function<void()> mTick;
  // Called when another process is running under this instance's name; this
  // process must stop.
  std::function<void()> mSuperseded;
};

class control_plane
{
public:
  // `aLog` and `aMetrics` must outlive the control plane.
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

  // Called when an endpoint itself reports that it is leaving.
  void OnEndpointLeaving(const endpoint_name& aEndpoint);

  // Report pool pressure to peers and return the pressure that peers reported,
  // as in peer_link.h.
  void ReportPressure(const std::vector<pool_pressure>& aPressures);
  std::vector<pool_pressure> PeerPressure() const;

  // Sends a report of suspected requests to instances, and returns the names of
  // all others that are known.
  void SendCrashReport(const std::vector<instance_name>& aTo,
                       const crash_report& aReport);
  std::vector<instance_name> OtherInstances() const;
  // Those of them that answer.
  std::vector<instance_name> AliveInstances() const;

  // Instances that may serve requests for this one, and the question whether
  // one does; `aDone` is called with nullopt if it doesn't answer in time.
  std::vector<forward_candidate> ForwardCandidates() const;
  void AskToForward(const instance_name& aPeer,
                    const forward_query& aQuery,
                    std::function<void(std::optional<forward_offer>)> aDone);

  // Announces that this instance accepts no new work. The instance still
  // answers peers.
  void Drain();
  // Announces to peers that this process is stopping.
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
