#include "thornhollow/policy/team_in_flight.h"

#include <numeric>

namespace thornhollow {

void
team_in_flight::Configure(const declarations& aDeclared)
{
  for (auto& [name, known] : mTeams) {
    known.mLimit = 0;
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
team_in_flight::Add(const team_name& aTeam, int aTier)
{
  entry& known = mTeams[aTeam];
  if (known.mLimit > 0 && known.HeldUpTo(aTier) >= known.mLimit) {
    return false;
  }
  ++known.mHeld[aTier - kHighestTier];
  return true;
}

void
team_in_flight::Remove(const team_name& aTeam, int aTier)
{
  const auto found = mTeams.find(aTeam);
  if (found == mTeams.end()) {
    return;
  }
  std::uint32_t& held = found->second.mHeld[aTier - kHighestTier];
  held -= held > 0 ? 1 : 0;
  if (found->second.IsUnused()) {
    mTeams.erase(found);
  }
}

bool
team_in_flight::entry::IsUnused() const
{
  return mLimit == 0 && HeldUpTo(kLowestTier) == 0;
}

std::uint32_t
team_in_flight::entry::HeldUpTo(int aTier) const
{
  const auto end = mHeld.begin() + (aTier - kHighestTier + 1);
  return std::accumulate(mHeld.begin(), end, std::uint32_t{ 0 });
}

} // namespace thornhollow
