// Small state that instances share by gossip: the pressure on each pool (which
// tiers of requests an instance still admits to it) and the endpoints that are
// leaving.
//
//   shared_state shared;
//   shared.SetOwnPressure(pressure, now);
//   if (shared.MergeLeaving(leaving, now)) { ... notify peers ... }
//
// Pressures: an instance that sheds low tiers reports this to the other
// instances, so that they do not admit those tiers meanwhile. One pressure is
// kept per pool rather than per instance: the one that admits the fewest tiers
// among the known pressures with an age below `kPressureLifetime`. Without this
// age limit a burst at one instance would keep the lower tiers out of the whole
// domain after it has ended, because each instance would receive its own report
// back from the others. Messages carry the age of a report, which only grows as
// the report is passed on, so that the report expires at every instance. An
// instance must derive its own pressure from its own queue alone and report it
// again every second while the pressure lasts.
//
// Leaving endpoints: a report has a version and a remaining time. Its expiry is
// fixed when the version is first received; later copies of that version,
// however late, do not move the expiry. The version is remembered for a while
// after the expiry (tombstone), so that a late copy does not revive the report.
#ifndef THORNHOLLOW_FLEET_SHARED_STATE_H_
#define THORNHOLLOW_FLEET_SHARED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/fleet/peer_messages.h"

namespace thornhollow {

// Maximum age of a pressure report: three gossip intervals of one second, so
// that the report does not expire because one message was lost.
inline constexpr duration kPressureLifetime = Seconds(3);
// Maximum time for which a report about a leaving endpoint is valid. When it
// expires, the platform's list shows that the endpoint is leaving, or the
// endpoint has reported it again.
inline constexpr duration kLeavingLifetime = Seconds(60);

class shared_state
{
public:
  // Sets this instance's own pressure on one pool, replacing its previous
  // pressure on that pool.
  void SetOwnPressure(const pool_pressure& aPressure, time_point aNow);

  // Merges a pressure reported by a peer.
  void MergePressure(const pool_pressure& aPressure, time_point aNow);

  // Unexpired pressures reported by peers, ordered by pool name.
  std::vector<pool_pressure> PeerPressures(time_point aNow) const;
  // Pressures to send to peers: for each pool, the unexpired pressure, own or
  // reported by a peer, that admits the fewest tiers.
  std::vector<pool_pressure> PressuresToSend(time_point aNow) const;

  // Creates a new report that `aEndpoint` is leaving.
  leaving_endpoint AddLeaving(const endpoint_name& aEndpoint,
                              duration aFor,
                              time_point aNow);
  // Merges a report of a leaving endpoint. Returns whether the report is new
  // and has not expired.
  bool MergeLeaving(const leaving_endpoint& aLeaving, time_point aNow);
  // Unexpired reports of leaving endpoints.
  std::vector<leaving_endpoint> Leaving(time_point aNow) const;
  bool IsLeaving(const endpoint_name& aEndpoint, time_point aNow) const;

  // Erases expired pressures and expired reports of leaving endpoints.
  void Expire(time_point aNow);

private:
  struct timed_pressure
  {
    pool_pressure mPressure;
    // When the pressure was measured, by this instance's clock.
    time_point mMeasuredAt{};
  };
  struct timed_leaving
  {
    std::uint64_t mVersion = 0;
    time_point mExpiresAt{};
  };
  using pressures = std::map<pool_name, timed_pressure>;

  static void KeepTightest(pressures& aInto, const timed_pressure& aNew);
  static std::vector<pool_pressure> Unexpired(const pressures& aFrom,
                                              time_point aNow);

  pressures mOwnPressures;
  pressures mPeerPressures;
  std::map<endpoint_name, timed_leaving> mLeaving;
};

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_SHARED_STATE_H_
