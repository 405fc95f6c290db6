// Load of one pool at one instance, exchanged between instances so that tier
// order holds across all of them.
//
//   for (const pool_pressure& each : scheduler.Pressure(now)) { ... send ... }
//
#ifndef THORNHOLLOW_POLICY_ADMISSION_POOL_PRESSURE_H_
#define THORNHOLLOW_POLICY_ADMISSION_POOL_PRESSURE_H_

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"

namespace thornhollow {

struct pool_pressure
{
  pool_name mPool;
  // The highest tier whose requests wait too long at the reporting instance;
  // `kLowestTier` if there is none. The reporting instance limits tiers below
  // this one to their minimum shares, and the other instances should do so too.
  int mLowestAdmitted = kLowestTier;
  // How long the next request of tier `mLowestAdmitted` has waited at the
  // reporting instance; zero if no request waits too long.
  duration mHigherWait{};
  // Time since the reporting instance measured these values.
  duration mAge{};

  friend bool operator==(const pool_pressure&, const pool_pressure&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_ADMISSION_POOL_PRESSURE_H_
