// The small facts that daemons tell each other: how tight each pool is, and
// which endpoints leave.
//
//   shared_state shared;
//   shared.SetOwnPressure(pressure, now);
//   if (shared.MergeLeaving(leaving, now)) { ... tell others ... }
//
// Pressures: a daemon that sheds low tiers tells the others, so that they don't
// admit those meanwhile. Kept for each pool only, not for each daemon: the
// tightest one known whose age is below `kPressureLifetime`. Without that limit
// one daemon's burst would keep the lower tiers out of the whole domain, as
// each daemon would hear its own statement back from the others. Ages travel
// and only grow, so each statement ends everywhere; a daemon must derive its
// own pressure from its own queue alone, and repeat it each second while it
// lasts.
//
// Leaving endpoints: a statement has a stamp and a remaining length. Its end is
// fixed when the stamp is first heard; later copies, however late they come,
// don't move it. For a while after its end the stamp is remembered, so that a
// copy doesn't start it again.
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

// Three gossip intervals: one lost message in a row doesn't end a statement.
inline constexpr duration kPressureLifetime = Seconds(3);
// The longest time for which a statement about a leaving endpoint holds. By
// then the platform's list tells the same, or the endpoint says it again.
inline constexpr duration kLeavingLifetime = Seconds(60);

class shared_state
{
public:
  // This daemon's own pressure of one pool, in place of its last one.
  void SetOwnPressure(const pool_pressure& aPressure, time_point aNow);

  // A peer's statement.
  void MergePressure(const pool_pressure& aPressure, time_point aNow);

  // What peers said, without what is too old. Order of pool names.
  std::vector<pool_pressure> PeerPressures(time_point aNow) const;
  // What to tell peers: own and theirs, the tightest for each pool.
  std::vector<pool_pressure> PressuresToSend(time_point aNow) const;

  // Makes a new statement that `aEndpoint` leaves.
  leaving_endpoint AddLeaving(const endpoint_name& aEndpoint,
                              duration aFor,
                              time_point aNow);
  // Returns whether the statement is news and still holds.
  bool MergeLeaving(const leaving_endpoint& aLeaving, time_point aNow);
  // The statements that hold.
  std::vector<leaving_endpoint> Leaving(time_point aNow) const;
  bool IsLeaving(const endpoint_name& aEndpoint, time_point aNow) const;

  // Forgets what ended.
  void Expire(time_point aNow);

private:
  struct timed_pressure
  {
    pool_pressure mPressure;
    // When the pressure was measured, on this daemon's clock.
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
