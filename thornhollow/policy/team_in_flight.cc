#include "thornhollow/policy/team_in_flight.h"

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
  std::erase_if(mTeams, [](const auto& aEach) {
    return aEach.second.mLimit == 0 && aEach.second.mHeld == 0;
  });
}

bool
team_in_flight::Add(const team_name& aTeam)
{
  entry& known = mTeams[aTeam];
  if (known.mLimit > 0 && known.mHeld >= known.mLimit) {
    return false;
  }
  ++known.mHeld;
  return true;
}

void
team_in_flight::Remove(const team_name& aTeam)
{
  const auto found = mTeams.find(aTeam);
  if (found == mTeams.end() || found->second.mHeld == 0) {
    return;
  }
  if (--found->second.mHeld == 0 && found->second.mLimit == 0) {
    mTeams.erase(found);
  }
}

} // namespace thornhollow
