// Load of one pool at one instance, exchanged between instances so that tier
// order holds across all of them.
//
//   for (const pool_pressure& each : scheduler.Pressure(now)) { ... send ... }
// .
#ifndef THORNHOLLOW_POLICY_POOL_PRESSURE_H_
#define THORNHOLLOW_POLICY_POOL_PRESSURE_H_

#include "thornhollow/base/ids.h"
#include "thornhollow/base/time.h"
#include "thornhollow/config/declarations.h"

namespace thornhollow {

struct pool_pressure
{
  pool_name mPool;
  // The highest tier that waits too long at that instance. Lower tiers are
  // limited to their minimum shares there, and should be on the other
  // instances.
  int mLowestAdmitted = kLowestTier;
  // How long that tier's next request has waited; zero if none waits.
  duration mHigherWait{};
  // Time since the measurement.
  duration mAge{};

  friend bool operator==(const pool_pressure&, const pool_pressure&) = default;
};

} // namespace thornhollow

#endif // THORNHOLLOW_POLICY_POOL_PRESSURE_H_
