#include "thornhollow/policy/queues/team_in_flight.h"

#include <numeric>

namespace thornhollow {

void
team_in_flight::Configure(const declarations& aDeclared)
{
  for (auto& [name, limits] : mTeams) {
    limits.mLimit = 0;
  }
  for (const team& each : aDeclared.mTeams) {
    if (each.mMaxInFlight > 0) {
      mTeams[each.mName].mLimit = each.mMaxInFlight;
    }
  }
  std::erase_if(mTeams,
                [](const auto& aEach) { return aEach.second.IsUnused(); });
}

bool
team_in_flight::TryAdd(const team_name& aTeam, int aTier)
{
  entry& limits = mTeams[aTeam];
  if (limits.mLimit > 0 && limits.InFlightUpTo(aTier) >= limits.mLimit) {
    return false;
  }
  ++limits.mInFlight[aTier - kHighestTier];
  return true;
}

void
team_in_flight::Remove(const team_name& aTeam, int aTier)
{
  const auto found = mTeams.find(aTeam);
  if (found == mTeams.end()) {
    return;
  }
  std::uint32_t& inFlight = found->second.mInFlight[aTier - kHighestTier];
  inFlight -= inFlight > 0 ? 1 : 0;
  if (found->second.IsUnused()) {
    mTeams.erase(found);
  }
}

bool
team_in_flight::entry::IsUnused() const
{
  return mLimit == 0 && InFlightUpTo(kLowestTier) == 0;
}

std::uint32_t
team_in_flight::entry::InFlightUpTo(int aTier) const
{
  const auto end = mInFlight.begin() + (aTier - kHighestTier + 1);
  return std::accumulate(mInFlight.begin(), end, std::uint32_t{ 0 });
}

} // namespace thornhollow
