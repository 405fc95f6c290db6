// Bounds the requests that one entry instance holds for a team, waiting and
// running together.
//
//   team_in_flight held;
//   held.Configure(declared);
//   if (held.Add(team, tier)) { ... held.Remove(team, tier); }
//
// Load pattern: a caller opens requests without end, for instance from a loop
// that doesn't wait for answers. Fair queueing keeps the others' order, but the
// caller's requests still fill memory, connections and the common places of the
// queue. The bound is the one that operators declare for the team; none is made
// up where they declare none.
//
// A request counts against those of its own tier and of higher ones only. Were
// all counted together, a team's burst of pallet plans would have its next
// driver's note refused, a higher tier for a lower one. So a team holds at most
// its limit for each tier that it uses.
#ifndef THORNHOLLOW_POLICY_TEAM_IN_FLIGHT_H_
#define THORNHOLLOW_POLICY_TEAM_IN_FLIGHT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "thornhollow/config/declarations.h"

namespace thornhollow {

class team_in_flight
{
public:
  // Takes the declared limits; what is held stays counted.
  void Configure(const declarations& aDeclared);

  // Counts one more request of the team; false, and nothing counted, where the
  // team holds as many of this tier and higher ones as it may.
  bool TryAdd(const team_name& aTeam, int aTier);

  // One request of the team got its final answer.
  void Remove(const team_name& aTeam, int aTier);

  // Teams with a limit or with something held, for memory figures.
  std::size_t size() const { return mTeams.size(); }

private:
  struct entry
  {
    // 0: none.
    std::uint32_t mLimit = 0;
    // By tier, the highest first.
    std::array<std::uint32_t, kLowestTier - kHighestTier + 1> mInFlight{};

    bool IsUnused() const;
    std::uint32_t InFlightUpTo(int aTier) const;
  };

  std::unordered_map<team_name, entry> mTeams;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_TEAM_IN_FLIGHT_H_
