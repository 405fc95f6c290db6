// Limits the number of requests, waiting and running together, that one entry
// instance holds for each team.
//
//   team_in_flight inFlight;
//   inFlight.Configure(declared);
//   if (inFlight.TryAdd(team, tier)) { ... inFlight.Remove(team, tier); }
//
// Load pattern: a caller issues requests without bound, for example in a loop
// that does not wait for answers. Fair queueing still serves the other teams in
// their turn, but the caller's requests consume memory, connections and the
// shared capacity of the queue. The limit is declared for each team; teams
// without a declared limit are not limited.
//
// The limit applies to the number of the team's requests of the new request's
// tier and of higher tiers. If all tiers were counted together, a team's burst
// of low-tier requests would cause its next high-tier request to be refused. A
// team can therefore hold up to its limit for each tier that it uses.
#ifndef THORNHOLLOW_POLICY_QUEUES_TEAM_IN_FLIGHT_H_
#define THORNHOLLOW_POLICY_QUEUES_TEAM_IN_FLIGHT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "thornhollow/config/declarations.h"

namespace thornhollow {

class team_in_flight
{
public:
  // Applies the declared limits on requests in flight per team. Requests
  // already in flight remain counted.
  void Configure(const declarations& aDeclared);

  // Adds one request of the team. Returns false without adding it if the team's
  // requests of this tier and of higher tiers have reached the limit.
  bool TryAdd(const team_name& aTeam, int aTier);

  // Removes one request of the team, in tier `aTier`, that has ended.
  void Remove(const team_name& aTeam, int aTier);

  // Number of teams with a limit or with requests in flight, for memory
  // measurements.
  std::size_t size() const { return mTeams.size(); }

private:
  struct entry
  {
    // Maximum number of requests in flight; 0 means unlimited.
    std::uint32_t mLimit = 0;
    // Number of the team's requests in flight by tier, highest tier first.
    std::array<std::uint32_t, kLowestTier - kHighestTier + 1> mInFlight{};

    bool IsUnused() const;
    std::uint32_t InFlightUpTo(int aTier) const;
  };

  std::unordered_map<team_name, entry> mTeams;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_QUEUES_TEAM_IN_FLIGHT_H_
