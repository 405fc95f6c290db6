// For tests: endpoints that leave one after the other while a fleet runs.
//
//   ScheduleLeaves(fleet, Seconds(15), seed);
#ifndef THORNHOLLOW_FLEET_TESTING_LEAVING_SERIES_H_
#define THORNHOLLOW_FLEET_TESTING_LEAVING_SERIES_H_

#include <cstdint>
#include <random>

#include "thornhollow/fleet/testing/silent_source_fleet.h"

namespace thornhollow {

// Thirty endpoints join at the start. Fifteen of them leave within five seconds
// from `aFrom` on, some of these at the same moment.
inline void
ScheduleLeaves(silent_source_fleet& aFleet, duration aFrom, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> when(0, 5);
  for (int each = 0; each < 30; ++each) {
    aFleet.Join(Seconds(1), each);
  }
  for (int each = 0; each < 15; ++each) {
    const duration at = aFrom + FromSeconds(when(random));
    aFleet.Leave(each % 3 == 0 ? aFrom + Seconds(2) : at, each);
  }
}

} // namespace thornhollow

#endif // THORNHOLLOW_FLEET_TESTING_LEAVING_SERIES_H_
