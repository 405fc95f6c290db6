// Knows for each pool whether this instance reaches its endpoints, by probing
// them, and which other instances do; chooses the instance to which a request
// is forwarded.
//
//   endpoint_reach reach(io, log, metrics);
//   reach.SetEndpoints([&](const pool_name& aPool) { return targets; });
//   reach.SetPeers([&](const pool_name& aPool) { return peers; });
//   reach.Tick(now);   // every 100 ms
//   if (reach.ShouldForward(pool, now)) { ... }
//
// policy/endpoints/endpoint_contact.h decides; this module probes, and logs
// what changed.
#ifndef THORNHOLLOW_DAEMON_ENDPOINT_REACH_H_
#define THORNHOLLOW_DAEMON_ENDPOINT_REACH_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/daemon/json_log.h"
#include "thornhollow/daemon/metrics.h"
#include "thornhollow/fleet/forward_choice.h"
#include "thornhollow/fleet/relay_peers.h"
#include "thornhollow/net/endpoint_connections.h"
#include "thornhollow/net/endpoint_probe.h"
#include "thornhollow/policy/endpoints/endpoint_contact.h"

namespace boost::asio {
class io_context;
}

namespace thornhollow {

// An endpoint that may be probed.
struct probe_target
{
  endpoint_process mProcess;
  domain_name mDomain;

  friend bool operator==(const probe_target&, const probe_target&) = default;
};

class endpoint_reach
{
public:
  using target_list = std::vector<probe_target>;
  using probe_function =
    std::function<void(const pool_name& aPool,
                       const probe_target& aTarget,
                       duration aTimeout,
                       std::function<void(endpoint_probe)> aDone)>;

  // `aLog` and `aMetrics` must outlive this object.
  endpoint_reach(boost::asio::io_context& aIo,
                 json_log& aLog,
                 metrics& aMetrics);

  void SetEndpoints(std::function<target_list(const pool_name&)> aEndpoints)
  {
    mEndpoints = std::move(aEndpoints);
  }
  void SetPeers(
    std::function<std::vector<forward_peer>(const pool_name&)> aPeers)
  {
    mPeers = std::move(aPeers);
  }
  // Replaces the probe, which opens a connection.
  void SetProbe(probe_function aProbe) { mProbe = std::move(aProbe); }
  // Takes the unused connection of a probe that an endpoint accepted.
  void OnSpareConnection(std::function<void(const endpoint_process&,
                                            endpoint_connection_ptr)> aListener)
  {
    mOnSpareConnection = std::move(aListener);
  }

  // What happened to requests that this instance sent itself, see the functions
  // of the same names in policy/endpoints/endpoint_contact.h.
  void OnSent(const pool_name& aPool, time_point aNow);
  void OnAnswer(const pool_name& aPool, bool aNewConnection, time_point aNow);
  void OnEnded(const pool_name& aPool);
  void OnConnectFailed(const pool_name& aPool, time_point aNow);
  void OnTrouble(const pool_name& aPool, time_point aNow);
  void OnEndpointJoined(const pool_name& aPool);
  void OnClockGap(time_point aNow);

  // Whether a new request to the pool should be forwarded.
  bool ShouldForward(const pool_name& aPool, time_point aNow);
  bool IsConfirmedLost(const pool_name& aPool, time_point aNow);
  // An instance that takes a request to the pool; nullopt if there is none but
  // those in `aTried`.
  std::optional<std::string> ChoosePeer(const pool_name& aPool,
                                        const std::vector<std::string>& aTried);
  // Whether the instance has lately told that it takes requests to the pool.
  bool IsOffered(const pool_name& aPool, const std::string& aPeer) const;
  // The same as `ChoosePeer` among those that have not reported that they are
  // at the bounds of the pool's endpoints.
  std::optional<std::string> ChoosePeerWithRoom(
    const pool_name& aPool,
    const std::vector<std::string>& aTried);
  // A request was forwarded to the instance, and has ended there.
  void OnForwarded(const std::string& aPeer) { mChoice.OnSent(aPeer); }
  void OnForwardEnded(const std::string& aPeer) { mChoice.OnEnded(aPeer); }

  // What other instances are told, for at most a handful of pools.
  std::vector<pool_contact> Contacts(time_point aNow) const;
  // The same of one pool; nullopt without evidence.
  std::optional<bool> Reached(const pool_name& aPool, time_point aNow) const;
  // Pools whose endpoints this instance doesn't reach.
  std::size_t LostPools() const;
  // Pools of which some requests are to be forwarded.
  std::vector<pool_name> PoolsOutOfContact() const;
  std::size_t Forwarded() const { return mChoice.InFlight(); }

  void Tick(time_point aNow);

private:
  // The belief about the pool, which begins as in contact.
  endpoint_contact& Contact(const pool_name& aPool);
  void ProbeIfDue(const pool_name& aPool, time_point aNow);
  target_list DrawTargets(target_list aAll, std::size_t aCount);
  void LogChange(const pool_name& aPool, contact_state aBefore);

  json_log& mLog;
  metrics& mMetrics;
  std::function<target_list(const pool_name&)> mEndpoints;
  std::function<std::vector<forward_peer>(const pool_name&)> mPeers;
  probe_function mProbe;
  std::function<void(const endpoint_process&, endpoint_connection_ptr)>
    mOnSpareConnection;
  std::mt19937_64 mRandom;
  forward_choice mChoice;
  std::map<pool_name, endpoint_contact> mContacts;
};

} // namespace thornhollow

#endif // THORNHOLLOW_DAEMON_ENDPOINT_REACH_H_
